/** Measures figures at several sizes, several times each, and fits a line through the medians. */
import {fitLine, type LineFit} from './line-fit.js';

/** A figure at one size over all rounds. */
export type SizedFigure = {
	size: number;
	median: number;
	lowest: number;
	highest: number;
};

/** How a figure grows with a size. */
export type Slope = {
	/** Measurement and figure, such as `key-registry.heap`. */
	name: string;
	/** What the size counts. */
	size: string;
	unit: string;
	points: SizedFigure[];
	fit: LineFit;
};

/** How often and at which sizes to measure. */
export type Sampling = {
	sizes: readonly number[];
	/** Rounds over all sizes, after one more that warms up. */
	rounds: number;
	/** How long a measurement under load observes each size, where it does. */
	windowMs?: number;
};

/** One measurement: figures by name, each with its unit. */
export type Measurement<Figure extends string> = {
	name: string;
	size: string;
	units: Record<Figure, string>;
	measure: (size: number) => Promise<Record<Figure, number>>;
};

/** The middle of the values; the mean of the two middle ones where their number is even. */
export const medianOf = (values: readonly number[]): number => {
	const sorted = values.toSorted((left, right) => left - right);
	const middle = Math.floor(sorted.length / 2);
	const upper = sorted[middle];
	if (upper === undefined) {
		throw new RangeError('values: none given; give at least one');
	}

	return sorted.length % 2 === 1 ? upper : ((sorted[middle - 1] ?? upper) + upper) / 2;
};

/** Runs a measurement and gives one slope for each of its figures. */
export const measureSlopes = async <Figure extends string>(
	{name, size: sizeName, units, measure}: Measurement<Figure>,
	{sizes, rounds}: Sampling,
): Promise<Slope[]> => {
	const samples = new Map<string, number[]>();
	const warmUpRound = 0;
	for (let round = warmUpRound; round <= rounds; round++) {
		for (const size of sizes) {
			const measured = await measure(size); // eslint-disable-line no-await-in-loop -- one measurement at a time
			for (const [figure, value] of round === warmUpRound ? [] : Object.entries<number>(measured)) {
				const key = `${figure}/${size}`;
				samples.set(key, [...samples.get(key) ?? [], value]);
			}
		}
	}

	return Object.entries<string>(units).map(([figure, unit]) => {
		const points = sizes.map((size): SizedFigure => {
			const values = samples.get(`${figure}/${size}`) ?? [];
			return {
				size, median: medianOf(values), lowest: Math.min(...values), highest: Math.max(...values),
			};
		});
		return {
			name: `${name}.${figure}`,
			size: sizeName,
			unit,
			points,
			fit: fitLine(points.map(({size, median}) => ({size, value: median}))),
		};
	});
};
