/** Keeps background loops running after an unexpected error. */
/* eslint-disable no-await-in-loop -- iterations are sequential */
import {setTimeout as sleep} from 'node:timers/promises';
import {type Report} from './host-log.js';

/** Pause before a loop that has failed starts again, in milliseconds. */
const restartPauseMs = 200;

/** Runs a loop until it returns or the signal aborts. If it fails, logs the error and starts it again. */
export const runBackgroundLoop = async (name: string, loop: () => Promise<void>, {report, signal}: {report: Report; signal: AbortSignal}): Promise<void> => {
	while (!signal.aborted) {
		try {
			await loop();
			return;
		} catch (error) {
			report('loop-failed', {loop: name, reason: error instanceof Error ? error.stack : String(error)});
			await sleep(restartPauseMs);
		}
	}
};
