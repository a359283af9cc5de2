/** Histograms of response times. All hosts use the same parameters, so that merging loses no precision. */
import {build, decodeFromCompressedBase64, type Histogram} from 'hdr-histogram-js';

/** Highest response time of the histograms: one hour, in milliseconds. */
const maxTrackedMs = 3_600_000;
const significantDigits = 3;
const counterLayout = 'packed';

/** Creates an empty histogram of values in milliseconds. */
export const createHistogram = (): Histogram =>
	build({bitBucketSize: counterLayout, highestTrackableValue: maxTrackedMs, numberOfSignificantValueDigits: significantDigits});

/** Records a response time in milliseconds; times above one hour are recorded as one hour. */
export const recordTime = (histogram: Histogram, elapsedMs: number): void => {
	histogram.recordValue(Math.min(maxTrackedMs, Math.max(0, Math.round(elapsedMs))));
};

/** Adds an encoded histogram; an empty string stands for an empty histogram. */
export const addEncoded = (histogram: Histogram, encoded: string): void => {
	if (encoded !== '') {
		histogram.add(decodeFromCompressedBase64(encoded, counterLayout));
	}
};
