/** The part of the scheduler that lends slots to other hosts and borrows slots from them. */
import {type Preference} from 'chivestream-core';
import {
	acceptGrant, bindMarginMs, slotDemand, grantsToExtend, type LendingPolicy, lendSlots, removeIdleGrants,
} from './lending.js';
import {type Scheduler, type SlotGrant} from './scheduler.js';
import {type SchedulerState} from './scheduler-state.js';

/** Methods of the scheduler that concern lending. */
export type LendingDecisions = Pick<Scheduler, 'demand' | 'lend' | 'borrow' | 'releaseIdle' | 'reclaim' | 'dueExtensions' | 'extend'>;

const groupByLender = (entries: Array<{lenderId: string; grant: SlotGrant}>): Array<{lenderId: string; grants: SlotGrant[]}> => {
	const byLender = new Map<string, SlotGrant[]>();
	for (const {lenderId, grant} of entries) {
		const grants = byLender.get(lenderId) ?? [];
		grants.push(grant);
		byLender.set(lenderId, grants);
	}

	return [...byLender].map(([lenderId, grants]) => ({lenderId, grants}));
};

/** Creates the lending part of the scheduler. Grant ids start with the id of this host. */
export const createLendingDecisions = (state: SchedulerState, lendingPolicies: Record<Preference, LendingPolicy>, selfId: () => string): LendingDecisions => {
	const {clock, pools, activePools, getOrCreatePool, findTarget, refresh, scheduleRefresh, runDueRefreshes} = state;
	let grantCount = 0;

	const nextGrantId = () => {
		grantCount++;
		return `${selfId()}/${grantCount}`;
	};

	return {
		demand() {
			const now = clock.now();
			runDueRefreshes(now);
			return [...pools.values()].flatMap(pool => slotDemand(pool, lendingPolicies[pool.declared.preference], now) ?? []);
		},
		lend(borrowerId, {upstream, count}) {
			const now = clock.now();
			runDueRefreshes(now);
			const pool = pools.get(upstream);
			if (!pool) {
				return [];
			}

			const grants = lendSlots(pool, {
				borrowerId, count, lendingPolicy: lendingPolicies[pool.declared.preference], nextGrantId,
			}, now);
			for (const grant of grants) {
				scheduleRefresh(pool, pool.targets.get(grant.targetId)!, grant.deadline);
			}

			return grants;
		},
		borrow(lenderId, grants) {
			const now = clock.now();
			for (const grant of grants) {
				const pool = getOrCreatePool(grant.upstream);
				const target = acceptGrant(pool, lenderId, grant, now);
				if (target) {
					scheduleRefresh(pool, target, grant.deadline - bindMarginMs);
					scheduleRefresh(pool, target, grant.deadline);
					activePools.add(pool);
				}
			}
		},
		releaseIdle() {
			const now = clock.now();
			return groupByLender([...pools.values()].flatMap(pool => removeIdleGrants(pool, lendingPolicies[pool.declared.preference].minRemainingToReturnMs, now)));
		},
		reclaim(borrowerId, grants) {
			const now = clock.now();
			for (const {upstream, targetId, grantId} of grants) {
				const found = findTarget(upstream, targetId);
				if (found?.target.loans.get(grantId)?.borrowerId === borrowerId) {
					found.target.loans.delete(grantId);
					refresh(found.pool, found.target, now);
				}
			}
		},
		dueExtensions() {
			const now = clock.now();
			return groupByLender([...pools.values()].flatMap(pool => grantsToExtend(pool, lendingPolicies[pool.declared.preference], now)));
		},
		extend(borrowerId, grants) {
			const extended: SlotGrant[] = [];
			for (const grant of grants) {
				const found = findTarget(grant.upstream, grant.targetId);
				const loan = found?.target.loans.get(grant.grantId);
				if (found && loan?.borrowerId === borrowerId) {
					loan.deadline = Math.max(loan.deadline, grant.deadline);
					scheduleRefresh(found.pool, found.target, loan.deadline);
					extended.push({...grant, count: loan.count, deadline: loan.deadline});
				}
			}

			return extended;
		},
	};
};
