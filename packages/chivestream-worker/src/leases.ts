/** The leases that this host holds on one worker: taken when a task needs room, renewed by one task while in use. */
import {isDeepStrictEqual} from 'node:util';
import {
	type Clock, type Failure, failureCode, type Logger, waitUntil,
} from 'chivestream-core';
import {Err, Ok, type Result} from 'ts-results-es';
import {type GrantedLease, type LeaseClient, type Share} from './lease-client.js';

/** A lease with what runs under it. */
export type HeldLease = {
	granted: GrantedLease;
	share: Share;
	inUse: Share;
	/** Tasks that run under it. */
	tasks: number;
	/** When the last task under it ended, in milliseconds since the Unix epoch. */
	idleSince: number;
};

/** Room under a lease for one task. */
export type Room = {
	lease: GrantedLease;
	/** Gives the room back once the task has ended. */
	free: () => void;
	/** Forgets the lease, because the worker refused it. */
	drop: () => void;
};

/** Leases on one worker. */
export type Leases = {
	/** Room for a task, under a lease that is held already or a new one; the failure says why there is none. */
	reserve: (size: Share) => Promise<Result<Room, Failure>>;
	held: () => readonly HeldLease[];
	/** Releases every lease and ends the renewal. */
	close: () => Promise<void>;
};

/** What leases work with; lengths are in milliseconds. */
export type LeasesOptions = {
	client: LeaseClient;
	clock: Clock;
	logger: Logger;
	/** Least share to ask for, so that several tasks fit under one lease. */
	leastShare: Share;
	leaseMs: number;
	/** A lease without tasks is released after this time. */
	idleMs: number;
	/** Whether a task may be sent under a lease; by default not once its deadline is near. */
	isUsable?: (lease: GrantedLease, now: number) => boolean;
};

const safetyMs = 250;
const renewalsPerLease = 3;

const isUsableUntilDeadline = ({deadline}: GrantedLease, now: number): boolean => now < deadline - safetyMs;

const addShares = (left: Share, right: Share, sign = 1): Share => ({
	cores: left.cores + (sign * right.cores),
	memoryMb: left.memoryMb + (sign * right.memoryMb),
	accelerators: left.accelerators + (sign * right.accelerators),
});

const fits = (size: Share, {share, inUse}: HeldLease): boolean =>
	inUse.cores + size.cores <= share.cores
	&& inUse.memoryMb + size.memoryMb <= share.memoryMb
	&& inUse.accelerators + size.accelerators <= share.accelerators;

const enlarge = (size: Share, least: Share): Share => ({
	cores: Math.max(size.cores, least.cores),
	memoryMb: Math.max(size.memoryMb, least.memoryMb),
	accelerators: Math.max(size.accelerators, least.accelerators),
});

