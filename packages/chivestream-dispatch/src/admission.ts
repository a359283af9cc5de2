/**
 * Whether a job is taken, refused at once or sent to another cell.
 *
 * Answers bursts above capacity: a queue without bound holds every job until its deadline and serves none in time.
 */
import {longestChainMs, type Job} from './job.js';
import {latestStart} from './waiting.js';

/** How much later than its objective a job may end and still be of use, as a multiple of the objective. */
const lateFactor = 3;

/** Least time to wait before a refused job is worth sending again, in milliseconds. */
const minRetryAfterMs = 200;

/** Longest wait that a refusal asks for, in milliseconds. */
const maxRetryAfterMs = 5000;

/** The last time at which the answer of a job is of use to its caller. */
export const lastUsefulEnd = (job: Job): number => {
	const objectiveMs = job.request.objectiveDeadline - job.arrivedAt;
	return Math.min(job.request.deadline, job.arrivedAt + (lateFactor * objectiveMs));
};

/** Whether a job whose waiting tasks begin at a time can no longer end in time to be of use. */
export const isHopeless = (job: Job, beginAt: number): boolean =>
	beginAt + longestChainMs(job.request.steps) > lastUsefulEnd(job);

/**
 * Part of a job's estimated chain that has to be left when it begins: estimates are off by 40%. Replays of 1.4 times the
 * usual load earn 0.02 to 0.04 more with it than without; a half costs 0.015 of a load without overload.
 */
const marginShare = 0.3;

/** Whether a job that begins at a time is predicted to miss its objective. */
export const isPredictedLate = (job: Job, beginAt: number): boolean =>
	beginAt > latestStart(job) - (marginShare * longestChainMs(job.request.steps));

/** When a refused caller should come back: once the work ahead is done, spread so that callers don't return together. */
export const retryAfterMs = (backlogMs: number, draw: number): number =>
	Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, Math.round(backlogMs * (1 + draw))));
