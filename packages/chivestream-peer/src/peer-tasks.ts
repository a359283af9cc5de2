/** One task per peer that exchanges heartbeats with it until it is stopped. */
/* eslint-disable no-await-in-loop -- a task takes its steps one after another */
import {waitUntil, type Clock, type Random} from 'chivestream-core';
import {formatRun} from './digest-table.js';
import {type Member} from './member.js';

/** The tasks of all peers. */
export type PeerTasks = {
	/** Starts tasks for new targets and stops those of all others. */
	reconcile: (targets: readonly Member[]) => void;
	/** The members that have a task. */
	targets: () => Member[];
	/** Stops all; resolves when every task has ended. */
	close: () => Promise<void>;
};

type Task = {member: Member; stop: AbortController; done: Promise<void>};

/** What the tasks do. */
export type PeerTaskOptions = {
	clock: Clock;
	random: Random;
	intervalMs: (member: Member) => number;
	/** Whether the other side has just been in touch by itself. */
	isInTouch: (member: Member) => boolean;
	/** Sends one heartbeat and takes in the reply; never rejects. */
	exchange: (member: Member) => Promise<void>;
};

/** Creates an empty set of tasks. */
export const createPeerTasks = ({
	clock, random, intervalMs, isInTouch, exchange,
}: PeerTaskOptions): PeerTasks => {
	const tasks = new Map<string, Task>();

	const run = async (key: string, first: Member, signal: AbortSignal) => {
		await exchange(first);
		// The second heartbeat comes early by chance, so that those of all hosts spread out.
		await waitUntil(clock, clock.now() + (random() * intervalMs(first)), signal);
		while (!signal.aborted) {
			const member = tasks.get(key)?.member ?? first;
			const next = clock.now() + intervalMs(member);
			if (!isInTouch(member)) {
				await exchange(member);
			}

			await waitUntil(clock, next, signal);
		}
	};

	const start = (key: string, member: Member) => {
		const stop = new AbortController();
		tasks.set(key, {member, stop, done: run(key, member, stop.signal)});
	};

	return {
		reconcile(targets) {
			const wanted = new Map(targets.map(member => [formatRun(member.host), member]));
			for (const [key, task] of tasks) {
				const member = wanted.get(key);
				if (member) {
					task.member = member;
				} else {
					task.stop.abort();
					tasks.delete(key);
				}
			}

			for (const [key, member] of wanted) {
				if (!tasks.has(key)) {
					start(key, member);
				}
			}
		},
		targets: () => [...tasks.values()].map(({member}) => member),
		async close() {
			const ending = [...tasks.values()];
			for (const {stop} of ending) {
				stop.abort();
			}

			tasks.clear();
			await Promise.all(ending.map(async ({done}) => done));
		},
	};
};
