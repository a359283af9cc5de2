/** The list of entry hosts in the platform's store, by which they find each other. */
/* eslint-disable no-await-in-loop -- a task takes one step after the other */
import {setTimeout as sleep} from 'node:timers/promises';
import {parseJson, topic, type StoreClient} from 'chivestream-platform';
import {z} from 'zod';
import {type Report} from './host-log.js';
import {type HostRecord} from './messages.js';

/** What following the list needs, and what it tells. */
export type DirectoryOptions = {
	store: StoreClient;
	/** The entry of this host. */
	self: HostRecord;
	report: Report;
	/** Called with all entries, after each read. */
	noteHosts: (hosts: HostRecord[]) => void;
	signal: AbortSignal;
};

/** Between two looks at the list: at first, and later on, in milliseconds. */
const directoryMs = {first: 500, later: 5000} as const;

/** Looks that come soon after the start. */
const firstReads = 4;

/** How long the store may take to answer, in milliseconds. */
const answerMs = 1000;

const hostRecord = z.object({
	name: z.string(), zone: z.string(), address: z.string(), bornAt: z.number(), cpuShare: z.number(),
});

/** Enters this host into the list and reads it again and again, until the signal aborts. */
export const followDirectory = async (options: DirectoryOptions): Promise<void> => {
	const {store, self, report, signal} = options;
	const value = JSON.stringify(self);
	let isWritten = false;
	let reads = 0;
	while (!signal.aborted) {
		if (!isWritten) {
			const written = await store.writeRecord(topic.hosts, self.name, value, answerMs);
			isWritten = written.isOk();
		}

		const result = await store.readSnapshot(topic.hosts, answerMs);
		if (result.isOk()) {
			options.noteHosts(result.value.records.flatMap(({key, value: bytes}) => {
				const parsed = hostRecord.safeParse(bytes === undefined ? undefined : parseJson(bytes));
				if (!parsed.success) {
					report('host-unreadable', {peer: key, reason: parsed.error.message});
				}

				return parsed.success ? [parsed.data] : [];
			}));
		}

		reads += 1;
		await sleep(reads <= firstReads || !isWritten ? directoryMs.first : directoryMs.later);
	}
};
