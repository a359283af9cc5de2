/** Detects that this process has just been paused, or its machine suspended. */

/** Times of a pause guard, in milliseconds. */
export type PauseGuardOptions = {
	/** The monotonic clock. */
	now: () => number;
	/** A clock that never runs slower than real time; see `createElapsedClock`. */
	elapsed: () => number;
	/** Shortest time without a check that counts as a pause. */
	thresholdMs: number;
	/** Time after a pause until the sockets have been read. */
	recoveryMs: number;
};

/** Whether this process acts on what it knew before a pause. */
export type PauseGuard = {
	/**
	 * Returns false from a pause until the sockets have been read: callers may have left meanwhile, and may have sent their jobs to other
	 * hosts. Called periodically.
	 */
	isAwake: () => boolean;
};

/** Creates a guard. */
export const createPauseGuard = ({now, elapsed, thresholdMs, recoveryMs}: PauseGuardOptions): PauseGuard => {
	let checkedAt = elapsed();
	let awakeAt = Number.NEGATIVE_INFINITY;
	return {
		isAwake() {
			const checkedBefore = checkedAt;
			checkedAt = elapsed();
			if (checkedAt - checkedBefore > thresholdMs) {
				awakeAt = now() + recoveryMs;
			}

			return now() >= awakeAt;
		},
	};
};
