/** The records of entry hosts in the platform's store, by which they discover each other. */
/* eslint-disable no-await-in-loop -- iterations are sequential */
import {setTimeout as sleep} from 'node:timers/promises';
import {parseJson, topic, type StoreClient} from 'chivestream-platform';
import {type Report} from './host-log.js';
import {hostRecordSchema} from './message-schemas.js';
import {type HostRecord} from './messages.js';

/** Dependencies and callbacks of `followHostRegistry`. */
export type HostRegistryOptions = {
	store: StoreClient;
	/** The record of this host. */
	self: HostRecord;
	report: Report;
	/** Called with all valid records after each read. */
	onHosts: (hosts: HostRecord[]) => void;
	signal: AbortSignal;
};

/** Interval between reads, in milliseconds: `first` applies to the first reads and until this host's record is written. */
const readIntervalMs = {first: 500, later: 5000} as const;

/** Number of reads after the start at the shorter interval. */
const frequentReads = 4;

/** Timeout of a request to the store, in milliseconds. */
const storeTimeoutMs = 1000;

/** Writes the record of this host and reads all records periodically, until the signal aborts. */
export const followHostRegistry = async (options: HostRegistryOptions): Promise<void> => {
	const {store, self, report, signal} = options;
	const value = JSON.stringify(self);
	let isWritten = false;
	let reads = 0;
	while (!signal.aborted) {
		if (!isWritten) {
			const written = await store.writeRecord(topic.hosts, self.name, value, storeTimeoutMs);
			isWritten = written.isOk();
		}

		const result = await store.readSnapshot(topic.hosts, storeTimeoutMs);
		if (result.isOk()) {
			options.onHosts(result.value.records.flatMap(({key, value: bytes}) => {
				const parsed = hostRecordSchema.safeParse(bytes === undefined ? undefined : parseJson(bytes));
				if (!parsed.success) {
					report('host-unreadable', {peer: key, reason: parsed.error.message});
				}

				return parsed.success ? [parsed.data] : [];
			}));
		}

		reads += 1;
		await sleep(reads <= frequentReads || !isWritten ? readIntervalMs.first : readIntervalMs.later);
	}
};
