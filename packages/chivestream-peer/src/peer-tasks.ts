/** One task per peer that sends it heartbeats until it is stopped. */
/* eslint-disable no-await-in-loop -- a task takes its steps one after another */
import {waitUntil, type Clock, type Random} from 'chivestream-core';
import {type Acknowledged} from './heartbeat-writer.js';
import {formatRun} from './digest-table.js';
import {type Member} from './member.js';

/** A host that gets heartbeats. */
export type Peer = {
	member: Member;
	/** What it has acknowledged. */
	acknowledged: Acknowledged;
};

/** The tasks of all peers. */
export type PeerTasks = {
	/** Starts tasks for new targets and stops those of all others. */
	reconcile: (targets: readonly Member[]) => void;
	peers: () => Peer[];
	/** Stops all; resolves when every task has ended. */
	close: () => Promise<void>;
};

type Task = {peer: Peer; stop: AbortController; done: Promise<void>};

/** What the tasks do. */
export type PeerTaskOptions = {
	clock: Clock;
	random: Random;
	intervalMs: (member: Member) => number;
	/** Sends one heartbeat and takes in the reply; never rejects. */
	exchange: (peer: Peer) => Promise<void>;
};

/** Creates an empty set of tasks. */
export const createPeerTasks = ({
	clock, random, intervalMs, exchange,
}: PeerTaskOptions): PeerTasks => {
	const tasks = new Map<string, Task>();

	const run = async (peer: Peer, signal: AbortSignal) => {
		await exchange(peer);
		// The second heartbeat comes early by chance, so that those of all hosts spread out.
		await waitUntil(clock, clock.now() + (random() * intervalMs(peer.member)), signal);
		while (!signal.aborted) {
			const sentAt = clock.now();
			await exchange(peer);
			await waitUntil(clock, sentAt + intervalMs(peer.member), signal);
		}
	};

	const start = (member: Member) => {
		const peer: Peer = {member, acknowledged: new Map()};
		const stop = new AbortController();
		tasks.set(formatRun(member.host), {peer, stop, done: run(peer, stop.signal)});
	};

	return {
		reconcile(targets) {
			const wanted = new Map(targets.map(member => [formatRun(member.host), member]));
			for (const [key, {peer, stop}] of tasks) {
				const member = wanted.get(key);
				if (member) {
					peer.member = member;
				} else {
					stop.abort();
					tasks.delete(key);
				}
			}

			for (const [key, member] of wanted) {
				if (!tasks.has(key)) {
					start(member);
				}
			}
		},
		peers: () => [...tasks.values()].map(({peer}) => peer),
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
