/** Lends free slots to other hosts of the zone and uses those they lend. */
import {type Preference, preference} from 'chivestream-core';
import {type Pool, refreshTarget} from './pool.js';
import {type SlotDemand, type SlotGrant} from './scheduler.js';
import {createDeclaredTarget} from './share-out.js';
import {freeUnits, ownUnits, type Target} from './target.js';

/** How eagerly slots are asked for and lent. */
export type LendingTerms = {
	/** Length of a grant in milliseconds. */
	grantMs: number;
	/** How long tasks wait before slots are asked for, in milliseconds. */
	patienceMs: number;
	/** Least slots worth a message. */
	smallestBatch: number;
	/** Share of its free slots that a host lends at once. */
	lentShare: number;
	/** Idle grants are returned when more than this is left of them, in milliseconds; else they lapse. */
	smallestRestMs: number;
	/** Most hosts asked at a time. */
	lendersPerRequest: number;
	/** Whether hosts of other zones are asked after those of the own. */
	isAcrossZones: boolean;
	/** How often grants are looked through for those to return or extend, in milliseconds. */
	grantCheckIntervalMs: number;
};

/** Time before a grant's deadline from which the borrower binds no more tasks, in milliseconds. */
export const bindMarginMs = 800;

/** Terms for each preference. */
export const defaultLendingTerms: Record<Preference, LendingTerms> = {
	[preference.responseTime]: {
		grantMs: 4000,
		patienceMs: 0,
		smallestBatch: 1,
		lentShare: 0.5,
		smallestRestMs: 500,
		lendersPerRequest: 8,
		isAcrossZones: true,
		grantCheckIntervalMs: 50,
	},
	[preference.fewMessages]: {
		grantMs: 4000,
		patienceMs: 20,
		smallestBatch: 4,
		lentShare: 0.5,
		smallestRestMs: 500,
		lendersPerRequest: 2,
		isAcrossZones: false,
		grantCheckIntervalMs: 250,
	},
};

/** Slots worth asking for now; none while the shortage is younger than the patience. */
export const demandOf = (pool: Pool, terms: LendingTerms, now: number): SlotDemand | undefined => {
	const count = pool.queue.size();
	if (count <= 0) {
		pool.shortSince = undefined;
		return undefined;
	}

	pool.shortSince ??= now;
	const isDue = now - pool.shortSince >= terms.patienceMs && count >= terms.smallestBatch;
	return isDue ? {upstream: pool.name, count} : undefined;
};

const lendableUnits = (target: Target, now: number): number =>
	Math.max(0, Math.min(freeUnits(target, now), ownUnits(target, now) - target.usedUnits));

/** Lends free slots of the own share, at most the demanded count. */
export const lendSlots = (pool: Pool, borrowerId: string, count: number, terms: LendingTerms, now: number, nextGrantId: () => string): SlotGrant[] => {
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

	let left = Math.min(count, Math.floor(total * terms.lentShare));
	const grants: SlotGrant[] = [];
	for (const target of targets) {
		const lent = Math.min(left, Math.ceil(lendableUnits(target, now) * terms.lentShare));
		if (lent > 0) {
			const grant = {
				grantId: nextGrantId(), upstream: pool.name, targetId: target.id, count: lent, deadline: now + terms.grantMs,
			};
			target.loans.set(grant.grantId, {...grant, borrowerId});
			refreshTarget(pool, target, now);
			grants.push(grant);
			left -= lent;
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
	const known = target.grants.get(grant.grantId);
	if (known) {
		// An extension serves only the tasks that run already.
		known.deadline = Math.max(known.deadline, grant.deadline);
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
const unitsOnGrants = (target: Target, now: number): number =>
	Math.max(0, target.usedUnits - Math.max(0, ownUnits(target, now)));

const toSlotGrant = (pool: Pool, target: Target, grantId: string, count: number, deadline: number): SlotGrant => ({
	grantId, upstream: pool.name, targetId: target.id, count, deadline,
});

/** Grants that end soon while a task still runs on them, with the deadline to ask for. */
export const grantsToExtend = (pool: Pool, terms: LendingTerms, now: number): Array<{lenderId: string; grant: SlotGrant}> => {
	const due: Array<{lenderId: string; grant: SlotGrant}> = [];
	for (const target of pool.targets.values()) {
		let inUse = target.grants.size > 0 ? unitsOnGrants(target, now) : 0;
		for (const grant of target.grants.values()) {
			const isEnding = grant.bindUntil <= now;
			if (isEnding && inUse > 0 && grant.deadline - now <= bindMarginMs / 2) {
				due.push({lenderId: grant.lenderId, grant: toSlotGrant(pool, target, grant.grantId, grant.count, now + terms.grantMs)});
			}

			inUse -= grant.count;
		}
	}

	return due;
};

/** Idle grants, taken out of use, that the lender gets back early. */
export const takeIdleGrants = (pool: Pool, smallestRestMs: number, now: number): Array<{lenderId: string; grant: SlotGrant}> => {
	const idle: Array<{lenderId: string; grant: SlotGrant}> = [];
	if (pool.queue.size() > 0) {
		return idle;
	}

	for (const target of pool.targets.values()) {
		let unused = 0;
		for (const grant of target.grants.values()) {
			unused += grant.count;
		}

		unused -= target.grants.size > 0 ? unitsOnGrants(target, now) : 0;
		for (const grant of target.grants.values()) {
			if (grant.count <= unused && grant.deadline - now > smallestRestMs) {
				unused -= grant.count;
				target.grants.delete(grant.grantId);
				idle.push({lenderId: grant.lenderId, grant: toSlotGrant(pool, target, grant.grantId, grant.count, grant.deadline)});
			}
		}

		refreshTarget(pool, target, now);
	}

	return idle;
};

/** Drops grants and loans whose deadline has passed. */
export const dropLapsed = (target: Target, now: number): void => {
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
