/** The minions of a dispatcher and the runs on them. */
import {
	allResources, freeResources, runKey, runState, type Minion, type MinionRecord, type Resources, type Run, type RunState,
} from './minion.js';
import {createSlowness, slownessFactor, type Slowness} from './slowness.js';

/** All minions of a dispatcher. A run is in the pool exactly as long as it may use resources of its minion. */
export type MinionPool = {
	/** Minions by id. */
	minions: Map<string, Minion>;
	/** Runs on any minion, by the name of their task. */
	runsByTask: Map<string, Set<Run>>;
	/** Observed slowness of each kind of minion, by the first label. */
	slownessByKind: Map<string, Slowness>;
	/** Increases whenever free capacity may have grown: a run has ended, or a minion may accept work again. */
	capacityRevision: number;
};

/** Properties of a run that is added to the pool. */
export type NewRun = Pick<Run, 'task' | 'number' | 'assignedTask' | 'expectedMs'> & {
	now: number;
	state: RunState;
	/** Left out if the size of the run is unknown. */
	resources?: Run['resources'];
	isInherited?: boolean;
};

/** Creates an empty pool. */
export const createMinionPool = (): MinionPool => ({
	minions: new Map(), runsByTask: new Map(), slownessByKind: new Map(), capacityRevision: 0,
});

const createMinion = (record: MinionRecord): Minion => ({
	record,
	bornAt: record.bornAt,
	crashedIncarnation: undefined,
	isSynced: false,
	isReachable: true,
	reportedAt: Number.NEGATIVE_INFINITY,
	leaseEndsAt: Number.NEGATIVE_INFINITY,
	runsLostInSilence: [],
	isUnregistered: false,
	runs: new Map(),
	slowness: createSlowness(),
	consecutiveFailures: 0,
	quarantinedUntil: 0,
	quarantineMs: 0,
	isOnProbation: false,
});

/** Adds a run; its resources count as used until it is removed. */
export const addRun = (pool: MinionPool, minion: Minion, newRun: NewRun): Run => {
	const run: Run = {
		task: newRun.task,
		number: newRun.number,
		minion,
		assignedTask: newRun.assignedTask,
		resources: newRun.resources ?? allResources,
		state: newRun.state,
		isInherited: newRun.isInherited ?? false,
		requestedAt: newRun.now,
		startConfirmedAt: newRun.state === runState.running ? newRun.now : undefined,
		stopConfirmedAt: undefined,
		expectedMs: newRun.expectedMs,
		progress: 0,
		progressedAt: newRun.now,
		unassignedTicks: 0,
	};
	minion.runs.set(runKey(run.task, run.number), run);
	const runsOfTask = pool.runsByTask.get(run.task) ?? new Set();
	runsOfTask.add(run);
	pool.runsByTask.set(run.task, runsOfTask);
	return run;
};

/** Removes a run that no longer uses resources and can no longer start. */
export const removeRun = (pool: MinionPool, run: Run): void => {
	pool.capacityRevision += 1;
	run.minion.runs.delete(runKey(run.task, run.number));
	const runsOfTask = pool.runsByTask.get(run.task);
	runsOfTask?.delete(run);
	if (runsOfTask?.size === 0) {
		pool.runsByTask.delete(run.task);
	}

	if (run.assignedTask?.run === run) {
		run.assignedTask.run = undefined;
	}
};

/** Adds a registered minion, or updates its record. */
export const registerMinion = (pool: MinionPool, record: MinionRecord): Minion => {
	const minion = pool.minions.get(record.id) ?? createMinion(record);
	pool.minions.set(record.id, minion);
	minion.record = record;
	minion.isUnregistered = false;
	pool.capacityRevision += 1;
	return minion;
};

/** Expected ratio of actual to estimated run time on a minion, from its own tasks and those of its kind. */
export const expectedSlowness = (pool: MinionPool, minion: Minion): number =>
	slownessFactor(minion.slowness, slownessOfKind(pool, minion));

/** Observed slowness of the minion's kind; created on first use. */
export const slownessOfKind = (pool: MinionPool, minion: Minion): Slowness => {
	const kind = minion.record.labels[0] ?? '';
	const slowness = pool.slownessByKind.get(kind) ?? createSlowness();
	pool.slownessByKind.set(kind, slowness);
	return slowness;
};

/** The largest amount of each resource that a registered minion of each upstream offers to new runs. */
export const largestCapacities = (pool: MinionPool): Map<string, Resources> => {
	const largest = new Map<string, Resources>();
	for (const {record, isUnregistered} of pool.minions.values()) {
		if (!isUnregistered && !record.isDraining) {
			const {millicores, memoryMb, accelerators} = largest.get(record.upstream) ?? noResources;
			largest.set(record.upstream, {
				millicores: Math.max(millicores, record.capacity.millicores),
				memoryMb: Math.max(memoryMb, record.capacity.memoryMb),
				accelerators: Math.max(accelerators, record.capacity.accelerators),
			});
		}
	}

	return largest;
};

const noResources: Resources = {millicores: 0, memoryMb: 0, accelerators: 0};

/** Number of tasks of a given CPU size that fit on a minion now. */
export const freeTasks = (minion: Minion, millicores: number): number =>
	Math.max(0, Math.floor(freeResources(minion).millicores / Math.max(1, millicores)));
