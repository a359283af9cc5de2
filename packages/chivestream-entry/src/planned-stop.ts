/** Planned stop of an entry host: announces that it is draining, waits for its jobs to end, then announces that it has left. */
import {waitUntil, type Clock, type Logger} from 'chivestream-core';
import {hostPhase, type Membership} from 'chivestream-peer';
import {type Dispatcher} from './dispatcher.js';

/** The planned stop of one host. */
export type PlannedStop = {
	/** True for 2 s after `drain` is called; jobs are still accepted because callers may not have seen the draining state yet. */
	acceptsLateJobs: () => boolean;
	/** Resolves once all jobs have ended or `drainMs` has passed, and the host has announced that it has left. */
	drain: () => Promise<void>;
};

/** Dependencies and time limit of a planned stop. */
export type PlannedStopOptions = {
	hostId: string;
	clock: Clock;
	logger: Logger;
	membership: Membership;
	dispatcher: Dispatcher;
	/** Time from the start of the stop after which the host no longer waits for its jobs. */
	drainMs: number;
};

const lateJobWindowMs = 2000;
const pollMs = 50;
const step = 'drain';

/** Creates a planned stop; it starts with `drain`. */
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
			// Callers that have a connection to this host or a key of it may still send jobs for a moment.
			lateJobDeadline = clock.now() + lateJobWindowMs;
			await membership.announce(hostPhase.draining);
			await waitUntil(clock, lateJobDeadline);
			await waitUntilIdle(deadline);
			await membership.announce(hostPhase.left);
		},
	};
};
