/** Injectable clocks: the same code runs on the system clock and on a fake one. */

/** A scheduled callback that can still be cancelled. */
export type Timer = {
	cancel: () => void;
};

/** Provides the current time and schedules callbacks. Times are in milliseconds since the Unix epoch. */
export type Clock = {
	now: () => number;
	/** Calls back once the deadline has passed. */
	at: (deadline: number, callback: () => void) => Timer;
};

/** `setTimeout` fires at once if the delay exceeds a signed 32-bit integer. */
const maxTimeoutMs = (2 ** 31) - 1;

/** The system clock. Its timers do not keep the process alive. */
export const systemClock: Clock = {
	now: () => Date.now(),
	at(deadline, callback) {
		const delayMs = Math.min(Math.max(0, deadline - Date.now()), maxTimeoutMs);
		const handle = setTimeout(callback, delayMs);
		handle.unref();
		return {
			cancel() {
				clearTimeout(handle);
			},
		};
	},
};

/** Resolves once the deadline has passed, or as soon as the signal aborts. */
export const waitUntil = async (clock: Clock, deadline: number, signal?: AbortSignal): Promise<void> => new Promise(resolve => {
	if (signal?.aborted) {
		resolve();
		return;
	}

	const finish = () => {
		timer.cancel();
		signal?.removeEventListener('abort', finish);
		resolve();
	};

	const timer = clock.at(deadline, finish);
	signal?.addEventListener('abort', finish, {once: true});
});
