/** Periodic calls on an injected clock. */
import {type Clock} from 'chivestream-core';

/** Calls the callback once per period until the signal aborts; the first call comes after one period. */
export const repeat = (clock: Clock, periodMs: number, signal: AbortSignal, callback: () => void): void => {
	clock.at(clock.now() + periodMs, () => {
		if (signal.aborted) {
			return;
		}

		callback();
		repeat(clock, periodMs, signal, callback);
	});
};
