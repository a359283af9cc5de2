/** Lends free slots to other hosts of the zone and uses those they lend. */
import {type Preference, preference} from 'chivestream-core';
import {type Pool, refreshTarget} from './pool.js';
import {type SlotDemand, type SlotGrant} from './scheduler.js';
import {createDeclaredTarget} from './share-allocation.js';
import {
	type BorrowedGrant, freeUnits, usableShare, type Target,
} from './target.js';

/** How eagerly slots are asked for and lent. */
export type LendingPolicy = {
	/** Length of a grant in milliseconds. */
	grantMs: number;
	/** How long tasks wait before slots are asked for, in milliseconds. */
	requestDelayMs: number;
	/** Least slots worth a message. */
	minRequestSlots: number;
	/** Share of its free slots that a host lends at once. */
	maxLentShare: number;
	/** Idle grants are returned when more than this is left of them, in milliseconds; else they lapse. */
	minRemainingToReturnMs: number;
	/** Most hosts asked at a time. */
	maxLendersPerRequest: number;
	/** Whether hosts of other zones are asked after those of the own. */
	canBorrowAcrossZones: boolean;
	/** How often grants are looked through for those to return or extend, in milliseconds. */
	grantCheckIntervalMs: number;
};

/** Time before a grant's deadline from which the borrower binds no more tasks, in milliseconds. */
export const bindMarginMs = 800;

/** Terms for each preference. */
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

/** Slots worth asking for now; none while the shortage is younger than the patience. */
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

/** A borrower's request for slots. */
export type LendingRequest = {
	borrowerId: string;
	count: number;
	lendingPolicy: LendingPolicy;
	nextGrantId: () => string;
};

/** Lends free slots of the own share, at most the demanded count. */
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

/** Takes a grant into use, or the extension of one. Undefined when its target is not declared. */
export const acceptGrant = (pool: Pool, lenderId: string, grant: SlotGrant, now: number): Target | undefined => {
	const target = pool.targets.get(grant.targetId) ?? createDeclaredTarget(pool.name, pool.declared, grant.targetId);
	if (!target) {
		return undefined;
	}

	pool.targets.set(target.id, target);
	const existing = target.grants.get(grant.grantId);
	if (existing) {
		// An extension serves only the tasks that run already.
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

/** Slots in use beyond the own share: they must be covered by grants. */
const borrowedUnitsInUse = (target: Target, now: number): number =>
	Math.max(0, target.usedUnits - Math.max(0, usableShare(target, now)));

const toSlotGrant = (pool: Pool, target: Target, {grantId, count}: BorrowedGrant, deadline: number): SlotGrant => ({
	grantId, upstream: pool.name, targetId: target.id, count, deadline,
});

const grantsByDeadline = (target: Target): BorrowedGrant[] =>
	[...target.grants.values()].toSorted((left, right) => left.deadline - right.deadline);

/** Grants that end soon while a task still runs on them, with the deadline to ask for. */
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

/** Idle grants, taken out of use, that the lender gets back early. */
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
		// The grants that are kept must be the last to end, or a task may outlive the one that covers it.
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

/** Drops grants and loans whose deadline has passed. */
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
