/** One loop per peer that exchanges heartbeats with it until stopped. */
/* eslint-disable no-await-in-loop -- iterations are sequential */
import {waitUntil, type Clock, type Random} from 'chivestream-core';
import {incarnationKey} from './digest-table.js';
import {type Member} from './member.js';

/** The heartbeat loops of all peers. */
export type HeartbeatLoops = {
	/** Starts loops for new targets and stops those of members that are no longer targets. */
	reconcile: (targets: readonly Member[]) => void;
	/** The members that have a running loop. */
	targets: () => Member[];
	/** Stops all loops. Resolves when the running ones have ended. */
	close: () => Promise<void>;
};

type HeartbeatLoop = {member: Member; stop: AbortController; done: Promise<void>};

/** Dependencies of the loops. */
export type HeartbeatLoopOptions = {
	clock: Clock;
	random: Random;
	intervalMs: (member: Member) => number;
	/** Whether the next heartbeat is redundant, because a message from the member was received recently. */
	canSkipHeartbeat: (member: Member) => boolean;
	/** Sends a heartbeat and processes the reply. Never rejects. */
	exchangeHeartbeats: (member: Member) => Promise<void>;
};

/** Creates a set without loops. */
export const createHeartbeatLoops = ({
	clock, random, intervalMs, canSkipHeartbeat, exchangeHeartbeats,
}: HeartbeatLoopOptions): HeartbeatLoops => {
	const loops = new Map<string, HeartbeatLoop>();

	const run = async (key: string, first: Member, signal: AbortSignal) => {
		await exchangeHeartbeats(first);
		// A random delay before the second heartbeat spreads the heartbeats of all hosts over the interval.
		await waitUntil(clock, clock.now() + (random() * intervalMs(first)), signal);
		while (!signal.aborted) {
			const member = loops.get(key)?.member ?? first;
			const next = clock.now() + intervalMs(member);
			if (!canSkipHeartbeat(member)) {
				await exchangeHeartbeats(member);
			}

			await waitUntil(clock, next, signal);
		}
	};

	const start = (key: string, member: Member) => {
		const stop = new AbortController();
		loops.set(key, {member, stop, done: run(key, member, stop.signal)});
	};

	return {
		reconcile(targets) {
			const targetsByKey = new Map(targets.map(member => [incarnationKey(member.host), member]));
			for (const [key, loop] of loops) {
				const member = targetsByKey.get(key);
				if (member) {
					loop.member = member;
				} else {
					loop.stop.abort();
					loops.delete(key);
				}
			}

			for (const [key, member] of targetsByKey) {
				if (!loops.has(key)) {
					start(key, member);
				}
			}
		},
		targets: () => [...loops.values()].map(({member}) => member),
		async close() {
			const ending = [...loops.values()];
			for (const {stop} of ending) {
				stop.abort();
			}

			loops.clear();
			await Promise.all(ending.map(async ({done}) => done));
		},
	};
};
