/** Learns how slow each target is and how far declared run times are off, from what tasks took. */

/** A mean of logarithms that follows recent samples. */
export type LogMean = {
	/** Natural logarithm of the estimate. */
	value: number;
	samples: number;
};

const smallestGain = 0.1;
const smallestMs = 0.1;
const largestLogarithm = Math.log(1000);

/** An estimate of 1 that has seen nothing. */
export const createLogMean = (): LogMean => ({value: 0, samples: 0});

/** The estimate itself. */
export const estimateOf = (mean: LogMean): number => Math.exp(mean.value);

/** Moves the estimate towards a sample; the first samples weigh more. */
export const learnLogarithm = (mean: LogMean, logarithm: number): void => {
	mean.samples++;
	const gain = Math.max(1 / (mean.samples + 1), smallestGain);
	const bounded = Math.max(-largestLogarithm, Math.min(largestLogarithm, logarithm));
	mean.value += gain * (bounded - mean.value);
};

/** Logarithm of observed over declared run time. */
export const logarithmOfRatio = (observedMs: number, declaredMs: number): number =>
	Math.log(Math.max(observedMs, smallestMs) / Math.max(declaredMs, smallestMs));
