/** Work that is done again and again on a clock passed as an argument. */
import {type Clock} from 'chivestream-core';

/** Does the work once in each period until the signal aborts. */
export const repeat = (clock: Clock, periodMs: number, signal: AbortSignal, callback: () => void): void => {
	clock.at(clock.now() + periodMs, () => {
		if (signal.aborted) {
			return;
		}

		callback();
		repeat(clock, periodMs, signal, callback);
	});
};
