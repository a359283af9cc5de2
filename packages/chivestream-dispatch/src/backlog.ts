/**
 * The work that waits, and how soon a pool gets to it.
 *
 * Answers bursts in which hundreds of jobs wait at once and an end comes every millisecond: a pass over the jobs must not
 * look at every minion for every task, nor compare every job with every other.
 */
import {factorOf, type Book} from './book.js';
import {
	taskState, type Job, type Step, type Task,
} from './job.js';
import {isCountedOn} from './placement.js';

/** Estimated work of a job's tasks that have not begun, in milliseconds. */
export const waitingWorkMs = (job: Job): number => {
	let workMs = 0;
	for (const task of job.tasks) {
		workMs += task.state === taskState.waiting ? task.step.estimateMs : 0;
	}

	return workMs;
};

/** Whether a task of the job waits for room. */
export const hasWaiting = (job: Job): boolean => job.tasks.some(task => task.state === taskState.waiting);

/** Estimated work of all jobs that go before one, in milliseconds. */
export const workAheadMs = (job: Job, jobs: Iterable<Job>, compare: (one: Job, other: Job) => number): number => {
	let workMs = 0;
	for (const other of jobs) {
		if (other !== job && compare(other, job) < 0) {
			workMs += waitingWorkMs(other);
		}
	}

	return workMs;
};

/** Tasks of a size and of nominal speed that run side by side on the minions that can be counted on; at least one. */
export const parallelTasks = (book: Book, millicores: number, now: number): number => {
	let tasks = 0;
	for (const minion of book.minions.values()) {
		if (isCountedOn(minion, now)) {
			tasks += Math.floor(minion.record.capacity.millicores / millicores) / factorOf(book, minion);
		}
	}

	return Math.max(1, tasks);
};

/** Sizes of tasks that found no room; none as large is tried again before room may have come. */
export class FullSizes {
	/** For each upstream and label, the sizes of which none is larger than another. */
	private readonly sizes = new Map<string, Step[]>();
	private roomChanges = -1;

	/** Forgets all sizes if room may have come since the last call. */
	refresh(roomChanges: number): void {
		if (roomChanges !== this.roomChanges) {
			this.roomChanges = roomChanges;
			this.sizes.clear();
		}
	}

	/** Whether a task of this size or a smaller one found no room. */
	has(task: Task): boolean {
		return this.sizes.size > 0 && (this.sizes.get(poolOf(task))?.some(size => isAtLeast(task.step, size)) ?? false);
	}

	/** A task found no room. */
	add(task: Task): void {
		// With a limit for each minion the task's own job may be what is in the way, which says nothing of others.
		if (task.step.maxPerMinion === undefined) {
			const sizes = this.sizes.get(poolOf(task)) ?? [];
			this.sizes.set(poolOf(task), [...sizes.filter(size => !isAtLeast(size, task.step)), task.step]);
		}
	}
}

const poolOf = ({step, job}: Task): string => `${job.request.upstream} ${step.requiredLabel ?? ''}`;

const isAtLeast = (one: Step, other: Step): boolean =>
	one.millicores >= other.millicores && one.memoryMb >= other.memoryMb && one.accelerators >= other.accelerators;
