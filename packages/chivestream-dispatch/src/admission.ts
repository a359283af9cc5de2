/**
 * Whether a job is taken, refused at once or sent to another zone.
 *
 * Answers bursts above capacity: a queue without bound holds every job until its deadline and serves none in time.
 */
import {longestChainMs, type Job} from './job.js';

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

/** When a refused caller should come back: once the work ahead is done, spread so that callers don't return together. */
export const retryAfterMs = (backlogMs: number, draw: number): number =>
	Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, Math.round(backlogMs * (1 + draw))));
