/** A clock for deadlines that another host relies on. */

/** Difference between the time of day and the monotonic clock up to which both are taken for equal, in milliseconds. */
const toleranceMs = 50;

/**
 * Creates a clock that never runs slower than real time, in milliseconds from an arbitrary start. The monotonic clock stands still while a
 * machine is suspended. A forward jump of the time of day against it counts as elapsed time, since it may be due to a suspension.
 */
export const createElapsedClock = (monotonic: () => number, timeOfDay: () => number): (() => number) => {
	let offset = timeOfDay() - monotonic();
	let skippedMs = 0;
	return () => {
		const now = monotonic();
		const newOffset = timeOfDay() - now;
		if (Math.abs(newOffset - offset) > toleranceMs) {
			skippedMs += Math.max(0, newOffset - offset);
			offset = newOffset;
		}

		return now + skippedMs;
	};
};