/** Creates an empty set of leases on one worker. */
export const createLeases = (options: LeasesOptions): Leases => {
	const {client, clock, logger, leastShare, leaseMs, idleMs, isUsable = isUsableUntilDeadline} = options;
	const held = new Set<HeldLease>();
	const stopping = new AbortController();
	let acquiring: Promise<Result<HeldLease, Failure>> | undefined;
	let isRenewing = false;
	/** What tasks need that wait for the lease under way. */
	let waiting: Share = {cores: 0, memoryMb: 0, accelerators: 0};

	const findRoom = (size: Share): HeldLease | undefined =>
		[...held].find(lease => isUsable(lease.granted, clock.now()) && fits(size, lease));

	const releaseIdle = async (lease: HeldLease): Promise<void> => {
		held.delete(lease);
		await client.release(lease.granted);
	};

	const free = (lease: HeldLease, size: Share): void => {
		lease.inUse = addShares(lease.inUse, size, -1);
		lease.tasks -= 1;
		lease.idleSince = clock.now();
		if (lease.tasks === 0 && !isUsable(lease.granted, clock.now())) {
			void releaseIdle(lease);
		}
	};

	const use = (lease: HeldLease, size: Share): Room => {
		lease.inUse = addShares(lease.inUse, size);
		lease.tasks += 1;
		return {
			lease: lease.granted,
			free() {
				free(lease, size);
			},
			drop() {
				held.delete(lease);
			},
		};
	};

	const renew = async (lease: HeldLease): Promise<void> => {
		const renewed = await client.renew(lease.granted, clock.now() + leaseMs);
		if (renewed.isOk()) {
			lease.granted = renewed.value;
			return;
		}

		const {code, message, peer} = renewed.error;
		logger.warn('a lease was not renewed', {peer, reason: message});
		if (code === failureCode.conflict || clock.now() >= lease.granted.deadline) {
			held.delete(lease);
		}
	};

	/** Renews leases in use and releases idle ones until none is left. */
	const renewAll = async (): Promise<void> => {
		while (held.size > 0 && !stopping.signal.aborted) {
			// eslint-disable-next-line no-await-in-loop
			await waitUntil(clock, clock.now() + Math.min(idleMs, leaseMs / renewalsPerLease), stopping.signal);
			const isSpent = (lease: HeldLease) => lease.tasks === 0 && clock.now() >= lease.idleSince + idleMs;
			const leases = stopping.signal.aborted ? [] : [...held];
			// eslint-disable-next-line no-await-in-loop
			await Promise.all(leases.map(async lease => isSpent(lease) ? releaseIdle(lease) : renew(lease)));
		}

		isRenewing = false;
	};

	/** Asks for room for the task and all that wait, then for less if that does not fit. */
	const requestLease = async (size: Share): Promise<Result<{granted: GrantedLease; share: Share}, Failure>> => {
		const shares = [enlarge(addShares(size, waiting), leastShare), enlarge(size, leastShare), size];
		const distinct = shares.filter((share, index) => index === 0 || !isDeepStrictEqual(share, shares[index - 1]));
		let result: Result<GrantedLease, Failure> | undefined;
		for (const share of distinct) {
			// eslint-disable-next-line no-await-in-loop
			result = await client.acquire(share, clock.now() + leaseMs);
			if (result.isOk() || result.error.code !== failureCode.overQuota) {
				return result.map(granted => ({granted, share}));
			}
		}

		return result!.map(granted => ({granted, share: size}));
	};

	const acquire = async (size: Share): Promise<Result<HeldLease, Failure>> => {
		const requested = await requestLease(size);
		if (requested.isErr()) {
			return new Err(requested.error);
		}

		const {granted, share} = requested.value;
		const lease: HeldLease = {
			granted,
			share,
			inUse: {cores: 0, memoryMb: 0, accelerators: 0},
			tasks: 0,
			idleSince: clock.now(),
		};
		held.add(lease);
		if (!isRenewing) {
			isRenewing = true;
			void renewAll();
		}

		return new Ok(lease);
	};

	const acquireNext = async (size: Share): Promise<Result<HeldLease, Failure>> => {
		try {
			return await acquire(size);
		} finally {
			acquiring = undefined;
		}
	};

	/** Asks for one lease at a time, since the one that is under way may have room for others. */
	const reserve = async (size: Share): Promise<Result<Room, Failure>> => {
		const known = findRoom(size);
		if (known) {
			return new Ok(use(known, size));
		}

		if (acquiring) {
			waiting = addShares(waiting, size);
			const other = await acquiring;
			waiting = addShares(waiting, size, -1);
			return other.isErr() ? new Err(other.error) : reserve(size);
		}

		acquiring = acquireNext(size);
		const acquired = await acquiring;
		return acquired.map(lease => use(lease, size));
	};

	return {
		reserve,
		held: () => [...held],
		async close() {
			stopping.abort();
			await Promise.all([...held].map(async lease => releaseIdle(lease)));
		},
	};
};
