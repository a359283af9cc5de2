/**
 * Measures how late this process handles its events.
 *
 * On a small or busy host an answer that has arrived is read late. Without an allowance for it, a loaded dispatcher takes minions for
 * unreachable, stops the runs that it has just started and starts them again, which adds to its load.
 */

/** Share of the delay that remains after each later measurement; half of it is left after about a second of measurements. */
const decay = 0.97;

/** The recent delay of a process. */
export type ProcessDelay = {
	/** Records by how much a timer was late, in milliseconds. */
	record: (lateMs: number) => void;
	/** The largest recent delay, in milliseconds; older ones count less. */
	recentMs: () => number;
};

/** Creates a delay without measurements. */
export const createProcessDelay = (): ProcessDelay => {
	let delayMs = 0;
	return {
		record(lateMs) {
			delayMs = Math.max(lateMs, delayMs * decay);
		},
		recentMs: () => delayMs,
	};
};

/** How long an answer may take beyond the time that the peer was asked to wait, in milliseconds: many round trips. */
const answerTimeoutMs = 150;

/** Limit of the timeout, in milliseconds, so that a lost answer is noticed well within a lease. */
const maxAnswerTimeoutMs = 400;

/** Timeout of a request to a minion: both sending it and reading its answer may be late by the recent delay of this process. */
export const answerTimeout = (recentDelayMs: number): number => Math.min(maxAnswerTimeoutMs, answerTimeoutMs + (2 * recentDelayMs));
