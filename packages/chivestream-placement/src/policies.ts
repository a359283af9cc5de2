/** The choices of a scheduler that are passed as functions. */
import {type JobGroup, type WaitingTask} from './fair-queue.js';
import {
	expectedWorkMs, needOfTask, type Pool,
} from './pool.js';
import {endAfterWaitMs, refreshSpeedTable} from './speed-table.js';
import {estimateOf} from './speed.js';
import {fits, type Target} from './target.js';

/** Picks a target with room for the task; undefined when there is none, or when it is better to wait. */
export type TargetChoice = (pool: Pool, waiting: WaitingTask, now: number) => Target | undefined;

/** Ranks a job among those of its team; lower goes first. */
export type JobOrder = (group: Omit<JobGroup, 'order'>) => number;

/** Share of the run time on the free slot below which waiting is worthwhile. */
const worthwhileWait = 0.6;

/** The fastest target with a free slot. */
export const chooseFastest: TargetChoice = (pool, {task}, now) => {
	const need = needOfTask(task);
	return pool.free.fastest(target => fits(target, need, now));
};

/**
The fastest target with a free slot, unless the task is expected to end much sooner on a faster slot that is busy now,
behind all that waits already.
*/
export const chooseFastestSoon: TargetChoice = (pool, waiting, now) => {
	const fastest = chooseFastest(pool, waiting, now);
	if (!fastest) {
		return undefined;
	}

	refreshSpeedTable(pool.speeds, pool.targets.values(), now);
	const workMs = expectedWorkMs(pool, waiting.task);
	const slowness = estimateOf(fastest.slowness);
	const laterMs = endAfterWaitMs(pool.speeds, slowness, {workMs, meanWorkMs: pool.meanWorkMs, ahead: pool.queue.size() - 1});
	const endMs = workMs * slowness;
	return laterMs < endMs * worthwhileWait && endMs < waiting.task.deadline - now ? undefined : fastest;
};

/** Jobs in the order in which they came. */
export const orderByArrival: JobOrder = ({enqueuedAt}) => enqueuedAt;

const waitPerRunTime = 5;

const largestWaitShare = 0.5;

/**
Jobs by arrival plus a few times the run time of their longest task, at most a quarter of the time to their deadline: a
short job passes a long one, but a long one still starts early enough to end.
*/
export const orderByProportionalWait: JobOrder = ({enqueuedAt, longestMs, deadline}) =>
	enqueuedAt + Math.min(waitPerRunTime * longestMs, largestWaitShare * (deadline - enqueuedAt));
