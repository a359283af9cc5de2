/** Starts the entry hosts of all zones at addresses that they know of one another. */
import {launchEntry, waitUntilReady, type LaunchedEntry} from './launched-entry.js';
import {findFreeAddresses} from './ports.js';

/** What to start. */
export type EntryGroupOptions = {
	zones: readonly string[];
	hostsPerZone: number;
	logAddress: string;
	hostsAddress: string;
	/** Directory for the settings files. */
	directory: string;
	nodeOptions?: string[];
	limits?: Record<string, number>;
	/** Called with each entry host as soon as its process runs. */
	onLaunch: (entry: LaunchedEntry) => void;
};

const addressesPerHost = 3;
const readyTimeoutMs = 20_000;
const stopTimeoutMs = 5000;
const maxTries = 3;
const addressTaken = 'EADDRINUSE';

const launchAll = async (options: EntryGroupOptions): Promise<LaunchedEntry[]> => {
	const {zones, hostsPerZone, onLaunch, ...common} = options;
	const members = zones.flatMap(zone =>
		Array.from({length: hostsPerZone}, (_, index) => ({id: `entry-${zone}-${index}`, zone})));
	const addresses = await findFreeAddresses(members.length * addressesPerHost);
	const peers = members.map((member, index) => ({...member, address: addresses[index]!}));
	return Promise.all(members.map(async (member, index) => {
		const entry = await launchEntry({
			...common,
			...member,
			peers,
			peerAddress: addresses[index]!,
			callerAddress: addresses[members.length + index]!,
			operatorAddress: addresses[(2 * members.length) + index]!,
		});
		onLaunch(entry);
		return entry;
	}));
};

const stopAll = async (entries: readonly LaunchedEntry[]) => {
	const deadline = Date.now() + stopTimeoutMs;
	await Promise.all(entries.map(async entry => entry.process.stop(deadline)));
};

/** Resolves once all are ready; starts them again at other addresses when another process took one in between. */
export const launchReadyEntries = async (options: EntryGroupOptions): Promise<LaunchedEntry[]> => {
	for (let count = 1; ; count++) {
		/* eslint-disable no-await-in-loop -- a try follows the failure of the one before */
		const entries = await launchAll(options);
		const deadline = Date.now() + readyTimeoutMs;
		try {
			await Promise.all(entries.map(async entry => waitUntilReady(entry, deadline)));
			return entries;
		} catch (error) {
			await stopAll(entries);
			if (count === maxTries || !String(error).includes(addressTaken)) {
				throw error;
			}
		}
		/* eslint-enable no-await-in-loop */
	}
};
