/** Holds this host's leases on one worker. Leases are acquired on demand, renewed periodically and released when idle. */
import {isDeepStrictEqual} from 'node:util';
import {
	type Clock, type Failure, failureCode, type Logger, waitUntil,
} from 'chivestream-core';
import {Err, Ok, type Result} from 'ts-results-es';
import {type GrantedLease, type LeaseClient, type Share} from './lease-client.js';

/** A lease with the capacity that it grants and its current use. */
export type HeldLease = {
	granted: GrantedLease;
	/** Capacity granted by the lease. */
	share: Share;
	/** Capacity reserved by tasks. */
	inUse: Share;
	/** Number of tasks that hold a reservation. */
	tasks: number;
	/** When the lease was granted or a task under it last ended, in milliseconds since the Unix epoch. */
	idleSince: number;
};

/** Capacity reserved for one task under a lease. */
export type Reservation = {
	lease: GrantedLease;
	/** Returns the capacity to the lease once the task has ended. */
	release: () => void;
	/** Stops using and renewing the lease after the worker refused it, without a release request. */
	discardLease: () => void;
};

/** Leases held on one worker. */
export type Leases = {
	/** Reserves capacity for a task under a held lease or a new one. Fails with the reason why no lease was granted. */
	reserve: (size: Share) => Promise<Result<Reservation, Failure>>;
	held: () => readonly HeldLease[];
	/** Stops renewal and releases every lease. */
	close: () => Promise<void>;
};

/** Dependencies and settings of a set of leases; durations are in milliseconds. */
export type LeasesOptions = {
	client: LeaseClient;
	clock: Clock;
	logger: Logger;
	/** Smallest share to request first, so that several tasks fit under one lease. */
	minimumShare: Share;
	/** Requested duration of a lease, counted from each grant or renewal request. */
	leaseMs: number;
	/** A lease without tasks is released after this time. */
	idleMs: number;
	/** Whether a task may be sent under a lease; by default only until shortly before its deadline. */
	isUsable?: (lease: GrantedLease, now: number) => boolean;
};

/** By default, no task is sent under a lease that expires within this time. */
const deadlineMarginMs = 250;
/** Renewals within one lease duration, so that a failed renewal can be repeated before the lease expires. */
const renewalsPerLease = 3;

const isUsableUntilDeadline = ({deadline}: GrantedLease, now: number): boolean => now < deadline - deadlineMarginMs;

const addShares = (left: Share, right: Share, sign = 1): Share => ({
	cores: left.cores + (sign * right.cores),
	memoryMb: left.memoryMb + (sign * right.memoryMb),
	accelerators: left.accelerators + (sign * right.accelerators),
});

const fits = (size: Share, {share, inUse}: HeldLease): boolean =>
	inUse.cores + size.cores <= share.cores
	&& inUse.memoryMb + size.memoryMb <= share.memoryMb
	&& inUse.accelerators + size.accelerators <= share.accelerators;

const atLeast = (size: Share, minimum: Share): Share => ({
	cores: Math.max(size.cores, minimum.cores),
	memoryMb: Math.max(size.memoryMb, minimum.memoryMb),
	accelerators: Math.max(size.accelerators, minimum.accelerators),
});

/** Creates an empty set of leases on one worker. */
export const createLeases = (options: LeasesOptions): Leases => {
	const {client, clock, logger, minimumShare, leaseMs, idleMs, isUsable = isUsableUntilDeadline} = options;
	const held = new Set<HeldLease>();
	const renewalAbort = new AbortController();
	let pendingAcquisition: Promise<Result<HeldLease, Failure>> | undefined;
	let isRenewing = false;
	/** Total size of the tasks that wait for the pending acquisition. */
	let pendingShare: Share = {cores: 0, memoryMb: 0, accelerators: 0};

	const findLeaseWithCapacity = (size: Share): HeldLease | undefined =>
		[...held].find(lease => isUsable(lease.granted, clock.now()) && fits(size, lease));

	const releaseLease = async (lease: HeldLease): Promise<void> => {
		held.delete(lease);
		await client.release(lease.granted);
	};

	const endTask = (lease: HeldLease, size: Share): void => {
		lease.inUse = addShares(lease.inUse, size, -1);
		lease.tasks -= 1;
		lease.idleSince = clock.now();
		if (lease.tasks === 0 && !isUsable(lease.granted, clock.now())) {
			void releaseLease(lease);
		}
	};

	const createReservation = (lease: HeldLease, size: Share): Reservation => {
		lease.inUse = addShares(lease.inUse, size);
		lease.tasks += 1;
		return {
			lease: lease.granted,
			release() {
				endTask(lease, size);
			},
			discardLease() {
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

	/** Periodically renews held leases and releases those that have been idle for `idleMs`, until none is held. */
	const renewAll = async (): Promise<void> => {
		while (held.size > 0 && !renewalAbort.signal.aborted) {
			// eslint-disable-next-line no-await-in-loop
			await waitUntil(clock, clock.now() + Math.min(idleMs, leaseMs / renewalsPerLease), renewalAbort.signal);
			const hasIdledTooLong = (lease: HeldLease) => lease.tasks === 0 && clock.now() >= lease.idleSince + idleMs;
			const leases = renewalAbort.signal.aborted ? [] : [...held];
			// eslint-disable-next-line no-await-in-loop
			await Promise.all(leases.map(async lease => hasIdledTooLong(lease) ? releaseLease(lease) : renew(lease)));
		}

		isRenewing = false;
	};

	/** Requests a lease for the task and all waiting tasks, then smaller ones while the worker refuses with `over-quota`. */
	const requestLease = async (size: Share): Promise<Result<{granted: GrantedLease; share: Share}, Failure>> => {
		const shares = [atLeast(addShares(size, pendingShare), minimumShare), atLeast(size, minimumShare), size];
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

	const startAcquisition = async (size: Share): Promise<Result<HeldLease, Failure>> => {
		try {
			return await acquire(size);
		} finally {
			pendingAcquisition = undefined;
		}
	};

	/** Acquires one lease at a time, because a pending lease may have capacity for further tasks. */
	const reserve = async (size: Share): Promise<Result<Reservation, Failure>> => {
		const usableLease = findLeaseWithCapacity(size);
		if (usableLease) {
			return new Ok(createReservation(usableLease, size));
		}

		if (pendingAcquisition) {
			pendingShare = addShares(pendingShare, size);
			const pendingResult = await pendingAcquisition;
			pendingShare = addShares(pendingShare, size, -1);
			return pendingResult.isErr() ? new Err(pendingResult.error) : reserve(size);
		}

		pendingAcquisition = startAcquisition(size);
		const acquired = await pendingAcquisition;
		return acquired.map(lease => createReservation(lease, size));
	};

	return {
		reserve,
		held: () => [...held],
		async close() {
			renewalAbort.abort();
			await Promise.all([...held].map(async lease => releaseLease(lease)));
		},
	};
};
