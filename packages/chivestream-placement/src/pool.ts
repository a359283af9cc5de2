/** State of one upstream on one entry host. */
import {type Random, type Upstream} from 'chivestream-core';
import {createFairQueue, type FairQueue, type JobGroup} from './fair-queue.js';
import {createFreeIndex, type FreeIndex} from './free-index.js';
import {createRetryBudget, type RetryBudget} from './retry-budget.js';
import {type QueuedTask} from './scheduler.js';
import {createSpeedTable, type SpeedTable} from './speed-table.js';
import {createLogMean, geometricMean, type LogMean} from './speed.js';
import {
	freeUnits, type TaskResources, usableShare, type Target,
} from './target.js';

/** Targets, waiting tasks and run-time statistics of one upstream. */
export type Pool = {
	name: string;
	declared: Upstream;
	/** Minions and workers of the local zone, and those of other zones of which this host has borrowed slots, by id. */
	targets: Map<string, Target>;
	/** Targets with at least one free slot. */
	freeTargets: FreeIndex;
	queue: FairQueue;
	/** Waiting jobs by key. */
	groups: Map<string, JobGroup>;
	/** Ratio of observed to declared run time on a target of slowness 1, by team. */
	calibrations: Map<string, LogMean>;
	/** By team. */
	retryBudgets: Map<string, RetryBudget>;
	/** Number of running tasks. */
	running: number;
	/** When tasks were first found waiting, in epoch milliseconds; undefined while none wait. */
	shortageSince: number | undefined;
	speeds: SpeedTable;
	/** Moving mean of run times, scaled to a target of slowness 1, in milliseconds. */
	meanWorkMs: number;
};

/** Mean run time assumed before the first task has ended, in milliseconds. */
const initialMeanWorkMs = 200;

/** Creates a pool without targets, tasks or statistics. */
export const createPool = (name: string, declared: Upstream, random: Random): Pool => ({
	name,
	declared,
	targets: new Map(),
	freeTargets: createFreeIndex(random),
	queue: createFairQueue(),
	groups: new Map(),
	calibrations: new Map(),
	retryBudgets: new Map(),
	running: 0,
	shortageSince: undefined,
	speeds: createSpeedTable(),
	meanWorkMs: initialMeanWorkMs,
});

const getOrCreate = <Value>(entries: Map<string, Value>, key: string, create: () => Value): Value => {
	let value = entries.get(key);
	if (value === undefined) {
		value = create();
		entries.set(key, value);
	}

	return value;
};

/** Ratio of observed to declared run time for the tasks of a team; created if missing. */
export const teamCalibration = (pool: Pool, team: string): LogMean => getOrCreate(pool.calibrations, team, createLogMean);

/** Retry budget of a team for this upstream; created if missing. */
export const teamRetryBudget = (pool: Pool, team: string): RetryBudget => getOrCreate(pool.retryBudgets, team, createRetryBudget);

/** Expected run time of a task on a target of slowness 1, in milliseconds. */
export const expectedWorkMs = (pool: Pool, task: QueuedTask): number =>
	task.declaredMs * geometricMean(teamCalibration(pool, task.team));

/** Adds the target to the index of free targets at its current speed, or removes it if it has no free slot. */
export const refreshTarget = (pool: Pool, target: Target, now: number): void => {
	if (freeUnits(target, now) > 0) {
		pool.freeTargets.put(target);
	} else {
		pool.freeTargets.remove(target);
	}
};

/** Slots or cores of this host's share that are neither withheld nor lent, over all targets that are not draining. */
export const usableShareOfPool = (pool: Pool, now: number): number => {
	let units = 0;
	for (const target of pool.targets.values()) {
		units += target.isDraining ? 0 : Math.max(0, usableShare(target, now));
	}

	return units;
};

/** Slots or cores available to new tasks now, over all targets. */
export const freeUnitsOfPool = (pool: Pool, now: number): number => {
	let units = 0;
	for (const target of pool.targets.values()) {
		units += freeUnits(target, now);
	}

	return units;
};

/** Resources that a queued task occupies on a worker. A task that declares no cores counts as one core. */
export const taskResources = (task: QueuedTask): TaskResources => ({
	units: Math.max(1, task.cores),
	memoryMb: task.memoryMb,
	accelerators: task.accelerators,
});
