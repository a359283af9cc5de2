/** The part of a scheduler that lends slots to other hosts and uses those they lend. */
import {type Preference} from 'chivestream-core';
import {
	acceptGrant, bindMarginMs, demandOf, grantsToExtend, type LendingTerms, lendSlots, takeIdleGrants,
} from './lending.js';
import {type Scheduler, type SlotGrant} from './scheduler.js';
import {type SchedulerState} from './scheduler-state.js';

/** What a scheduler decides about lending. */
export type LendingDecisions = Pick<Scheduler, 'demand' | 'lend' | 'borrow' | 'releaseIdle' | 'reclaim' | 'renewals' | 'extend'>;

const groupByLender = (entries: Array<{lenderId: string; grant: SlotGrant}>): Array<{lenderId: string; grants: SlotGrant[]}> => {
	const byLender = new Map<string, SlotGrant[]>();
	for (const {lenderId, grant} of entries) {
		const grants = byLender.get(lenderId) ?? [];
		grants.push(grant);
		byLender.set(lenderId, grants);
	}

	return [...byLender].map(([lenderId, grants]) => ({lenderId, grants}));
};

/** Creates the decisions; grant ids start with the name of this host. */
export const createLendingDecisions = (state: SchedulerState, lendingTerms: Record<Preference, LendingTerms>, selfId: () => string): LendingDecisions => {
	const {clock, pools, activePools, poolOf, findTarget, refresh, wakeTarget, processWakes} = state;
	let grantCount = 0;

	const nextGrantId = () => {
		grantCount++;
		return `${selfId()}/${grantCount}`;
	};

	return {
		demand() {
			const now = clock.now();
			processWakes(now);
			return [...pools.values()].flatMap(pool => demandOf(pool, lendingTerms[pool.declared.preference], now) ?? []);
		},
		lend(borrowerId, {upstream, count}) {
			const now = clock.now();
			processWakes(now);
			const pool = pools.get(upstream);
			if (!pool) {
				return [];
			}

			const grants = lendSlots(pool, borrowerId, count, lendingTerms[pool.declared.preference], now, nextGrantId);
			for (const grant of grants) {
				wakeTarget(pool, pool.targets.get(grant.targetId)!, grant.deadline);
			}

			return grants;
		},
		borrow(lenderId, grants) {
			const now = clock.now();
			for (const grant of grants) {
				const pool = poolOf(grant.upstream);
				const target = acceptGrant(pool, lenderId, grant, now);
				if (target) {
					wakeTarget(pool, target, grant.deadline - bindMarginMs);
					wakeTarget(pool, target, grant.deadline);
					activePools.add(pool);
				}
			}
		},
		releaseIdle() {
			const now = clock.now();
			return groupByLender([...pools.values()].flatMap(pool => takeIdleGrants(pool, lendingTerms[pool.declared.preference].smallestRestMs, now)));
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
		renewals() {
			const now = clock.now();
			return groupByLender([...pools.values()].flatMap(pool => grantsToExtend(pool, lendingTerms[pool.declared.preference], now)));
		},
		extend(borrowerId, grants) {
			const accepted: SlotGrant[] = [];
			for (const grant of grants) {
				const found = findTarget(grant.upstream, grant.targetId);
				const loan = found?.target.loans.get(grant.grantId);
				if (found && loan?.borrowerId === borrowerId) {
					loan.deadline = Math.max(loan.deadline, grant.deadline);
					wakeTarget(found.pool, found.target, loan.deadline);
					accepted.push({...grant, count: loan.count, deadline: loan.deadline});
				}
			}

			return accepted;
		},
	};
};
