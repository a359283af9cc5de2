/** Learns how slow each target is and how far declared run times are off, from what tasks took. */

/** A mean of logarithms that follows recent samples. */
export type LogMean = {
	/** Natural logarithm of the estimate. */
	value: number;
	samples: number;
};

const minGain = 0.1;
const minRunTimeMs = 0.1;
const maxLogRatio = Math.log(1000);

/** An estimate of 1 that has seen nothing. */
export const createLogMean = (): LogMean => ({value: 0, samples: 0});

/** The estimate itself. */
export const geometricMean = (mean: LogMean): number => Math.exp(mean.value);

/** Moves the estimate towards a sample; the first samples weigh more. */
export const addSample = (mean: LogMean, logRatio: number): void => {
	mean.samples++;
	const gain = Math.max(1 / (mean.samples + 1), minGain);
	const clamped = Math.max(-maxLogRatio, Math.min(maxLogRatio, logRatio));
	mean.value += gain * (clamped - mean.value);
};

/** Logarithm of observed over declared run time. */
export const runTimeLogRatio = (observedMs: number, declaredMs: number): number =>
	Math.log(Math.max(observedMs, minRunTimeMs) / Math.max(declaredMs, minRunTimeMs));
