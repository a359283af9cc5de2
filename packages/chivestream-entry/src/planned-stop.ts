/** The planned stop of an entry host: it tells the others, finishes what it holds and only then leaves. */
import {waitUntil, type Clock, type Logger} from 'chivestream-core';
import {hostPhase, type Membership} from 'chivestream-peer';
import {type Dispatcher} from './dispatcher.js';

/** The planned stop of one host. */
export type PlannedStop = {
	/** Whether the host is leaving but still takes jobs of callers that could not know it yet. */
	acceptsLateJobs: () => boolean;
	/** Resolves once nothing is left to finish, or at the latest after the time that the settings allow. */
	drain: () => Promise<void>;
};

/** What a planned stop needs. */
export type PlannedStopOptions = {
	hostId: string;
	clock: Clock;
	logger: Logger;
	membership: Membership;
	dispatcher: Dispatcher;
	drainMs: number;
};

const lateJobWindowMs = 2000;
const pollMs = 50;
const step = 'drain';

/** A stop that has not begun. */
export const createPlannedStop = ({
	hostId, clock, logger, membership, dispatcher, drainMs,
}: PlannedStopOptions): PlannedStop => {
	let lateJobDeadline: number | undefined;

	const isIdle = () => dispatcher.attempts() === 0 && dispatcher.runs().next().done === true;

	const waitUntilIdle = async (deadline: number) => {
		while (!isIdle()) {
			if (clock.now() >= deadline) {
				logger.warn('leaving with work in progress', {step, peer: hostId, attempts: dispatcher.attempts()});
				return;
			}

			await waitUntil(clock, clock.now() + pollMs); // eslint-disable-line no-await-in-loop -- polls until idle
		}
	};

	return {
		acceptsLateJobs: () => lateJobDeadline !== undefined && clock.now() < lateJobDeadline,
		async drain() {
			const deadline = clock.now() + drainMs;
			// Callers that already have a connection or a key of this host may still send for a moment.
			lateJobDeadline = clock.now() + lateJobWindowMs;
			await membership.announce(hostPhase.draining);
			await waitUntil(clock, lateJobDeadline);
			await waitUntilIdle(deadline);
			await membership.announce(hostPhase.left);
		},
	};
};
