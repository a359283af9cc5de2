/** Everything that one entry host keeps for one upstream. */
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

/** The targets, the queue and what was learned for one upstream. */
export type Pool = {
	name: string;
	declared: Upstream;
	/** Minions and workers of this host's zone, and those of which it borrowed slots. */
	targets: Map<string, Target>;
	freeTargets: FreeIndex;
	queue: FairQueue;
	groups: Map<string, JobGroup>;
	/** Observed over declared run time for each team, on a target of slowness 1. */
	calibrations: Map<string, LogMean>;
	retryBudgets: Map<string, RetryBudget>;
	running: number;
	/** Since when tasks have waited without a free slot; undefined when none do. */
	shortageSince: number | undefined;
	speeds: SpeedTable;
	/** Run time of recent tasks on a target of slowness 1, in milliseconds. */
	meanWorkMs: number;
};

const initialMeanWorkMs = 200;

/** An upstream of which nothing is known yet. */
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

/** How far a team's declared run times are off. */
export const teamCalibration = (pool: Pool, team: string): LogMean => getOrCreate(pool.calibrations, team, createLogMean);

/** A team's retry budget for this upstream. */
export const teamRetryBudget = (pool: Pool, team: string): RetryBudget => getOrCreate(pool.retryBudgets, team, createRetryBudget);

/** Run time to expect of a task on a target of slowness 1, in milliseconds. */
export const expectedWorkMs = (pool: Pool, task: QueuedTask): number =>
	task.declaredMs * geometricMean(teamCalibration(pool, task.team));

/** Files the target where its free slots and speed belong. */
export const refreshTarget = (pool: Pool, target: Target, now: number): void => {
	if (freeUnits(target, now) > 0) {
		pool.freeTargets.put(target);
	} else {
		pool.freeTargets.remove(target);
	}
};

/** Slots or cores that this host may use, busy ones included. */
export const usableShareOfPool = (pool: Pool, now: number): number => {
	let units = 0;
	for (const target of pool.targets.values()) {
		units += target.isDraining ? 0 : Math.max(0, usableShare(target, now));
	}

	return units;
};

/** Slots or cores that a new task may take now, over all targets. */
export const freeUnitsOfPool = (pool: Pool, now: number): number => {
	let units = 0;
	for (const target of pool.targets.values()) {
		units += freeUnits(target, now);
	}

	return units;
};

/** What a queued task takes of a worker. */
export const taskResources = (task: QueuedTask): TaskResources => ({
	units: Math.max(1, task.cores),
	memoryMb: task.memoryMb,
	accelerators: task.accelerators,
});
