/** Until when the jobs of this host's own callers may run. */
import {hostTiming} from './timing.js';

/** Dependencies of the lease on the jobs of callers. */
export type CallerLeaseOptions = {
	/** The monotonic clock, in milliseconds. */
	now: () => number;
	/** A clock that never runs slower than real time, in milliseconds; see `createElapsedClock`. */
	elapsed: () => number;
	/** Length of the lease on a job, in milliseconds: a caller whose connection has broken sends its job again after this time. */
	jobLeaseMs: () => number;
};

/** The lease on the jobs of a host's own callers. */
export type CallerLease = {
	/** Called by each periodic check of the process. */
	recordTick: () => void;
	/** When the lease ends, in milliseconds of the monotonic clock. */
	endsAt: () => number;
};

/**
 * Creates the lease. A caller sends nothing that extends it: an open connection does. A process that handles its events late doesn't know
 * whether connections are still open, so the lease is counted from the time until which it has read its sockets. They are read between
 * two ticks, and what had arrived before a tick has been read at the next one.
 */
export const createCallerLease = ({now, elapsed, jobLeaseMs}: CallerLeaseOptions): CallerLease => {
	let tickedAt = elapsed();
	let readUntil = tickedAt;
	return {
		recordTick() {
			readUntil = tickedAt;
			tickedAt = elapsed();
		},
		endsAt: () => now() + readUntil + jobLeaseMs() - hostTiming.jobLeaseMarginMs - elapsed(),
	};
};
