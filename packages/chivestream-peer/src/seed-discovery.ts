/** Asks seeds for hosts that are not known yet. */
/* eslint-disable no-await-in-loop -- a task takes its steps one after another */
import {
	pickRandom, waitUntil, type Clock, type Random,
} from 'chivestream-core';

/** What the task asks and whom. */
export type SeedDiscoveryOptions = {
	clock: Clock;
	random: Random;
	seeds: readonly string[];
	listHosts?: () => Promise<readonly string[]>;
	/** Addresses that need no asking. */
	knownAddresses: () => Set<string>;
	/** Whether this host knows another host of its zone. */
	hasZonePeers: () => boolean;
	/** Asks one address; never rejects. */
	discoverFrom: (address: string) => Promise<void>;
	initialIntervalMs: number;
	steadyIntervalMs: number;
};

/** Runs until the signal aborts: asks all unknown addresses while no peer is known, then one at a time. */
export const runSeedDiscovery = async (options: SeedDiscoveryOptions, signal: AbortSignal): Promise<void> => {
	const {clock, random, seeds, knownAddresses, hasZonePeers, discoverFrom} = options;

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
		const isWithoutPeers = !hasZonePeers();
		const known = knownAddresses();
		const addresses = await listAddresses();
		const unknown = addresses.filter(address => !known.has(address));
		const selected = isWithoutPeers || unknown.length === 0 ? unknown : [pickRandom(random, unknown)];
		await Promise.all(selected.map(async address => discoverFrom(address)));
		await waitUntil(clock, startedAt + (isWithoutPeers ? options.initialIntervalMs : options.steadyIntervalMs), signal);
	}
};
