/**
 * Estimates how much longer tasks take on a minion than declared.
 *
 * Minions differ in speed and can become slow for some seconds, and the declared run times are off by 40%. A decaying
 * mean evens out single estimates and still follows a change of speed.
 */

/** Observed slowness: a decaying mean of the logarithm of actual over estimated run time. */
export type Slowness = {
	meanLogRatio: number;
	/** Number of observations, decayed with each new one; at most 1 / (1 - decay). */
	weight: number;
};

/** Factor on the weight of earlier observations for each new one; about the last 12 tasks count. */
const decay = 0.92;

/** Weight of the mean of the minion's kind, in observations of the minion itself. */
const priorWeight = 3;

/** Ratios above 12 or below 1/12 are clamped, so that a single outlier can't dominate the mean. */
const maxLogRatio = Math.log(12);

/** Creates a slowness without observations. */
export const createSlowness = (): Slowness => ({meanLogRatio: 0, weight: 0});

/** Records the run time of a completed task. */
export const recordRunTime = (slowness: Slowness, actualMs: number, estimateMs: number): void => {
	const ratio = Math.max(1, actualMs) / Math.max(1, estimateMs);
	const logRatio = Math.min(maxLogRatio, Math.max(-maxLogRatio, Math.log(ratio)));
	const keptWeight = slowness.weight * decay;
	slowness.meanLogRatio = ((slowness.meanLogRatio * keptWeight) + logRatio) / (keptWeight + 1);
	slowness.weight = keptWeight + 1;
};

/** Expected ratio of actual to estimated run time, from the slowness of a minion and of its kind; 1 without observations. */
export const slownessFactor = (slowness: Slowness, kind: Slowness): number => {
	const priorLogRatio = kind.weight > 0 ? kind.meanLogRatio : 0;
	return Math.exp(((slowness.meanLogRatio * slowness.weight) + (priorLogRatio * priorWeight)) / (slowness.weight + priorWeight));
};
