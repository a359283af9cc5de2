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
	/** Called when an answer has been read that a minion or another host sent at this time of the monotonic clock or later, in milliseconds. */
	recordAnswer: (sentAt: number) => void;
	/** When the lease ends, in milliseconds of the monotonic clock. */
	endsAt: () => number;
};

/**
 * Creates the lease. A caller sends nothing that extends it, and the end of its connection may not have been read yet. So the lease counts from
 * the earlier of two times. A process that handles its events late has read what had arrived before the tick before the last one. A host behind a
 * full link has read what was sent before the newest answer that it has read, as answers come over the same link.
 */
export const createCallerLease = ({now, elapsed, jobLeaseMs}: CallerLeaseOptions): CallerLease => {
	let tickedAt = elapsed();
	let handledUntil = tickedAt;
	let answerSentAt = Number.NEGATIVE_INFINITY;
	return {
		recordTick() {
			handledUntil = tickedAt;
			tickedAt = elapsed();
		},
		recordAnswer(sentAt) {
			answerSentAt = Math.max(answerSentAt, sentAt);
		},
		endsAt: () => Math.min(answerSentAt, now() + handledUntil - elapsed()) + jobLeaseMs() - hostTiming.jobLeaseMarginMs,
	};
};
