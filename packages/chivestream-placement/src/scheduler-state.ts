/** State shared by the parts of the scheduler: the pools and the scheduled refreshes of their targets. */
import {type Clock, type Random} from 'chivestream-core';
import {createHeap} from './heap.js';
import {dropExpiredGrantsAndLoans} from './lending.js';
import {createPool, type Pool, refreshTarget} from './pool.js';
import {type Target} from './target.js';

/** A target with the pool of its upstream. */
export type PooledTarget = {
	pool: Pool;
	target: Target;
};

type ScheduledRefresh = PooledTarget & {
	/** Due time, in epoch milliseconds. */
	at: number;
};

/** State shared by the parts of one scheduler. */
export type SchedulerState = {
	clock: Clock;
	random: Random;
	/** Pools by name of the upstream. */
	pools: Map<string, Pool>;
	/** Pools that may be able to bind a task; all others are skipped until a change to their queue or targets. */
	activePools: Set<Pool>;
	getOrCreatePool: (upstream: string) => Pool;
	findTarget: (upstream: string, targetId: string) => PooledTarget | undefined;
	/** Updates the index of free targets after a change to the target. */
	refresh: (pool: Pool, target: Target, now: number) => void;
	/** Refreshes the target at the given time, when a hold-off, quarantine, backoff, grant or loan ends. */
	scheduleRefresh: (pool: Pool, target: Target, at: number) => void;
	/** Refreshes the targets that are due, and drops their expired grants, loans and withheld slots. */
	runDueRefreshes: (now: number) => void;
	/** Due time of the next refresh; undefined when none is scheduled. */
	nextRefreshAt: () => number | undefined;
};

/** Creates a state without pools. */
export const createSchedulerState = (clock: Clock, random: Random): SchedulerState => {
	const pools = new Map<string, Pool>();
	const activePools = new Set<Pool>();
	const scheduledRefreshes = createHeap<ScheduledRefresh>((left, right) => left.at < right.at);

	const refresh = (pool: Pool, target: Target, now: number) => {
		refreshTarget(pool, target, now);
		if (target.bucket >= 0) {
			activePools.add(pool);
		}
	};

	const scheduleRefresh = (pool: Pool, target: Target, at: number) => {
		scheduledRefreshes.push({at, pool, target});
	};

	const runDueRefreshes = (now: number) => {
		for (let dueRefresh = scheduledRefreshes.peek(); dueRefresh && dueRefresh.at <= now; dueRefresh = scheduledRefreshes.peek()) {
			scheduledRefreshes.pop();
			dropExpiredGrantsAndLoans(dueRefresh.target, now);
			dueRefresh.target.withheld = dueRefresh.target.withheld.filter(({availableAt}) => availableAt > now);
			refresh(dueRefresh.pool, dueRefresh.target, now);
		}
	};

	const findTarget = (upstream: string, targetId: string): PooledTarget | undefined => {
		const pool = pools.get(upstream);
		const target = pool?.targets.get(targetId);
		return pool && target ? {pool, target} : undefined;
	};

	const getOrCreatePool = (upstream: string): Pool => {
		let pool = pools.get(upstream);
		if (!pool) {
			pool = createPool(upstream, {
				minions: [], workers: [], notStartedStatuses: [], preference: 'response-time',
			}, random);
			pools.set(upstream, pool);
		}

		return pool;
	};

	return {
		clock, random, pools, activePools, getOrCreatePool, findTarget, refresh, scheduleRefresh, runDueRefreshes, nextRefreshAt: () => scheduledRefreshes.peek()?.at,
	};
};
