/** Work that is done again and again on a clock passed as an argument. */
import {type Clock} from 'chivestream-core';

/** Does the work once in each period until the signal aborts. */
export const repeat = (clock: Clock, periodMs: number, signal: AbortSignal, work: () => void): void => {
	clock.at(clock.now() + periodMs, () => {
		if (signal.aborted) {
			return;
		}

		work();
		repeat(clock, periodMs, signal, work);
	});
};
