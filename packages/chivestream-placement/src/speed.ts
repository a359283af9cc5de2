/** Moving estimates of ratios of observed to declared run time, kept for targets and for teams. */

/** An exponentially weighted mean of logarithms of ratios. */
export type LogMean = {
	/** Natural logarithm of the estimated ratio. */
	value: number;
	/** Number of samples so far. */
	samples: number;
};

/** Weight of a new sample once enough have been seen. */
const minGain = 0.1;
/** Shorter run times count as this long, so that the logarithm stays finite. */
const minRunTimeMs = 0.1;
/** Samples are clamped to ratios between 1/1000 and 1000. */
const maxLogRatio = Math.log(1000);

/** Creates an estimate of 1 without samples. */
export const createLogMean = (): LogMean => ({value: 0, samples: 0});

/** The estimated ratio: the weighted geometric mean of the samples. */
export const geometricMean = (mean: LogMean): number => Math.exp(mean.value);

/** Moves the estimate towards a sample; the first samples weigh more than later ones. */
export const addSample = (mean: LogMean, logRatio: number): void => {
	mean.samples++;
	const gain = Math.max(1 / (mean.samples + 1), minGain);
	const clamped = Math.max(-maxLogRatio, Math.min(maxLogRatio, logRatio));
	mean.value += gain * (clamped - mean.value);
};

/** Natural logarithm of the ratio of observed to declared run time. */
export const runTimeLogRatio = (observedMs: number, declaredMs: number): number =>
	Math.log(Math.max(observedMs, minRunTimeMs) / Math.max(declaredMs, minRunTimeMs));
