/**
 * Leases. A minion ends every run when its lease expires; a dispatcher renews it. A dispatcher in turn runs a job under a lease that the
 * host which submitted the job renews, and never lets the lease of a minion outlast that of a job whose task runs there. Once the lease
 * on a job has expired, none of its tasks is running for that dispatcher, whatever has become of the dispatcher.
 */
import {jobLeaseEndsAt} from './job.js';
import {type Minion} from './minion.js';

/** Safety factor on the length of a lease: a minion's clock may run 2% slow, and twice that is allowed for. */
const driftFactor = 1.04;

/** Time allowed for a renewal to reach the minion and take effect, in milliseconds. */
const deliveryMs = 50;

/** Time after the last renewal was sent by which every run under the lease has ended, in milliseconds. */
export const leaseExpiryMs = (leaseMs: number): number => (leaseMs * driftFactor) + deliveryMs;

/** The longest lease of a minion under which every run has ended within a time, in milliseconds; negative if there is none. */
const leaseMsWithin = (timeMs: number): number => (timeMs - deliveryMs) / driftFactor;

/** Time from the end of the longest lease of a minion until a job may start elsewhere, in milliseconds. */
const resubmissionMarginMs = 300;

/**
 * Length of the lease on a job, in milliseconds, given the longest lease that a minion grants. Callers send a job again this long after
 * their connection broke, and it may start elsewhere then.
 */
export const jobLeaseMs = (leaseMs: number): number => leaseMs + resubmissionMarginMs;

/** Part of the longest lease that a dispatcher asks for. The rest leaves time to renew the lease on a job before that of its minion. */
const renewalShare = 0.9;

/** A minion gets no further task unless its lease may last this long, as a share of the usual length. */
const leastStartShare = 0.5;

/** The lengths of the leases that a dispatcher grants, in milliseconds. */
export type LeaseLengths = {
	/** Usual length of a minion's lease. */
	usualMs: number;
	/** Least length of a minion's lease at the start of a task. */
	leastAtStartMs: number;
	/** Length that a previous dispatcher may have granted. */
	longestMs: number;
};

/** Determines the lengths of leases, given the longest one that a minion grants, in milliseconds. */
export const leaseLengths = (longestMs: number): LeaseLengths => ({
	usualMs: longestMs * renewalShare, leastAtStartMs: longestMs * renewalShare * leastStartShare, longestMs,
});

/**
 * Until when the lease of a minion may last: the least of the leases on the jobs whose tasks run there. A run that no job asks for, or that
 * must end, allows no renewal unless the minion has confirmed its stop.
 */
export const leaseLimit = (minion: Minion): number => {
	let limit = Infinity;
	for (const {assignedTask, stopConfirmedAt} of minion.runs.values()) {
		if (stopConfirmedAt === undefined) {
			const isWanted = assignedTask !== undefined && !assignedTask.job.isSettled;
			limit = Math.min(limit, isWanted ? jobLeaseEndsAt(assignedTask.job) : Number.NEGATIVE_INFINITY);
		}
	}

	return limit;
};

/**
 * Length of the lease that a minion may be granted at time `now`, in milliseconds of its clock; undefined if it must not be extended.
 * Records in `minion.leaseEndsAt` when it has expired at the latest.
 */
export const grantLease = (minion: Minion, {usualMs}: LeaseLengths, now: number): number | undefined => {
	const grantedMs = Math.min(usualMs, leaseMsWithin(leaseLimit(minion) - now));
	if (grantedMs <= 0) {
		return undefined;
	}

	minion.leaseEndsAt = Math.max(minion.leaseEndsAt, now + leaseExpiryMs(grantedMs));
	return grantedMs;
};

/** Whether a task whose job may run until `jobEndsAt` can start on a minion: the leases of both must allow enough time. */
export const isLeaseSufficient = (minion: Minion, jobEndsAt: number, {leastAtStartMs}: LeaseLengths, now: number): boolean => {
	// A lease that was granted before can't be shortened, and covers the new run as well.
	const needed = Math.max(minion.leaseEndsAt, now + leaseExpiryMs(leastAtStartMs));
	return jobEndsAt >= needed && leaseLimit(minion) >= needed;
};
