/**
 * Measures the waiting work and the capacity of the pool to run it.
 *
 * In a burst, hundreds of jobs wait at once and a run ends every millisecond. A scheduling pass must therefore not check
 * every minion for every task, nor compare every job with every other.
 */
import {expectedSlowness, type MinionPool} from './minion-pool.js';
import {
	mustRunAlone, taskState, type Job, type Step, type Task,
} from './job.js';
import {isExpectedUsable} from './placement.js';

/** Sum of the estimated run times of a job's waiting tasks, in milliseconds. */
export const waitingWorkMs = (job: Job): number => {
	let workMs = 0;
	for (const task of job.tasks) {
		workMs += task.state === taskState.waiting ? task.step.estimateMs : 0;
	}

	return workMs;
};

/** Whether a task of the job is ready but not placed. */
export const hasWaitingTasks = (job: Job): boolean => job.tasks.some(task => task.state === taskState.waiting);

/** Estimated waiting work of all jobs that `compare` orders before a job, in milliseconds. */
export const workAheadMs = (job: Job, jobs: Iterable<Job>, compare: (one: Job, other: Job) => number): number => {
	let workMs = 0;
	for (const other of jobs) {
		if (other !== job && compare(other, job) < 0) {
			workMs += waitingWorkMs(other);
		}
	}

	return workMs;
};

/**
 * How many tasks of the given CPU size the pool can run in parallel, converted to minions of nominal speed; at least 1.
 * Minions that are only briefly unreachable are included.
 */
export const parallelTasks = (pool: MinionPool, millicores: number, now: number): number => {
	let tasks = 0;
	for (const minion of pool.minions.values()) {
		if (isExpectedUsable(minion, now)) {
			tasks += Math.floor(minion.record.capacity.millicores / millicores) / expectedSlowness(pool, minion);
		}
	}

	return Math.max(1, tasks);
};

/** Sizes of tasks that fit on no minion. Tasks as large are not tried again until free capacity may have grown. */
export class UnplaceableSizes {
	/** Smallest sizes that did not fit, by upstream and required label; none is at least as large as another in all resources. */
	private readonly sizes = new Map<string, Step[]>();
	private capacityRevision = -1;

	/** Clears all sizes if free capacity may have grown since the last call. */
	refresh(capacityRevision: number): void {
		if (capacityRevision !== this.capacityRevision) {
			this.capacityRevision = capacityRevision;
			this.sizes.clear();
		}
	}

	/** Whether a task of this size or smaller did not fit. */
	has(task: Task): boolean {
		return this.sizes.size > 0 && (this.sizes.get(eligibilityKey(task))?.some(size => isAtLeastAsLarge(task.step, size)) ?? false);
	}

	/** Records that a task did not fit on any minion. */
	add(task: Task): void {
		// With a limit per minion, only the tasks of the same job may be in the way, so tasks of other jobs may still fit. A task that
		// must run alone may not fit beside others that do.
		if (task.step.maxPerMinion === undefined && !mustRunAlone(task)) {
			const sizes = this.sizes.get(eligibilityKey(task)) ?? [];
			this.sizes.set(eligibilityKey(task), [...sizes.filter(size => !isAtLeastAsLarge(size, task.step)), task.step]);
		}
	}
}

const eligibilityKey = ({step, job}: Task): string => `${job.request.upstream} ${step.requiredLabel ?? ''}`;

const isAtLeastAsLarge = (one: Step, other: Step): boolean =>
	one.millicores >= other.millicores && one.memoryMb >= other.memoryMb && one.accelerators >= other.accelerators;
