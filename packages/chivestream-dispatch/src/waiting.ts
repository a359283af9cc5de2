/**
 * The order of the jobs that wait.
 *
 * Answers bursts above capacity in which wide urgent jobs and long patient ones come together. A job of which a part has
 * run goes first, since what has run is of no use without the rest. Then come the jobs that can still meet their
 * objective, the most urgent priority first, and within one priority the job that must begin soonest.
 */
import {longestChainMs, type Job} from './job.js';

/** The latest time at which a job may begin and still meet its objective at nominal speed. */
export const latestStart = (job: Job): number =>
	job.request.objectiveDeadline - longestChainMs(job.request.steps);

/** Compares two jobs that wait at a time; the one that goes first is less. */
export const compareWaiting = (now: number) => (one: Job, other: Job): number => {
	if (one.hasBegun !== other.hasBegun) {
		return one.hasBegun ? -1 : 1;
	}

	const oneStart = latestStart(one);
	const otherStart = latestStart(other);
	const isOneLate = oneStart < now;
	if (isOneLate !== (otherStart < now)) {
		return isOneLate ? 1 : -1;
	}

	return one.request.priority - other.request.priority || oneStart - otherStart;
};
