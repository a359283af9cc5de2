/** Replaceable policies of the scheduler: how the target of a task is selected, and in which order jobs run. */
import {type JobGroup, type WaitingTask} from './fair-queue.js';
import {
	expectedWorkMs, taskResources, type Pool,
} from './pool.js';
import {minCompletionAfterWaitMs, refreshSpeedTable} from './speed-table.js';
import {geometricMean} from './speed.js';
import {fits, type Target} from './target.js';

/** Selects a target with free capacity for the task; undefined when there is none, or when waiting is better. */
export type TargetSelector = (pool: Pool, waiting: WaitingTask, now: number) => Target | undefined;

/** Computes the rank of a job among those of its team; the lowest runs first. */
export type JobRanker = (group: Omit<JobGroup, 'rank'>) => number;

/** A task waits for a faster slot if it is then expected to end within this share of its run time on the free slot. */
const maxWaitRatio = 0.6;

/** Selects the fastest target with free capacity for the task. */
export const selectFastest: TargetSelector = (pool, {task}, now) => {
	const resources = taskResources(task);
	return pool.freeTargets.fastest(target => fits(target, resources, now));
};

/**
Selects the fastest target with free capacity, unless the task is expected to end much sooner if it waits, behind all tasks
that wait already, for a faster slot that is busy now.
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

/** Ranks jobs in order of arrival. */
export const rankByArrival: JobRanker = ({enqueuedAt}) => enqueuedAt;

/** Added to the arrival time of a job for each millisecond of its longest task. */
const waitPerRunTime = 5;

/** Largest share of the time from arrival to deadline that is added. */
const maxWaitShare = 0.5;

/**
Ranks jobs by arrival time plus five times the run time of their longest task, at most half the time to their deadline.
Short jobs overtake long ones, but long jobs still start early enough to end before their deadline.
*/
export const rankByProportionalWait: JobRanker = ({enqueuedAt, longestTaskMs, deadline}) =>
	enqueuedAt + Math.min(waitPerRunTime * longestTaskMs, maxWaitShare * (deadline - enqueuedAt));
