/** Measures metrics at several sizes over several rounds and fits a line through the medians. */
import {fitLine, type LineFit} from './line-fit.js';

/** Values of a metric at one size over all measured rounds, in the unit of the metric. */
export type MetricSummary = {
	size: number;
	median: number;
	lowest: number;
	highest: number;
};

/** Growth of one metric with size. */
export type Slope = {
	/** Names of the measurement and the metric, such as `key-registry.heap`. */
	name: string;
	/** What the size counts, such as `queued tasks`. */
	size: string;
	/** Unit of the metric. */
	unit: string;
	points: MetricSummary[];
	fit: LineFit;
};

/** Sizes, rounds and observation time of a measurement. */
export type Sampling = {
	sizes: readonly number[];
	/** Measured rounds over all sizes; one warm-up round precedes them and is discarded. */
	rounds: number;
	/**
	How long each size is observed, in milliseconds, by measurements that observe running processes; the others ignore it.
	Each of them has a default of its own.
	*/
	windowMs?: number;
};

/** A measurement that returns the values of its metrics at a size. */
export type Measurement<Metric extends string> = {
	name: string;
	/** What the size counts. */
	size: string;
	/** Unit of each metric. */
	units: Record<Metric, string>;
	measure: (size: number) => Promise<Record<Metric, number>>;
};

/** Returns the median; throws a `RangeError` when there are no values. */
export const computeMedian = (values: readonly number[]): number => {
	const sorted = values.toSorted((left, right) => left - right);
	const middle = Math.floor(sorted.length / 2);
	const upper = sorted[middle];
	if (upper === undefined) {
		throw new RangeError('cannot compute the median of no values');
	}

	return sorted.length % 2 === 1 ? upper : ((sorted[middle - 1] ?? upper) + upper) / 2;
};

/** Runs a measurement and returns one slope for each of its metrics. */
export const measureSlopes = async <Metric extends string>(
	{name, size: sizeName, units, measure}: Measurement<Metric>,
	{sizes, rounds}: Sampling,
): Promise<Slope[]> => {
	const samples = new Map<string, number[]>();
	const warmUpRound = 0;
	for (let round = warmUpRound; round <= rounds; round++) {
		for (const size of sizes) {
			const measured = await measure(size); // eslint-disable-line no-await-in-loop -- measurements run one at a time
			for (const [metric, value] of round === warmUpRound ? [] : Object.entries<number>(measured)) {
				const key = `${metric}/${size}`;
				samples.set(key, [...samples.get(key) ?? [], value]);
			}
		}
	}

	return Object.entries<string>(units).map(([metric, unit]) => {
		const points = sizes.map((size): MetricSummary => {
			const values = samples.get(`${metric}/${size}`) ?? [];
			return {
				size, median: computeMedian(values), lowest: Math.min(...values), highest: Math.max(...values),
			};
		});
		return {
			name: `${name}.${metric}`,
			size: sizeName,
			unit,
			points,
			fit: fitLine(points.map(({size, median}) => ({size, value: median}))),
		};
	});
};
