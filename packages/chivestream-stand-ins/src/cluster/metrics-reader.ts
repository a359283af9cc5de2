/** Reads the metrics of entry hosts in the Prometheus text format. */
import {request} from 'undici';

/** Values by series, labels included as written. */
export type MetricSamples = Map<string, number>;

const samplePattern = /^(?<series>[a-z_]+(?:\{[^\}]*\})?) (?<value>\S+)$/v;
const timeoutMs = 1000;

/** Samples of a text in the Prometheus format. */
export const parseMetrics = (text: string): MetricSamples => {
	const samples: MetricSamples = new Map();
	for (const line of text.split('\n')) {
		const groups = samplePattern.exec(line)?.groups;
		if (groups?.series !== undefined) {
			samples.set(groups.series, Number(groups.value));
		}
	}

	return samples;
};

/** Samples of an entry host now; undefined when it does not answer. */
export const readMetrics = async (callerAddress: string): Promise<MetricSamples | undefined> => {
	try {
		const {body} = await request(`http://${callerAddress}/metrics`, {headersTimeout: timeoutMs, bodyTimeout: timeoutMs});
		return parseMetrics(await body.text());
	} catch {
		return undefined;
	}
};

/** Sum of a metric over all its labels. */
export const sumMetric = (samples: MetricSamples, name: string): number => {
	let sum = 0;
	for (const [series, value] of samples) {
		if (series === name || series.startsWith(`${name}{`)) {
			sum += value;
		}
	}

	return sum;
};
