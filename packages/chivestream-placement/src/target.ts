/** The state that an entry host keeps of a minion or worker: its share of the slots, running tasks, speed and health. */
import {type Minion, type Worker} from 'chivestream-core';
import {
	createHealth, isOnTrial, isQuarantined, type TargetHealth,
} from './quarantine.js';
import {createLogMean, type LogMean} from './speed.js';

/** Slots that this host has lent to another until a deadline, in epoch milliseconds. */
export type Loan = {
	grantId: string;
	borrowerId: string;
	count: number;
	deadline: number;
};

/** Slots that this host has borrowed from another until a deadline, in epoch milliseconds. */
export type BorrowedGrant = {
	grantId: string;
	lenderId: string;
	count: number;
	deadline: number;
	/** From this time on, no further task is bound to the slots. */
	bindUntil: number;
};

/** Slots that may still be occupied by a task of their previous host, or by an attempt with unknown outcome. */
export type WithheldSlots = {
	count: number;
	/** When the slots may be used, in epoch milliseconds. */
	availableAt: number;
};

/** A minion or worker that this host may bind tasks to. */
export type Target = {
	id: string;
	upstream: string;
	address: string;
	isWorker: boolean;
	/** Empty for a minion. */
	rack: string;
	/** All slots of a minion, or all cores of a worker. */
	totalUnits: number;
	totalMemoryMb: number;
	totalAccelerators: number;
	/** Slots or cores of this host's share, including those that are withheld or lent. */
	allocatedUnits: number;
	withheld: WithheldSlots[];
	/** Usable part of this host's share before it last shrank. No other host uses the lost slots before `deadline`. */
	lostShare: {units: number; deadline: number};
	/** Loans to other hosts, by grant id. */
	loans: Map<string, Loan>;
	/** Grants from other hosts, by grant id. */
	grants: Map<string, BorrowedGrant>;
	runningTasks: number;
	/** Slots or cores occupied by the running tasks. */
	usedUnits: number;
	usedMemoryMb: number;
	usedAccelerators: number;
	/** Ratio of observed to declared run time; 1 means as declared. */
	slowness: LogMean;
	health: TargetHealth;
	/** No task is bound before this time, in epoch milliseconds; set after a refusal. */
	backoffUntil: number;
	isDraining: boolean;
	/** Bucket of the target in the index of free targets; -1 when it is not there. */
	bucket: number;
	/** Position in the bucket; -1 when it is not there. */
	position: number;
};

const createTarget = (upstream: string, declared: Minion | Worker): Target => ({
	id: declared.id,
	upstream,
	address: declared.address,
	isWorker: 'cores' in declared,
	rack: '',
	totalUnits: 0,
	totalMemoryMb: Number.POSITIVE_INFINITY,
	totalAccelerators: Number.POSITIVE_INFINITY,
	allocatedUnits: 0,
	withheld: [],
	lostShare: {units: 0, deadline: 0},
	loans: new Map(),
	grants: new Map(),
	runningTasks: 0,
	usedUnits: 0,
	usedMemoryMb: 0,
	usedAccelerators: 0,
	slowness: createLogMean(),
	health: createHealth(),
	backoffUntil: 0,
	isDraining: false,
	bucket: -1,
	position: -1,
});

/** Creates the target of a declared minion. Each task occupies a slot and a connection, so the lower number counts. */
export const createMinionTarget = (upstream: string, minion: Minion): Target => ({
	...createTarget(upstream, minion),
	totalUnits: Math.min(minion.slots, minion.connections),
});

/** Creates the target of a declared worker. */
export const createWorkerTarget = (upstream: string, worker: Worker): Target => ({
	...createTarget(upstream, worker),
	rack: worker.rack,
	totalUnits: worker.cores,
	totalMemoryMb: worker.memoryMb,
	totalAccelerators: worker.accelerators,
});

/** Slots or cores of this host's share that are neither withheld nor lent, including busy ones. */
export const usableShare = (target: Target, now: number): number => {
	let units = target.allocatedUnits;
	if (target.withheld.length === 0 && target.loans.size === 0) {
		return units;
	}

	for (const slots of target.withheld) {
		units -= slots.availableAt > now ? slots.count : 0;
	}

	for (const loan of target.loans.values()) {
		units -= loan.count;
	}

	return units;
};

const bindableBorrowedUnits = (target: Target, now: number): number => {
	let units = 0;
	if (target.grants.size === 0) {
		return units;
	}

	for (const grant of target.grants.values()) {
		units += grant.bindUntil > now ? grant.count : 0;
	}

	return units;
};

/** Slots or cores available to a new task now. After a quarantine, 0 while a trial task runs. */
export const freeUnits = (target: Target, now: number): number => {
	if (target.isDraining || target.backoffUntil > now || isQuarantined(target.health, now)) {
		return 0;
	}

	if (isOnTrial(target.health) && target.runningTasks > 0) {
		return 0;
	}

	const free = usableShare(target, now) + bindableBorrowedUnits(target, now) - target.usedUnits;
	return Math.max(0, free);
};

/** Resources that a task occupies on a target. */
export type TaskResources = {
	/** Slots of a minion or cores of a worker. */
	units: number;
	memoryMb: number;
	accelerators: number;
};

const oneSlot: TaskResources = {units: 1, memoryMb: 0, accelerators: 0};

/** Resources that a task occupies on this target: one slot of a minion, or its declared resources on a worker. */
export const resourcesOnTarget = (target: Target, resources: TaskResources): TaskResources => target.isWorker ? resources : oneSlot;

const isShareIdle = (target: Target): boolean => target.runningTasks === 0 && target.allocatedUnits > 0;

/**
Whether the task fits now. A task larger than this host's share is also bound to a worker on which this host runs nothing;
the lease on the worker then decides whether it may run.
*/
export const fits = (target: Target, resources: TaskResources, now: number): boolean => {
	const {units, memoryMb, accelerators} = resourcesOnTarget(target, resources);
	const free = freeUnits(target, now);
	if (free <= 0 || memoryMb > target.totalMemoryMb - target.usedMemoryMb || accelerators > target.totalAccelerators - target.usedAccelerators) {
		return false;
	}

	return units <= free || (target.isWorker && units <= target.totalUnits && isShareIdle(target));
};

/** Whether the task would fit on the target if it were empty. */
export const couldEverFit = (target: Target, resources: TaskResources): boolean => {
	const {units, memoryMb, accelerators} = resourcesOnTarget(target, resources);
	return units <= target.totalUnits && memoryMb <= target.totalMemoryMb && accelerators <= target.totalAccelerators;
};

/** Adds the resources of a task to those in use. */
export const occupy = (target: Target, resources: TaskResources): void => {
	const {units, memoryMb, accelerators} = resourcesOnTarget(target, resources);
	target.runningTasks++;
	target.usedUnits += units;
	target.usedMemoryMb += memoryMb;
	target.usedAccelerators += accelerators;
};

/** Removes the resources of a task from those in use. */
export const vacate = (target: Target, resources: TaskResources): void => {
	const {units, memoryMb, accelerators} = resourcesOnTarget(target, resources);
	target.runningTasks--;
	target.usedUnits -= units;
	target.usedMemoryMb -= memoryMb;
	target.usedAccelerators -= accelerators;
};
