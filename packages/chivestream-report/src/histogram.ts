/** Histograms of response times that all hosts build alike, so that merging them loses nothing. */
import {build, decodeFromCompressedBase64, type Histogram} from 'hdr-histogram-js';

const longestMs = 3_600_000;
const digits = 3;
const layout = 'packed';

/** An empty histogram of milliseconds. */
export const createHistogram = (): Histogram =>
	build({bitBucketSize: layout, highestTrackableValue: longestMs, numberOfSignificantValueDigits: digits});

/** Records a response time; longer ones than the histogram reaches count as its longest. */
export const recordTime = (histogram: Histogram, elapsedMs: number): void => {
	histogram.recordValue(Math.min(longestMs, Math.max(0, Math.round(elapsedMs))));
};

/** Adds an encoded histogram to another. */
export const addEncoded = (histogram: Histogram, encoded: string): void => {
	if (encoded !== '') {
		histogram.add(decodeFromCompressedBase64(encoded, layout));
	}
};
