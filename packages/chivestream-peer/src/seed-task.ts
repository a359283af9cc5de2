/** Asks seeds for hosts that are not known yet. */
/* eslint-disable no-await-in-loop -- a task takes its steps one after another */
import {
	pickRandom, waitUntil, type Clock, type Random,
} from 'chivestream-core';

/** What the task asks and whom. */
export type SeedTaskOptions = {
	clock: Clock;
	random: Random;
	seeds: readonly string[];
	listHosts?: () => Promise<readonly string[]>;
	/** Addresses that need no asking. */
	knownAddresses: () => Set<string>;
	/** Whether this host knows another host of its zone. */
	hasPeers: () => boolean;
	/** Asks one address; never rejects. */
	ask: (address: string) => Promise<void>;
	eagerIntervalMs: number;
	calmIntervalMs: number;
};

/** Runs until the signal aborts: asks all unknown addresses while no peer is known, then one at a time. */
export const runSeedTask = async (options: SeedTaskOptions, signal: AbortSignal): Promise<void> => {
	const {clock, random, seeds, knownAddresses, hasPeers, ask} = options;

	const listAddresses = async (): Promise<string[]> => {
		try {
			const listed = await options.listHosts?.() ?? [];
			return [...new Set([...seeds, ...listed])];
		} catch {
			// The platform's list is a hint: without it the seeds have to do.
			return [...seeds];
		}
	};

	while (!signal.aborted) {
		const startedAt = clock.now();
		const isEager = !hasPeers();
		const known = knownAddresses();
		const addresses = await listAddresses();
		const unknown = addresses.filter(address => !known.has(address));
		const asked = isEager || unknown.length === 0 ? unknown : [pickRandom(random, unknown)];
		await Promise.all(asked.map(async address => ask(address)));
		await waitUntil(clock, startedAt + (isEager ? options.eagerIntervalMs : options.calmIntervalMs), signal);
	}
};
