/**
 * Takes minions out of use that fail one run after the other.
 *
 * A minion that fails its runs at once looks free, and would attract every waiting task.
 */
import {type Minion} from './minion.js';

/** Number of consecutive failures after which a minion is quarantined. */
const failuresUntilQuarantine = 2;

/** Length of a minion's first quarantine and the limit of its doubling, in milliseconds. */
const quarantineMs = {first: 1000, max: 8000} as const;

/** Records a failed run at a time on the monotonic clock, in milliseconds; returns whether the minion is quarantined now. */
export const noteFailure = (minion: Minion, now: number): boolean => {
	minion.consecutiveFailures += 1;
	if (minion.consecutiveFailures < failuresUntilQuarantine) {
		return false;
	}

	minion.quarantineMs = Math.min(quarantineMs.max, Math.max(quarantineMs.first, minion.quarantineMs * 2));
	minion.quarantinedUntil = now + minion.quarantineMs;
	minion.isOnProbation = true;
	return true;
};

/** Records that a task has completed on the minion: it gets more than one run at a time again. */
export const endProbation = (minion: Minion): void => {
	minion.consecutiveFailures = 0;
	minion.isOnProbation = false;
	minion.quarantineMs = 0;
};

/** Clears the failures of an earlier incarnation. */
export const resetFailures = (minion: Minion): void => {
	minion.consecutiveFailures = 0;
	minion.quarantinedUntil = 0;
};
