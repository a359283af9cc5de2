/** The choices of a scheduler that are passed as functions. */
import {type JobGroup, type WaitingTask} from './fair-queue.js';
import {
	expectedWorkMs, taskResources, type Pool,
} from './pool.js';
import {minCompletionAfterWaitMs, refreshSpeedTable} from './speed-table.js';
import {geometricMean} from './speed.js';
import {fits, type Target} from './target.js';

/** Picks a target with room for the task; undefined when there is none, or when it is better to wait. */
export type TargetSelector = (pool: Pool, waiting: WaitingTask, now: number) => Target | undefined;

/** Ranks a job among those of its team; lower goes first. */
export type JobRanker = (group: Omit<JobGroup, 'rank'>) => number;

/** Share of the run time on the free slot below which waiting is worthwhile. */
const maxWaitRatio = 0.6;

/** The fastest target with a free slot. */
export const selectFastest: TargetSelector = (pool, {task}, now) => {
	const resources = taskResources(task);
	return pool.freeTargets.fastest(target => fits(target, resources, now));
};

/**
The fastest target with a free slot, unless the task is expected to end much sooner on a faster slot that is busy now,
behind all that waits already.
*/
export const selectFastestOrWait: TargetSelector = (pool, waiting, now) => {
	const fastest = selectFastest(pool, waiting, now);
	if (!fastest) {
		return undefined;
	}

	refreshSpeedTable(pool.speeds, pool.targets.values(), now);
	const workMs = expectedWorkMs(pool, waiting.task);
	const slowness = geometricMean(fastest.slowness);
	const afterWaitMs = minCompletionAfterWaitMs(pool.speeds, slowness, {workMs, meanWorkMs: pool.meanWorkMs, tasksAhead: pool.queue.size() - 1});
	const immediateMs = workMs * slowness;
	return afterWaitMs < immediateMs * maxWaitRatio && immediateMs < waiting.task.deadline - now ? undefined : fastest;
};

/** Jobs in the order in which they came. */
export const rankByArrival: JobRanker = ({enqueuedAt}) => enqueuedAt;

const waitPerRunTime = 5;

const maxWaitShare = 0.5;

/**
Jobs by arrival plus a few times the run time of their longest task, at most a quarter of the time to their deadline: a
short job passes a long one, but a long one still starts early enough to end.
*/
export const rankByProportionalWait: JobRanker = ({enqueuedAt, longestTaskMs, deadline}) =>
	enqueuedAt + Math.min(waitPerRunTime * longestTaskMs, maxWaitShare * (deadline - enqueuedAt));
