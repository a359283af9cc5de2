/**
 * Predicts whether a job can complete in time, so that a dispatcher can refuse or redirect it early.
 *
 * In a burst above capacity, an unbounded queue holds every job until its deadline and serves none in time.
 */
import {criticalPathMs, type Job} from './job.js';
import {latestStart} from './job-order.js';

/** How long a job may take and still be useful, as a multiple of its objective. */
const usefulTimeFactor = 3;

/** Minimum retry delay in a refusal, in milliseconds; resubmitting the job earlier is not worthwhile. */
const minRetryAfterMs = 200;

/** Maximum retry delay in a refusal, in milliseconds. */
const maxRetryAfterMs = 5000;

/** The latest time at which the result of a job is still useful to its caller; never after its deadline. */
export const latestUsefulEnd = (job: Job): number => {
	const objectiveMs = job.request.objectiveDeadline - job.arrivedAt;
	return Math.min(job.request.deadline, job.arrivedAt + (usefulTimeFactor * objectiveMs));
};

/** Whether a job that starts at `startAt` would complete too late to be useful. */
export const cannotFinishInTime = (job: Job, startAt: number): boolean =>
	startAt + criticalPathMs(job.request.steps) > latestUsefulEnd(job);

/**
 * Safety margin before the latest start, as a share of the job's critical path; estimates are off by 40%. In replays of
 * 1.4 times the usual load it earns 0.02 to 0.04 more of the total worth than no margin. A margin of 0.5 costs 0.015 on
 * loads without overload.
 */
const marginShare = 0.3;

/** Whether a job that starts at `startAt` is predicted to miss its objective. */
export const isPredictedLate = (job: Job, startAt: number): boolean =>
	startAt > latestStart(job) - (marginShare * criticalPathMs(job.request.steps));

/**
 * Retry delay for a refused caller, in milliseconds: once to twice the time that the backlog takes, within the bounds
 * above. The jitter, from 0 to 1, keeps callers from retrying all at once.
 */
export const retryAfterMs = (backlogMs: number, jitter: number): number =>
	Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, Math.round(backlogMs * (1 + jitter))));
