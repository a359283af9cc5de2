/** The records of entry hosts in the platform's store, by which they discover each other. */
/* eslint-disable no-await-in-loop -- iterations are sequential */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	decodeText, describeFault, parseStrictJson, topic, type KeyedRecord, type RefusalListener, type StoreClient,
} from 'chivestream-platform';
import {type Report} from './host-log.js';
import {hostRecordSchema} from './message-schemas.js';
import {type HostRecord} from './messages.js';
import {RefusedRecords} from './refused-records.js';
import {isInFuture} from './timing.js';

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

/** Bounds of a host's processor time, in cores of the usual speed. */
const cpuShareRange = {min: 1e-6, max: 1e6} as const;

const maxZoneLength = 255;

/** Timeout of a request to the store, in milliseconds. */
const storeTimeoutMs = 1000;

const noBytes = new Uint8Array();

/** Decodes the record of a host; undefined if it is invalid, after `onInvalid` has been called with what is wrong. */
export const decodeHostRecord = (key: string, value: Uint8Array, onInvalid: RefusalListener): HostRecord | undefined => {
	const json = parseStrictJson(value);
	if (json === undefined) {
		onInvalid('not JSON in UTF-8');
		return undefined;
	}

	const parsed = hostRecordSchema.safeParse(json);
	if (!parsed.success) {
		onInvalid(describeFault(parsed.error));
		return undefined;
	}

	const {name, zone, bornAt, cpuShare} = parsed.data;
	const faults: Array<[boolean, string]> = [
		[name !== key, 'name: other than its key'],
		[zone.length > maxZoneLength, 'zone: too long'],
		// No later incarnation would replace it.
		[!Number.isSafeInteger(bornAt) || bornAt < 0 || isInFuture(bornAt), 'bornAt: no time in the past'],
		[cpuShare < cpuShareRange.min || cpuShare > cpuShareRange.max, 'cpuShare: out of range'],
	];
	const fault = faults.find(([isPresent]) => isPresent);
	if (fault !== undefined) {
		onInvalid(fault[1]);
		return undefined;
	}

	return parsed.data;
};

/**
 * Writes the record of this host and reads all records periodically, until the signal aborts. The record is written again if
 * another writer has replaced it, but not if a later incarnation of this host has.
 */
export const followHostRegistry = async (options: HostRegistryOptions): Promise<void> => {
	const {store, self, report, signal} = options;
	const value = JSON.stringify(self);
	const refused = new RefusedRecords(report, 'host-unreadable');
	let isWritten = false;
	let reads = 0;

	const readRecord = ({key, value: bytes}: KeyedRecord): HostRecord[] => {
		const record = decodeHostRecord(key, bytes ?? noBytes, reason => {
			refused.note(key, reason);
		});
		if (record === undefined) {
			return [];
		}

		refused.forget(key);
		return [record];
	};

	while (!signal.aborted) {
		if (!isWritten) {
			const written = await store.writeRecord(topic.hosts, self.name, value, storeTimeoutMs);
			isWritten = written.isOk();
		}

		const result = await store.readSnapshot(topic.hosts, storeTimeoutMs);
		if (result.isOk()) {
			const {records} = result.value;
			refused.retain(new Set(records.map(({key}) => key)));
			const hosts = records.flatMap(record => readRecord(record));
			const ownValue = records.find(({key}) => key === self.name)?.value ?? noBytes;
			const isSucceeded = hosts.some(({name, bornAt}) => name === self.name && bornAt > self.bornAt);
			if (decodeText(ownValue) !== value && !isSucceeded) {
				isWritten = false;
			}

			options.onHosts(hosts);
		}

		reads += 1;
		await sleep(reads <= frequentReads || !isWritten ? readIntervalMs.first : readIntervalMs.later);
	}
};
