/* eslint-disable camelcase -- names of the platform's protocol */
/** Stand-in for the platform's store: a log with topics, of which this system reads and writes keyed ones with one partition. */
import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {listen} from './http.js';

const lengthBytes = 4;
const answerMs = 4;
const readOnlyTopics = new Set(['keyed.op', 'keyed.servers']);

const encodeRecords = records => Buffer.concat(records.flatMap(record => {
	const length = Buffer.alloc(lengthBytes);
	length.writeUInt32BE(record.length);
	return [length, record];
}));

const splitRecords = body => {
	const records = [];
	let position = 0;
	while (position < body.length) {
		const length = body.readUInt32BE(position);
		records.push(body.subarray(position + lengthBytes, position + lengthBytes + length));
		position += lengthBytes + length;
	}

	return records;
};

/** Starts a store. Each call of `openDoor` listens at one more address, whose callers can be turned away with its `setBusy`. */
export const createStore = () => {
	const topics = new Map();
	const doors = [];

	const getTopic = name => {
		const topic = topics.get(name) ?? {records: [], newest: new Map(), waiters: new Set()};
		topics.set(name, topic);
		return topic;
	};

	const append = (name, records) => {
		const topic = getTopic(name);
		for (const record of records) {
			const keyLength = record[0];
			const key = record.subarray(1, 1 + keyLength).toString('utf8');
			const value = record.subarray(1 + keyLength);
			if (value.length === 0) {
				topic.newest.delete(key);
			} else {
				topic.newest.set(key, {value, offset: topic.records.length});
			}

			topic.records.push(record);
		}

		for (const wake of topic.waiters) {
			wake();
		}
	};

	const handle = async ({path, query, body}) => {
		await sleep(answerMs);
		const name = query.get('topic') ?? '';
		const topic = getTopic(name);
		if (path === '/api/log-append') {
			if (readOnlyTopics.has(name)) {
				return {status: 403};
			}

			const offset = topic.records.length;
			append(name, splitRecords(body));
			return {status: 200, body: {offset, end: topic.records.length}};
		}

		if (path === '/api/log-newest') {
			const items = [...topic.newest].map(([key, {value, offset}]) => ({key, value: value.toString('base64'), offset}));
			return {status: 200, body: {items, has_more: false, end: topic.records.length}};
		}

		if (path === '/api/log-read') {
			const from = Number(query.get('from'));
			const waitMs = Number(query.get('wait_ms') ?? 0);
			if (from >= topic.records.length && waitMs > 0) {
				await new Promise(resolve => {
					const finish = () => {
						clearTimeout(timer);
						topic.waiters.delete(finish);
						resolve();
					};

					const timer = setTimeout(finish, waitMs);
					topic.waiters.add(finish);
				});
			}

			const header = Buffer.alloc(16);
			header.writeBigUInt64BE(BigInt(topic.records.length), 0);
			return {status: 200, body: Buffer.concat([header, encodeRecords(topic.records.slice(from))])};
		}

		return {status: 404};
	};

	return {
		/** Writes a record as the operator or a minion; an empty value drops the key. */
		write(name, key, value) {
			append(name, [Buffer.concat([Buffer.from([Buffer.byteLength(key)]), Buffer.from(key), Buffer.from(value)])]);
		},
		async openDoor(ip, port) {
			let isBusy = false;
			const server = await listen(ip, port, async request => isBusy ? {status: 503} : handle(request));
			doors.push(server);
			return {
				address: server.address,
				/** Turns the callers of this address away, as the store does with some machines while it serves the others. */
				setBusy(value) {
					isBusy = value;
				},
			};
		},
		async close() {
			await Promise.all(doors.map(async door => door.close()));
		},
	};
};
