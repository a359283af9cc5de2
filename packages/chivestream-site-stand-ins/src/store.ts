/** Stand-in for the platform's store, a log with topics. Keyed topics retain the newest value of each key. */
import {Buffer} from 'node:buffer';
import {
	jsonResponse, startStandInServer, type StandInResponse, type StandInRequest, type StandInServer,
} from './http.js';

type Topic = {
	/** Offset of the oldest retained record. */
	first: number;
	records: Uint8Array[];
	newestByKey: Map<string, {value: Uint8Array; offset: number}>;
	/** Callbacks of waiting reads, called after each append. */
	waiters: Set<() => void>;
};

/** A running store. */
export type StoreStandIn = StandInServer & {
	/** Writes a record, also to topics that are read-only for clients; an empty value deletes the key. */
	write: (topic: string, key: string, value: string) => void;
	/** Drops the records of a topic; the newest value of each key remains available. */
	dropRecords: (topic: string) => void;
	/** Returns the newest value of a key. */
	readNewest: (topic: string, key: string) => string | undefined;
	/** Number of requests by path, since the start. */
	requestCounts: Map<string, number>;
	/** Opens a further address on a free port of 127.0.0.1, so that the clients there can be turned away while others are served. */
	openEntrance: () => Promise<StandInServer>;
};

const status = {
	ok: 200, badRequest: 400, forbidden: 403, notFound: 404, gone: 410, conflict: 412,
} as const;

const readOnlyTopics = new Set(['keyed.op', 'keyed.servers']);
const lengthBytes = 4;
const offsetBytes = 8;
const maxPageItems = 500;
const maxWaitMs = 30_000;

const splitRecords = (body: Uint8Array): Uint8Array[] => {
	const buffer = Buffer.from(body);
	const records: Uint8Array[] = [];
	let position = 0;
	while (position < buffer.length) {
		const length = buffer.readUInt32BE(position);
		records.push(buffer.subarray(position + lengthBytes, position + lengthBytes + length));
		position += lengthBytes + length;
	}

	return records;
};

const encodePage = (topic: Topic, from: number): Uint8Array => {
	const header = Buffer.alloc(2 * offsetBytes);
	header.writeBigUInt64BE(BigInt(topic.first + topic.records.length), 0);
	header.writeBigUInt64BE(BigInt(topic.first), offsetBytes);
	const parts: Uint8Array[] = [header];
	for (const record of topic.records.slice(from - topic.first)) {
		const length = Buffer.alloc(lengthBytes);
		length.writeUInt32BE(record.length);
		parts.push(length, record);
	}

	return Buffer.concat(parts);
};

/** Starts a store at the given address, or on a free port of 127.0.0.1. */
export const startStoreStandIn = async (at?: {ip: string; port: number}): Promise<StoreStandIn> => {
	const topics = new Map<string, Topic>();
	const requestCounts = new Map<string, number>();

	const getTopic = (name: string): Topic => {
		const topic = topics.get(name) ?? {
			first: 0, records: [], newestByKey: new Map<string, {value: Uint8Array; offset: number}>(), waiters: new Set<() => void>(),
		};
		topics.set(name, topic);
		return topic;
	};

	const append = (name: string, records: readonly Uint8Array[]) => {
		const topic = getTopic(name);
		for (const record of records) {
			if (name.startsWith('keyed.')) {
				const keyLength = record[0] ?? 0;
				const key = Buffer.from(record.subarray(1, 1 + keyLength)).toString('utf8');
				const value = record.subarray(1 + keyLength);
				if (value.length === 0) {
					topic.newestByKey.delete(key);
				} else {
					topic.newestByKey.set(key, {value, offset: topic.first + topic.records.length});
				}
			}

			topic.records.push(record);
		}

		for (const notifyWaiter of topic.waiters) {
			notifyWaiter();
		}
	};

	const readPage = async (query: URLSearchParams): Promise<StandInResponse> => {
		const topic = getTopic(query.get('topic') ?? '');
		const from = Number(query.get('from'));
		if (from < topic.first) {
			return jsonResponse(status.gone, {first: topic.first});
		}

		const waitMs = Math.min(maxWaitMs, Number(query.get('wait_ms') ?? 0));
		if (from >= topic.first + topic.records.length && waitMs > 0) {
			await new Promise<void>(resolve => {
				const finish = () => {
					clearTimeout(timer);
					topic.waiters.delete(finish);
					resolve();
				};

				const timer = setTimeout(finish, waitMs);
				topic.waiters.add(finish);
			});
		}

		return from < topic.first ? jsonResponse(status.gone, {first: topic.first}) : {status: status.ok, body: encodePage(topic, from)};
	};

	const readNewestPage = (query: URLSearchParams): StandInResponse => {
		const topic = getTopic(query.get('topic') ?? '');
		const after = query.get('depends_on') ?? '';
		const keys = [...topic.newestByKey.keys()].filter(key => key > after).toSorted();
		const items = keys.slice(0, maxPageItems).map(key => {
			const {value, offset} = topic.newestByKey.get(key)!;
			return {key, value: Buffer.from(value).toString('base64'), offset};
		});
		return jsonResponse(status.ok, {items, has_more: keys.length > maxPageItems, end: topic.first + topic.records.length});
	};

	const handle = async ({path, query, body}: StandInRequest): Promise<StandInResponse> => {
		requestCounts.set(path, (requestCounts.get(path) ?? 0) + 1);
		const name = query.get('topic') ?? '';
		switch (path) {
			case '/api/log-append': {
				if (readOnlyTopics.has(name)) {
					return jsonResponse(status.forbidden, {});
				}

				const topic = getTopic(name);
				const end = topic.first + topic.records.length;
				const at = query.get('at');
				if (at !== null && Number(at) !== end) {
					return jsonResponse(status.conflict, {end});
				}

				append(name, splitRecords(body));
				return jsonResponse(status.ok, {offset: end, end: topic.first + topic.records.length});
			}

			case '/api/log-read': {
				return readPage(query);
			}

			case '/api/log-newest': {
				return readNewestPage(query);
			}

			default: {
				return jsonResponse(status.notFound, {});
			}
		}
	};

	const server = await startStandInServer(handle, at);
	return {
		...server,
		requestCounts,
		openEntrance: async () => startStandInServer(handle),
		write(name, key, value) {
			append(name, [Buffer.concat([Buffer.from([Buffer.byteLength(key)]), Buffer.from(key), Buffer.from(value)])]);
		},
		dropRecords(name) {
			const topic = getTopic(name);
			topic.first += topic.records.length;
			topic.records = [];
		},
		readNewest(name, key) {
			const found = getTopic(name).newestByKey.get(key);
			return found === undefined ? undefined : Buffer.from(found.value).toString('utf8');
		},
	};
};
