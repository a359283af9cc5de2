/** Applies the declarations in force and the live hosts to a pool: which targets, and which share of each. */
import {type Minion, type Upstream, type Worker} from 'chivestream-core';
import {type Pool} from './pool.js';
import {type Sharers} from './scheduler.js';
import {shareUnits} from './slot-share.js';
import {
	createMinionTarget, createWorkerTarget, type Takeover, type Target,
} from './target.js';

/** What a change of shares depends on besides the pool. */
export type ShareOut = {
	sharers: Sharers;
	drains: ReadonlySet<string>;
	now: number;
	/** When slots that come to this host may be used. */
	takeoverUntil: number;
	/** How long every host leaves slots alone that come to it, in milliseconds. */
	holdOffMs: number;
};

/** A declared minion or worker of the upstream by its id, from any zone. */
export const createDeclaredTarget = (upstreamName: string, upstream: Upstream, targetId: string): Target | undefined => {
	const minion = upstream.minions.find(({id}) => id === targetId);
	if (minion) {
		return createMinionTarget(upstreamName, minion);
	}

	const worker = upstream.workers.find(({id}) => id === targetId);
	return worker ? createWorkerTarget(upstreamName, worker) : undefined;
};

const sumTakeovers = (takeovers: readonly Takeover[]): number => takeovers.reduce((sum, {count}) => sum + count, 0);

/** Takes held-off slots first from the newest takeover when a share shrinks. */
const shrinkTakeovers = (takeovers: Takeover[], count: number): Takeover[] => {
	let left = count;
	const kept: Takeover[] = [];
	for (const takeover of takeovers.toReversed()) {
		const taken = Math.min(left, takeover.count);
		left -= taken;
		if (takeover.count > taken) {
			kept.unshift({...takeover, count: takeover.count - taken});
		}
	}

	return kept;
};

/** Slots that come from another host and may still be busy with its tasks: those beyond the share that was only just lost. */
const heldOffGrowth = (target: Target, owned: number, now: number): number => {
	const stillOwn = target.lostShare.deadline > now ? target.lostShare.units : 0;
	return owned - Math.max(target.ownedUnits, Math.min(owned, stillOwn));
};

const setOwnedUnits = (target: Target, owned: number, {now, takeoverUntil, holdOffMs}: ShareOut): void => {
	const loss = target.ownedUnits - owned;
	const growth = heldOffGrowth(target, owned, now);
	target.takeovers = target.takeovers.filter(({availableAt}) => availableAt > now);
	if (growth > 0 && takeoverUntil > now) {
		target.takeovers.push({count: growth, availableAt: takeoverUntil});
	}

	if (loss > 0) {
		const usable = target.ownedUnits - sumTakeovers(target.takeovers);
		target.takeovers = shrinkTakeovers(target.takeovers, loss);
		target.lostShare = {units: Math.max(0, usable), deadline: now + holdOffMs};
	}

	target.ownedUnits = owned;
};

const replaceDeclared = (pool: Pool, known: Target, fresh: Target): void => {
	known.address = fresh.address;
	known.rack = fresh.rack;
	known.totalUnits = fresh.totalUnits;
	known.totalMemoryMb = fresh.totalMemoryMb;
	known.totalAccelerators = fresh.totalAccelerators;
	pool.targets.set(known.id, known);
};

const shareTarget = (pool: Pool, fresh: Target, zone: string, change: ShareOut): void => {
	const {sharers, drains} = change;
	const known = pool.targets.get(fresh.id);
	if (known) {
		replaceDeclared(pool, known, fresh);
	} else if (zone === sharers.zone) {
		pool.targets.set(fresh.id, fresh);
	} else {
		return;
	}

	const target = known ?? fresh;
	target.isDraining = drains.has(target.id);
	const owned = zone === sharers.zone ? shareUnits(target.id, target.totalUnits, sharers.hostIds, sharers.selfId) : 0;
	setOwnedUnits(target, owned, change);
};

/** Shares the upstream's targets anew. A target that is no longer declared gets no new task. */
export const shareOut = (pool: Pool, upstream: Upstream, change: ShareOut): void => {
	pool.declared = upstream;
	const declaredIds = new Set<string>();
	const share = (declared: Minion | Worker, fresh: Target) => {
		declaredIds.add(declared.id);
		shareTarget(pool, fresh, declared.zone, change);
	};

	for (const minion of upstream.minions) {
		share(minion, createMinionTarget(pool.name, minion));
	}

	for (const worker of upstream.workers) {
		share(worker, createWorkerTarget(pool.name, worker));
	}

	for (const target of pool.targets.values()) {
		if (!declaredIds.has(target.id)) {
			target.isDraining = true;
		}
	}
};
