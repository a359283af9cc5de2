/**
 * The order of the jobs that wait.
 *
 * Answers bursts above capacity in which short jobs with little slack and long jobs with much slack come together: the
 * job that must start soonest to meet its objective goes first, and one that can't meet it any more goes behind all
 * that still can.
 */
import {longestChainMs, type Job} from './job.js';

/** The latest time at which a job may begin and still meet its objective at nominal speed. */
export const latestStart = (job: Job): number =>
	job.request.objectiveDeadline - longestChainMs(job.request.steps);

/** Compares two jobs: what has begun, then what can meet its objective, then urgency. */
export const compareWaiting = (now: number) => (one: Job, other: Job): number => {
	const oneStart = latestStart(one);
	const otherStart = latestStart(other);
	const isOneLate = oneStart < now;
	const isOtherLate = otherStart < now;
	if (isOneLate !== isOtherLate) {
		return isOneLate ? 1 : -1;
	}

	return oneStart - otherStart || one.request.priority - other.request.priority;
};
