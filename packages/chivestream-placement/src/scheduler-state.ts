/** What the decisions of one entry host share: its pools, which of them may bind, and when targets come free again. */
import {type Clock, type Random} from 'chivestream-core';
import {createHeap} from './heap.js';
import {dropExpiredGrantsAndLoans} from './lending.js';
import {createPool, type Pool, refreshTarget} from './pool.js';
import {type Target} from './target.js';

/** A target of an upstream. */
export type PooledTarget = {
	pool: Pool;
	target: Target;
};

type ScheduledRefresh = PooledTarget & {
	at: number;
};

/** The state that the decisions of one entry host share. */
export type SchedulerState = {
	clock: Clock;
	random: Random;
	pools: Map<string, Pool>;
	/** Pools that may be able to bind a task. */
	activePools: Set<Pool>;
	/** The pool of an upstream, made when it is first named. */
	getOrCreatePool: (upstream: string) => Pool;
	findTarget: (upstream: string, targetId: string) => PooledTarget | undefined;
	/** Files the target anew after a change to it. */
	refresh: (pool: Pool, target: Target, now: number) => void;
	/** Looks at the target again at the given time. */
	scheduleRefresh: (pool: Pool, target: Target, at: number) => void;
	runDueRefreshes: (now: number) => void;
	/** When the next target is to be looked at again. */
	nextRefreshAt: () => number | undefined;
};

/** A state without pools. */
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
