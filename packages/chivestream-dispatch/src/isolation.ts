/**
 * Decides when a task starts that may crash its minion, and keeps a minion free for it.
 *
 * Such a task runs alone. At steady high load each freed slot is filled at once, so that no minion would ever be empty: one at a
 * time takes no new runs until it is. A task that has probably crashed a minion may cost the next one too. It waits for several
 * empty minions, but not for long: the last task that started on a minion which fails by itself is suspected as well.
 */
import {fits, type Minion} from './minion.js';
import {
	isLikelyDeadly, mustRunAlone, taskState, type Task,
} from './job.js';
import {
	isEligible, isUsable, taskResources, type Reservation,
} from './placement.js';

/** Number of empty minions from which one may be lost to a task that has probably crashed one already. */
const spareMinions = 3;

/** How long such a task waits for empty minions, in milliseconds; at steady high load there may never be any. */
const maxSpareMinionsWaitMs = 3000;

/** Isolates the tasks of a dispatcher that may crash their minions. Times are milliseconds of the monotonic clock. */
export class Isolation {
	private current: Reservation | undefined;

	/** The minion that is kept free, if any. */
	get reservation(): Reservation | undefined {
		return this.current;
	}

	/** Whether a task may start now, as far as the loss of its minion is concerned. */
	mayStart(task: Task, minions: Iterable<Minion>, now: number): boolean {
		if (!isLikelyDeadly(task) || hasSpareMinions(task, minions, now)) {
			return true;
		}

		task.spareMinionsDeadline ??= now + maxSpareMinionsWaitMs;
		return now >= task.spareMinionsDeadline;
	}

	/** Reserves the minion that is expected to be empty first, if the task must run alone and no other has a reservation. */
	reserve(task: Task, minions: Iterable<Minion>, now: number): void {
		if (!mustRunAlone(task) || this.current !== undefined) {
			return;
		}

		const minion = firstEmptyMinion(task, minions, now);
		this.current = minion === undefined ? undefined : {minion, task};
	}

	/** Ends the reservation if its task no longer waits or its minion can't be used; returns whether it did. */
	release(now: number): boolean {
		if (this.current === undefined) {
			return false;
		}

		const {minion, task} = this.current;
		if (!task.job.isSettled && task.state === taskState.waiting && isUsable(minion, now)) {
			return false;
		}

		this.current = undefined;
		return true;
	}
}

/** Whether enough of the minions that may run a task are empty, or all that can be used, to lose one of them. */
const hasSpareMinions = (task: Task, minions: Iterable<Minion>, now: number): boolean => {
	let usable = 0;
	let empty = 0;
	for (const minion of minions) {
		if (isUsable(minion, now) && isEligible(minion, task)) {
			usable += 1;
			empty += minion.runs.size === 0 ? 1 : 0;
		}
	}

	return empty >= Math.min(spareMinions, usable);
};

/** When the last run on a minion is expected to end; -Infinity if it has none. */
const expectedEmptyAt = (minion: Minion): number =>
	Math.max(...[...minion.runs.values()].map(run => run.requestedAt + run.expectedMs));

/** The minion that is expected to be empty first, among those that may run the task. */
const firstEmptyMinion = (task: Task, minions: Iterable<Minion>, now: number): Minion | undefined => {
	const required = taskResources(task);
	let best: Minion | undefined;
	for (const minion of minions) {
		const isPossible = isUsable(minion, now) && isEligible(minion, task) && fits(minion.record.capacity, required);
		if (isPossible && (best === undefined || expectedEmptyAt(minion) < expectedEmptyAt(best))) {
			best = minion;
		}
	}

	return best;
};
