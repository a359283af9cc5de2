/** Lends free slots to other hosts and tracks the slots borrowed from them. */
import {type Preference, preference} from 'chivestream-core';
import {type Pool, refreshTarget} from './pool.js';
import {type SlotDemand, type SlotGrant} from './scheduler.js';
import {createDeclaredTarget} from './share-allocation.js';
import {
	type BorrowedGrant, freeUnits, usableShare, type Target,
} from './target.js';

/** Settings that control when slots are requested, lent and returned. */
export type LendingPolicy = {
	/** Length of a grant in milliseconds. */
	grantMs: number;
	/** How long tasks wait before slots are requested, in milliseconds. */
	requestDelayMs: number;
	/** Smallest number of waiting tasks for which slots are requested. */
	minRequestSlots: number;
	/** Largest share of its free slots that a host lends per request; also applies to each minion. */
	maxLentShare: number;
	/** Least time to the deadline for an idle grant to be returned early, in milliseconds; others expire unreturned. */
	minRemainingToReturnMs: number;
	/** Maximum number of hosts to which a request is sent at a time. */
	maxLendersPerRequest: number;
	/** Whether slots may also be requested from hosts of other zones, after those of the local zone. */
	canBorrowAcrossZones: boolean;
	/** How often grants are checked for those to return or extend, in milliseconds. */
	grantCheckIntervalMs: number;
};

/** Time before a grant's deadline from which the borrower binds no more tasks, in milliseconds. */
export const bindMarginMs = 800;

/** Default lending policy for each preference of an upstream. */
export const defaultLendingPolicies: Record<Preference, LendingPolicy> = {
	[preference.responseTime]: {
		grantMs: 4000,
		requestDelayMs: 0,
		minRequestSlots: 1,
		maxLentShare: 0.5,
		minRemainingToReturnMs: 500,
		maxLendersPerRequest: 8,
		canBorrowAcrossZones: true,
		grantCheckIntervalMs: 50,
	},
	[preference.fewMessages]: {
		grantMs: 4000,
		requestDelayMs: 20,
		minRequestSlots: 4,
		maxLentShare: 0.5,
		minRemainingToReturnMs: 500,
		maxLendersPerRequest: 2,
		canBorrowAcrossZones: false,
		grantCheckIntervalMs: 250,
	},
};

/** Slots to request now; undefined while too few tasks wait or the shortage is shorter than the request delay. */
export const slotDemand = (pool: Pool, policy: LendingPolicy, now: number): SlotDemand | undefined => {
	const count = pool.queue.size();
	if (count <= 0) {
		pool.shortageSince = undefined;
		return undefined;
	}

	pool.shortageSince ??= now;
	const isDue = now - pool.shortageSince >= policy.requestDelayMs && count >= policy.minRequestSlots;
	return isDue ? {upstream: pool.name, count} : undefined;
};

const lendableUnits = (target: Target, now: number): number =>
	Math.max(0, Math.min(freeUnits(target, now), usableShare(target, now) - target.usedUnits));

/** A request for slots by a borrower, with the policy that applies to it. */
export type LendingRequest = {
	borrowerId: string;
	/** Number of slots requested. */
	count: number;
	lendingPolicy: LendingPolicy;
	nextGrantId: () => string;
};

/** Lends up to the requested number of free minion slots of this host's share, fastest first; none while local tasks wait. */
export const lendSlots = (pool: Pool, request: LendingRequest, now: number): SlotGrant[] => {
	const {borrowerId, count, lendingPolicy, nextGrantId} = request;
	if (pool.queue.size() > 0) {
		return [];
	}

	const targets = [...pool.targets.values()]
		.filter(target => !target.isWorker && lendableUnits(target, now) > 0)
		.toSorted((left, right) => left.slowness.value - right.slowness.value);
	let total = 0;
	for (const target of targets) {
		total += lendableUnits(target, now);
	}

	let remainingUnits = Math.min(count, Math.ceil(total * lendingPolicy.maxLentShare));
	const grants: SlotGrant[] = [];
	for (const target of targets) {
		const lentUnits = Math.min(remainingUnits, Math.ceil(lendableUnits(target, now) * lendingPolicy.maxLentShare));
		if (lentUnits > 0) {
			const grant = {
				grantId: nextGrantId(), upstream: pool.name, targetId: target.id, count: lentUnits, deadline: now + lendingPolicy.grantMs,
			};
			target.loans.set(grant.grantId, {...grant, borrowerId});
			refreshTarget(pool, target, now);
			grants.push(grant);
			remainingUnits -= lentUnits;
		}
	}

	return grants;
};

