/** Discovery of unknown hosts through seed addresses and the platform's list of hosts. */
/* eslint-disable no-await-in-loop -- iterations are sequential */
import {
	pickRandom, waitUntil, type Clock, type Random,
} from 'chivestream-core';

/** Dependencies and intervals of seed discovery. */
export type SeedDiscoveryOptions = {
	clock: Clock;
	random: Random;
	seeds: readonly string[];
	listHosts?: () => Promise<readonly string[]>;
	/** Addresses of live hosts and of this one, which are not contacted. */
	knownAddresses: () => Set<string>;
	/** Whether another host of the zone is considered live. */
	hasZonePeers: () => boolean;
	/** Sends a heartbeat to an address and records the hosts in the reply. Never rejects. */
	discoverFrom: (address: string) => Promise<void>;
	/** Interval in milliseconds while no other host of the zone is live. */
	initialIntervalMs: number;
	/** Interval in milliseconds while another host of the zone is live. */
	steadyIntervalMs: number;
};

/**
Runs until the signal aborts. Contacts all unknown addresses in each round while no other host of the zone is live, and one
random unknown address otherwise.
*/
export const runSeedDiscovery = async (options: SeedDiscoveryOptions, signal: AbortSignal): Promise<void> => {
	const {clock, random, seeds, knownAddresses, hasZonePeers, discoverFrom} = options;

	const listAddresses = async (): Promise<string[]> => {
		try {
			const listed = await options.listHosts?.() ?? [];
			return [...new Set([...seeds, ...listed])];
		} catch {
			// The platform's list is only a hint, so discovery continues with the seeds.
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
