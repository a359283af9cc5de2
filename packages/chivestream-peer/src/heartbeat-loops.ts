/** One task per peer that exchanges heartbeats with it until it is stopped. */
/* eslint-disable no-await-in-loop -- a task takes its steps one after another */
import {waitUntil, type Clock, type Random} from 'chivestream-core';
import {incarnationKey} from './digest-table.js';
import {type Member} from './member.js';

/** The tasks of all peers. */
export type HeartbeatLoops = {
	/** Starts tasks for new targets and stops those of all others. */
	reconcile: (targets: readonly Member[]) => void;
	/** The members that have a task. */
	targets: () => Member[];
	/** Stops all; resolves when every task has ended. */
	close: () => Promise<void>;
};

type HeartbeatLoop = {member: Member; stop: AbortController; done: Promise<void>};

/** What the tasks do. */
export type HeartbeatLoopOptions = {
	clock: Clock;
	random: Random;
	intervalMs: (member: Member) => number;
	/** Whether the other side has just been in touch by itself. */
	canSkipHeartbeat: (member: Member) => boolean;
	/** Sends one heartbeat and takes in the reply; never rejects. */
	exchangeHeartbeats: (member: Member) => Promise<void>;
};

/** Creates an empty set of tasks. */
export const createHeartbeatLoops = ({
	clock, random, intervalMs, canSkipHeartbeat, exchangeHeartbeats,
}: HeartbeatLoopOptions): HeartbeatLoops => {
	const loops = new Map<string, HeartbeatLoop>();

	const run = async (key: string, first: Member, signal: AbortSignal) => {
		await exchangeHeartbeats(first);
		// The second heartbeat comes early by chance, so that those of all hosts spread out.
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
