/**
 * Which minion runs a task.
 *
 * Answers a pool of minions whose speeds differ by up to 2.7, some of which fail or stand still, at high load: a long
 * task on a slow minion misses its objective, a short one doesn't.
 */
import {
	fits, freeRoom, type Minion, type Room,
} from './minion.js';
import {type Task} from './job.js';

/** What the placement knows of the whole pool. */
export type PoolView = {
	now: number;
	/** How much longer a task takes away from its data's rack. */
	farFactor: number;
	/** Expected slowness of a minion. */
	factorOf: (minion: Minion) => number;
};

/** A minion that can take a task, with the run time to expect there in milliseconds. */
export type Placement = {
	minion: Minion;
	expectedMs: number;
};

/** Part of the expected run time that is kept free before the objective ends: estimates are off by 40%. */
const marginShare = 0.5;

/** The room that a task takes. */
export const roomOf = (task: Task): Room => ({
	millicores: task.step.millicores,
	memoryMb: task.step.memoryMb,
	accelerators: task.step.accelerators,
});

const countOfStep = (minion: Minion, task: Task): number => {
	let count = 0;
	for (const run of minion.runs.values()) {
		if (run.owner?.job === task.job && run.owner.stepIndex === task.stepIndex) {
			count += 1;
		}
	}

	return count;
};

/** Whether a minion takes new work at all. */
export const isUsable = (minion: Minion, now: number): boolean =>
	minion.isSynced && minion.isReachable && !minion.isGone && !minion.record.isDraining
	&& now >= minion.quarantinedUntil && !(minion.isOnProbation && minion.runs.size > 0);

/** A minion that has not answered for so long is no longer counted on, in milliseconds; single answers get lost. */
const countedOnMs = 1000;

/** Whether a minion will take work soon, though it may not answer at this moment. */
export const isCountedOn = (minion: Minion, now: number): boolean =>
	!minion.isGone && !minion.record.isDraining && now >= minion.quarantinedUntil
	&& (isUsable(minion, now) || now < minion.reportedAt + countedOnMs);

/** Whether a task may run on a minion by its declarations, whatever is free there. */
export const isAllowed = (minion: Minion, task: Task): boolean => {
	const {step, job} = task;
	if (minion.record.upstream !== job.request.upstream) {
		return false;
	}

	if (step.requiredLabel !== undefined && !minion.record.labels.includes(step.requiredLabel)) {
		return false;
	}

	return step.maxPerMinion === undefined || countOfStep(minion, task) < step.maxPerMinion;
};

const expectedMsOn = (minion: Minion, task: Task, view: PoolView): number => {
	const {preferredRack, estimateMs} = task.step;
	const isFar = preferredRack !== undefined && !minion.record.labels.includes(preferredRack);
	return estimateMs * view.factorOf(minion) * (isFar ? view.farFactor : 1);
};

const isBetter = (one: Placement, other: Placement, task: Task, now: number): boolean => {
	const avoidsOne = task.avoided.has(one.minion.record.id);
	if (avoidsOne !== task.avoided.has(other.minion.record.id)) {
		return !avoidsOne;
	}

	const end = Math.min(task.job.request.objectiveDeadline, task.job.request.deadline);
	const meetsOne = now + (one.expectedMs * (1 + marginShare)) <= end;
	const meetsOther = now + (other.expectedMs * (1 + marginShare)) <= end;
	if (meetsOne !== meetsOther) {
		return meetsOne;
	}

	// Both meet the objective: the slower one will do, which leaves the faster one to longer tasks.
	return meetsOne ? one.expectedMs > other.expectedMs : one.expectedMs < other.expectedMs;
};

/** The best minion with room for a task; undefined when none has. */
export const placeTask = (task: Task, minions: Iterable<Minion>, view: PoolView): Placement | undefined => {
	const need = roomOf(task);
	let best: Placement | undefined;
	for (const minion of minions) {
		if (!isUsable(minion, view.now) || !isAllowed(minion, task) || !fits(freeRoom(minion), need)) {
			continue;
		}

		const candidate = {minion, expectedMs: expectedMsOn(minion, task, view)};
		if (best === undefined || isBetter(candidate, best, task, view.now)) {
			best = candidate;
		}
	}

	return best;
};
