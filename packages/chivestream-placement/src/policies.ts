/** The choices of a scheduler that are passed as functions. */
import {type JobGroup, type WaitingTask} from './fair-queue.js';
import {expectedMs, needOfTask, type Pool} from './pool.js';
import {estimateOf} from './speed.js';
import {fits, type Target} from './target.js';

/** Picks a target with room for the task; undefined when there is none. */
export type TargetChoice = (pool: Pool, waiting: WaitingTask, now: number) => Target | undefined;

/** Ranks a job among those of its team; lower goes first. */
export type JobOrder = (group: Omit<JobGroup, 'order'>) => number;

/** The fastest target with a free slot. */
export const chooseFastest: TargetChoice = (pool, {task}, now) => {
	const need = needOfTask(task);
	return pool.free.fastest(target => fits(target, need, now));
};

/**
The slowest target on which the task still ends before its job's last one, so that fast slots stay free for the tasks
that a job waits for; the fastest when there is none.
*/
export const chooseBySlack: TargetChoice = (pool, waiting, now) => {
	const need = needOfTask(waiting.task);
	const isAccepted = (target: Target) => fits(target, need, now);
	const fastest = pool.free.fastest(isAccepted);
	if (!fastest) {
		return undefined;
	}

	const slackMs = waiting.group.expectedEnd - now;
	const fastestMs = expectedMs(pool, waiting.task, fastest);
	if (slackMs <= fastestMs) {
		return fastest;
	}

	const allowedSlowness = estimateOf(fastest.slowness) * slackMs / fastestMs;
	const isInTime = (target: Target) => isAccepted(target) && estimateOf(target.slowness) <= allowedSlowness;
	return pool.free.slowestWithin(allowedSlowness, isInTime) ?? fastest;
};

/** Jobs in the order in which they came. */
export const orderByArrival: JobOrder = ({enqueuedAt}) => enqueuedAt;

const waitPerRunTime = 1;

/** Jobs by arrival plus the run time of their longest task: a short job passes a long one, but none waits for ever. */
export const orderByProportionalWait: JobOrder = ({enqueuedAt, longestMs}) => enqueuedAt + (waitPerRunTime * longestMs);
