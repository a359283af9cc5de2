/** Updates the targets of a pool, and this host's share of each, after a change of declarations or live hosts. */
import {type Minion, type Upstream, type Worker} from 'chivestream-core';
import {type Pool} from './pool.js';
import {type ZoneMembers} from './scheduler.js';
import {computeHostShare} from './slot-share.js';
import {
	createMinionTarget, createWorkerTarget, type WithheldSlots, type Target,
} from './target.js';

/** Inputs of an allocation besides the pool and its declaration. */
export type AllocationContext = {
	zoneMembers: ZoneMembers;
	/** Ids of the targets to drain. */
	drains: ReadonlySet<string>;
	now: number;
	/** When slots that move to this host may be used, in epoch milliseconds. */
	transfersAvailableAt: number;
	/** How long every host withholds slots that move to it, in milliseconds. */
	holdOffMs: number;
};

/** Creates the target of a declared minion or worker of any zone; undefined when the id is not declared. */
export const createDeclaredTarget = (upstreamName: string, upstream: Upstream, targetId: string): Target | undefined => {
	const minion = upstream.minions.find(({id}) => id === targetId);
	if (minion) {
		return createMinionTarget(upstreamName, minion);
	}

	const worker = upstream.workers.find(({id}) => id === targetId);
	return worker ? createWorkerTarget(upstreamName, worker) : undefined;
};

const sumWithheld = (withheld: readonly WithheldSlots[]): number => withheld.reduce((sum, {count}) => sum + count, 0);

/** Removes `count` withheld slots when a share shrinks, the most recently withheld first. */
const reduceWithheld = (withheld: WithheldSlots[], count: number): WithheldSlots[] => {
	let remaining = count;
	const kept: WithheldSlots[] = [];
	for (const slots of withheld.toReversed()) {
		const removed = Math.min(remaining, slots.count);
		remaining -= removed;
		if (slots.count > removed) {
			kept.unshift({...slots, count: slots.count - removed});
		}
	}

	return kept;
};

/**
Number of slots that move to this host and may still be occupied by tasks of another. Slots that this host lost recently do
not count, since no other host has used them yet.
*/
const countTransferredUnits = (target: Target, allocated: number, now: number): number => {
	const recentlyLost = target.lostShare.deadline > now ? target.lostShare.units : 0;
	return allocated - Math.max(target.allocatedUnits, Math.min(allocated, recentlyLost));
};

const setAllocatedUnits = (target: Target, allocated: number, {now, transfersAvailableAt, holdOffMs}: AllocationContext): void => {
	const lostUnits = target.allocatedUnits - allocated;
	const transferredUnits = countTransferredUnits(target, allocated, now);
	target.withheld = target.withheld.filter(({availableAt}) => availableAt > now);
	if (transferredUnits > 0 && transfersAvailableAt > now) {
		target.withheld.push({count: transferredUnits, availableAt: transfersAvailableAt});
	}

	if (lostUnits > 0) {
		const usableUnits = target.allocatedUnits - sumWithheld(target.withheld);
		target.withheld = reduceWithheld(target.withheld, lostUnits);
		target.lostShare = {units: Math.max(0, usableUnits), deadline: now + holdOffMs};
	}

	target.allocatedUnits = allocated;
};

const updateDeclaredFields = (pool: Pool, existing: Target, declaredTarget: Target): void => {
	existing.address = declaredTarget.address;
	existing.rack = declaredTarget.rack;
	existing.totalUnits = declaredTarget.totalUnits;
	existing.totalMemoryMb = declaredTarget.totalMemoryMb;
	existing.totalAccelerators = declaredTarget.totalAccelerators;
	pool.targets.set(existing.id, existing);
};

const allocateTargetShare = (pool: Pool, declaredTarget: Target, zone: string, context: AllocationContext): void => {
	const {zoneMembers, drains} = context;
	const existing = pool.targets.get(declaredTarget.id);
	if (existing) {
		updateDeclaredFields(pool, existing, declaredTarget);
	} else if (zone === zoneMembers.zone) {
		pool.targets.set(declaredTarget.id, declaredTarget);
	} else {
		return;
	}

	const target = existing ?? declaredTarget;
	target.isDraining = drains.has(target.id);
	const allocated = zone === zoneMembers.zone ? computeHostShare(target.id, target.totalUnits, zoneMembers.hostIds, zoneMembers.selfId) : 0;
	setAllocatedUnits(target, allocated, context);
};

/**
Applies the declaration of an upstream to its pool and recomputes this host's share of each target. Targets that are no
longer declared are drained.
*/
export const allocateShares = (pool: Pool, upstream: Upstream, context: AllocationContext): void => {
	pool.declared = upstream;
	const declaredIds = new Set<string>();
	const allocate = (declaration: Minion | Worker, declaredTarget: Target) => {
		declaredIds.add(declaration.id);
		allocateTargetShare(pool, declaredTarget, declaration.zone, context);
	};

	for (const minion of upstream.minions) {
		allocate(minion, createMinionTarget(pool.name, minion));
	}

	for (const worker of upstream.workers) {
		allocate(worker, createWorkerTarget(pool.name, worker));
	}

	for (const target of pool.targets.values()) {
		if (!declaredIds.has(target.id)) {
			target.isDraining = true;
		}
	}
};
