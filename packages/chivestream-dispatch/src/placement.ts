/**
 * Selects the minion that runs a task.
 *
 * Speeds of minions differ by a factor of up to 2.7, and some minions fail or stall. At high load a long task on a slow
 * minion misses its objective where a short one doesn't, so a task goes to the slowest minion that is
 * fast enough, or to the fastest if none is.
 */
import {hasCrashed} from './crash.js';
import {
	fits, freeResources, type Minion, type Resources,
} from './minion.js';
import {mustRunAlone, type Job, type Task} from './job.js';

/** Inputs of a placement that are the same for all tasks and minions. */
export type PoolView = {
	/** Time of the placement on the monotonic clock, in milliseconds. */
	now: number;
	/** Factor on the run time of a task that runs outside its preferred rack. */
	farFactor: number;
	/** Returns the expected ratio of actual to estimated run time on a minion. */
	expectedSlowness: (minion: Minion) => number;
	/** Whether the leases on a minion and on the job of a task leave enough time to start the task there. */
	isLeaseSufficient: (minion: Minion, task: Task) => boolean;
	/** The minion that gets no new runs until it is empty, and the task that then runs alone there. */
	reservation?: Reservation | undefined;
};

/** A minion kept free for a task that must run alone. */
export type Reservation = {minion: Minion; task: Task};

/** A minion selected for a task. */
export type Placement = {
	minion: Minion;
	/** Expected run time there, in milliseconds. */
	expectedMs: number;
};

/** Safety margin before the end of the objective, as a share of the expected run time; estimates are off by 40%. */
const marginShare = 0.5;

/** The resources that a task uses. */
export const taskResources = (task: Task): Resources => ({
	millicores: task.step.millicores,
	memoryMb: task.step.memoryMb,
	accelerators: task.step.accelerators,
});

const countRunsOfStep = (minion: Minion, task: Task): number => {
	let count = 0;
	for (const run of minion.runs.values()) {
		if (run.assignedTask?.job === task.job && run.assignedTask.stepIndex === task.stepIndex) {
			count += 1;
		}
	}

	return count;
};

/** Whether the registry still describes an earlier incarnation; the current one may have another capacity and other labels. */
const isRecordOutdated = (minion: Minion): boolean => minion.record.bornAt !== 0 && minion.record.bornAt < minion.bornAt;

/** Whether each step of a job fits within the given amounts. */
export const fitsWithin = (job: Job, available: Resources): boolean => job.request.steps.every(step => fits(available, step));

/** Whether a minion accepts new work now, if it has free resources. */
export const isUsable = (minion: Minion, now: number): boolean =>
	minion.isSynced && minion.isReachable && !minion.isUnregistered && !minion.record.isDraining && !isRecordOutdated(minion)
	&& now >= minion.quarantinedUntil && !(minion.isOnProbation && minion.runs.size > 0);

/** How long after its last report an unreachable minion still counts as capacity, in milliseconds. Single answers get lost. */
const unreachableGraceMs = 1000;

/** Whether a minion is usable now, or is only briefly unreachable. */
export const isExpectedUsable = (minion: Minion, now: number): boolean =>
	!minion.isUnregistered && !minion.record.isDraining && !hasCrashed(minion) && now >= minion.quarantinedUntil
	&& (isUsable(minion, now) || now < minion.reportedAt + unreachableGraceMs);

/** Whether the declarations of a task allow it on a minion, apart from free resources. */
export const isEligible = (minion: Minion, task: Task): boolean => {
	const {step, job} = task;
	if (minion.record.upstream !== job.request.upstream) {
		return false;
	}

	if (step.requiredLabel !== undefined && !minion.record.labels.includes(step.requiredLabel)) {
		return false;
	}

	return step.maxPerMinion === undefined || countRunsOfStep(minion, task) < step.maxPerMinion;
};

const expectedRunMs = (minion: Minion, task: Task, view: PoolView): number => {
	const {preferredRack, estimateMs} = task.step;
	const isFar = preferredRack !== undefined && !minion.record.labels.includes(preferredRack);
	return estimateMs * view.expectedSlowness(minion) * (isFar ? view.farFactor : 1);
};

const isBetter = (one: Placement, other: Placement, task: Task, now: number): boolean => {
	const isOneAvoided = task.avoidedMinions.has(one.minion.record.id);
	if (isOneAvoided !== task.avoidedMinions.has(other.minion.record.id)) {
		return !isOneAvoided;
	}

	const latestEnd = Math.min(task.job.request.objectiveDeadline, task.job.request.deadline);
	const meetsOne = now + (one.expectedMs * (1 + marginShare)) <= latestEnd;
	const meetsOther = now + (other.expectedMs * (1 + marginShare)) <= latestEnd;
	if (meetsOne !== meetsOther) {
		return meetsOne;
	}

	// If both meet the objective, prefers the slower minion and so keeps the faster one for longer tasks.
	return meetsOne ? one.expectedMs > other.expectedMs : one.expectedMs < other.expectedMs;
};

/** Selects the best minion with enough free resources for a task, without any run if the task must run alone; undefined if there is none. */
export const placeTask = (task: Task, minions: Iterable<Minion>, view: PoolView): Placement | undefined => {
	const required = taskResources(task);
	const isAlone = mustRunAlone(task);
	let best: Placement | undefined;
	for (const minion of minions) {
		const isReserved = view.reservation?.minion === minion && view.reservation.task !== task;
		if (isReserved || (isAlone && minion.runs.size > 0) || !isUsable(minion, view.now) || !isEligible(minion, task) || !fits(freeResources(minion), required)
			|| !view.isLeaseSufficient(minion, task)) {
			continue;
		}

		const candidate = {minion, expectedMs: expectedRunMs(minion, task, view)};
		if (best === undefined || isBetter(candidate, best, task, view.now)) {
			best = candidate;
		}
	}

	return best;
};