/** Adds a grant to its target, or applies its extension. Returns the target; undefined when it is not declared. */
export const acceptGrant = (pool: Pool, lenderId: string, grant: SlotGrant, now: number): Target | undefined => {
	const target = pool.targets.get(grant.targetId) ?? createDeclaredTarget(pool.name, pool.declared, grant.targetId);
	if (!target) {
		return undefined;
	}

	pool.targets.set(target.id, target);
	const existing = target.grants.get(grant.grantId);
	if (existing) {
		// An extension covers only tasks that already run, so `bindUntil` stays.
		existing.deadline = Math.max(existing.deadline, grant.deadline);
	} else if (grant.deadline > now) {
		target.grants.set(grant.grantId, {
			grantId: grant.grantId,
			lenderId,
			count: grant.count,
			deadline: grant.deadline,
			bindUntil: grant.deadline - bindMarginMs,
		});
	}

	refreshTarget(pool, target, now);
	return target;
};

/** Slots in use beyond this host's share; these must be covered by grants. */
const borrowedUnitsInUse = (target: Target, now: number): number =>
	Math.max(0, target.usedUnits - Math.max(0, usableShare(target, now)));

const toSlotGrant = (pool: Pool, target: Target, {grantId, count}: BorrowedGrant, deadline: number): SlotGrant => ({
	grantId, upstream: pool.name, targetId: target.id, count, deadline,
});

const grantsByDeadline = (target: Target): BorrowedGrant[] =>
	[...target.grants.values()].toSorted((left, right) => left.deadline - right.deadline);

/** Grants about to expire while a task still runs on their slots, each with the deadline to request. */
export const grantsToExtend = (pool: Pool, policy: LendingPolicy, now: number): Array<{lenderId: string; grant: SlotGrant}> => {
	const dueGrants: Array<{lenderId: string; grant: SlotGrant}> = [];
	for (const target of pool.targets.values()) {
		let unitsInUse = target.grants.size > 0 ? borrowedUnitsInUse(target, now) : 0;
		for (const grant of grantsByDeadline(target).toReversed()) {
			const isEnding = grant.bindUntil <= now;
			if (isEnding && unitsInUse > 0 && grant.deadline - now <= bindMarginMs / 2) {
				dueGrants.push({lenderId: grant.lenderId, grant: toSlotGrant(pool, target, grant, now + policy.grantMs)});
			}

			unitsInUse -= grant.count;
		}
	}

	return dueGrants;
};

/** Removes and returns idle grants to be returned to their lenders early; none while local tasks wait. */
export const removeIdleGrants = (pool: Pool, minRemainingToReturnMs: number, now: number): Array<{lenderId: string; grant: SlotGrant}> => {
	const idleGrants: Array<{lenderId: string; grant: SlotGrant}> = [];
	if (pool.queue.size() > 0) {
		return idleGrants;
	}

	for (const target of pool.targets.values()) {
		let unusedUnits = 0;
		for (const grant of target.grants.values()) {
			unusedUnits += grant.count;
		}

		unusedUnits -= target.grants.size > 0 ? borrowedUnitsInUse(target, now) : 0;
		// Grants that end first are returned first. Otherwise a task could outlive the grant that covers it.
		for (const grant of grantsByDeadline(target)) {
			if (grant.count > unusedUnits) {
				break;
			}

			unusedUnits -= grant.count;
			if (grant.deadline - now > minRemainingToReturnMs) {
				target.grants.delete(grant.grantId);
				idleGrants.push({lenderId: grant.lenderId, grant: toSlotGrant(pool, target, grant, grant.deadline)});
			}
		}

		refreshTarget(pool, target, now);
	}

	return idleGrants;
};

/** Removes grants and loans whose deadline has passed. */
export const dropExpiredGrantsAndLoans = (target: Target, now: number): void => {
	for (const loan of target.loans.values()) {
		if (loan.deadline <= now) {
			target.loans.delete(loan.grantId);
		}
	}

	for (const grant of target.grants.values()) {
		if (grant.deadline <= now) {
			target.grants.delete(grant.grantId);
		}
	}
};
