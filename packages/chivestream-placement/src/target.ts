/** A minion or worker as one entry host sees it: its share of the slots, what runs there and what was learned. */
import {type Minion, type Worker} from 'chivestream-core';
import {
	createHealth, isOnTrial, isQuarantined, type TargetHealth,
} from './quarantine.js';
import {createLogMean, type LogMean} from './speed.js';

/** Slots of this host that another host uses until a deadline. */
export type Loan = {
	grantId: string;
	borrowerId: string;
	count: number;
	deadline: number;
};

/** Slots of another host that this host uses until a deadline. */
export type BorrowedGrant = {
	grantId: string;
	lenderId: string;
	count: number;
	deadline: number;
	/** No task is bound from this time on. */
	bindUntil: number;
};

/** Slots that came to this host and may still be busy with the former holder's tasks. */
export type WithheldSlots = {
	count: number;
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
	/** Slots or cores of this host's share, those still held off included. */
	allocatedUnits: number;
	withheld: WithheldSlots[];
	/** The share that this host lost last; no other host uses any of it before the deadline. */
	lostShare: {units: number; deadline: number};
	loans: Map<string, Loan>;
	grants: Map<string, BorrowedGrant>;
	runningTasks: number;
	usedUnits: number;
	usedMemoryMb: number;
	usedAccelerators: number;
	slowness: LogMean;
	health: TargetHealth;
	/** No task is bound before this time, after a refusal. */
	backoffUntil: number;
	isDraining: boolean;
	/** Place in the index of free targets; -1 when it is not there. */
	bucket: number;
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

/** A target for a declared minion. A task needs a slot and a connection. */
export const createMinionTarget = (upstream: string, minion: Minion): Target => ({
	...createTarget(upstream, minion),
	totalUnits: Math.min(minion.slots, minion.connections),
});

/** A target for a declared worker. */
export const createWorkerTarget = (upstream: string, worker: Worker): Target => ({
	...createTarget(upstream, worker),
	rack: worker.rack,
	totalUnits: worker.cores,
	totalMemoryMb: worker.memoryMb,
	totalAccelerators: worker.accelerators,
});

/** Slots or cores of the own share that are neither held off nor lent, busy ones included. */
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

/** Slots or cores that a new task may take now. */
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

/** What a task takes of a target. */
export type TaskResources = {
	units: number;
	memoryMb: number;
	accelerators: number;
};

const oneSlot: TaskResources = {units: 1, memoryMb: 0, accelerators: 0};

/** What a task takes of this target: a slot of a minion, or its declared size on a worker. */
export const resourcesOnTarget = (target: Target, resources: TaskResources): TaskResources => target.isWorker ? resources : oneSlot;

const isShareIdle = (target: Target): boolean => target.runningTasks === 0 && target.allocatedUnits > 0;

/** Whether the task fits now. One larger than this host's share may take an idle worker whole; the worker's lease decides. */
export const fits = (target: Target, resources: TaskResources, now: number): boolean => {
	const {units, memoryMb, accelerators} = resourcesOnTarget(target, resources);
	const free = freeUnits(target, now);
	if (free <= 0 || memoryMb > target.totalMemoryMb - target.usedMemoryMb || accelerators > target.totalAccelerators - target.usedAccelerators) {
		return false;
	}

	return units <= free || (target.isWorker && units <= target.totalUnits && isShareIdle(target));
};

/** Whether the task could ever run here. */
export const couldEverFit = (target: Target, resources: TaskResources): boolean => {
	const {units, memoryMb, accelerators} = resourcesOnTarget(target, resources);
	return units <= target.totalUnits && memoryMb <= target.totalMemoryMb && accelerators <= target.totalAccelerators;
};

/** Takes what a task needs. */
export const occupy = (target: Target, resources: TaskResources): void => {
	const {units, memoryMb, accelerators} = resourcesOnTarget(target, resources);
	target.runningTasks++;
	target.usedUnits += units;
	target.usedMemoryMb += memoryMb;
	target.usedAccelerators += accelerators;
};

/** Gives back what a task took. */
export const vacate = (target: Target, resources: TaskResources): void => {
	const {units, memoryMb, accelerators} = resourcesOnTarget(target, resources);
	target.runningTasks--;
	target.usedUnits -= units;
	target.usedMemoryMb -= memoryMb;
	target.usedAccelerators -= accelerators;
};
