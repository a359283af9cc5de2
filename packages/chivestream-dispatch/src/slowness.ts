/**
 * How much longer tasks take on a minion than they are estimated to take.
 *
 * Answers the load pattern of minions of several speeds whose declared run times are off by 40% and which turn slow for
 * some seconds.
 */

/** Learned slowness: the logarithm of actual over estimated run time, as a decaying mean. */
export type Slowness = {
	meanLog: number;
	/** Weight of what was observed, at most 1 / (1 - decay). */
	weight: number;
};

/** Share of the old observations that stays with each new one: about the last 12 tasks count. */
const decay = 0.92;

/** Observations that the mean of the minion's kind counts for. */
const priorWeight = 3;

/** Ratios beyond these bounds are cut, so that one odd task doesn't decide. */
const maxLogRatio = Math.log(12);

/** Nothing learned yet. */
export const createSlowness = (): Slowness => ({meanLog: 0, weight: 0});

/** Takes in the run time of one task that ended well. */
export const learn = (slowness: Slowness, actualMs: number, estimateMs: number): void => {
	const ratio = Math.max(1, actualMs) / Math.max(1, estimateMs);
	const logRatio = Math.min(maxLogRatio, Math.max(-maxLogRatio, Math.log(ratio)));
	const kept = slowness.weight * decay;
	slowness.meanLog = ((slowness.meanLog * kept) + logRatio) / (kept + 1);
	slowness.weight = kept + 1;
};

/** The factor by which a task takes longer than estimated, from the minion's tasks and those of its kind. */
export const slownessFactor = (slowness: Slowness, kind: Slowness): number => {
	const prior = kind.weight > 0 ? kind.meanLog : 0;
	return Math.exp(((slowness.meanLog * slowness.weight) + (prior * priorWeight)) / (slowness.weight + priorWeight));
};
