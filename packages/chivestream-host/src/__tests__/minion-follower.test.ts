import {Buffer} from 'node:buffer';
import {
	afterEach, expect, test,
} from '@jest/globals';
import {type KeyedRecord, type StoreClient, type TopicChanges} from 'chivestream-platform';
import {Failure, failureCode} from 'chivestream-core';
import {Err, Ok, type Result} from 'ts-results-es';
import {until} from '../__fixtures__/site.js';
import {MinionFollower} from '../minion-follower.js';

const entry = {
	service: 'desk', address: '10.1.0.1:80', zone: 'z', state: 'ready', capacity: {cpu: 32_000}, labels: ['a'], born: 1_760_000_000_000,
};

const record = (key: string, value: unknown): KeyedRecord => ({key, value: Buffer.from(JSON.stringify(value))});

let controller = new AbortController();

afterEach(() => {
	controller.abort();
	controller = new AbortController();
});

/** Follows a store whose reads of changes return these results in turn, and after that no records. */
const follow = (snapshot: () => KeyedRecord[], changes: Array<Result<TopicChanges, Failure>>) => {
	const events: Array<{event: string; fields: Record<string, unknown>}> = [];
	const counts = {snapshots: 0, reads: 0};
	const store: StoreClient = {
		async readSnapshot() {
			counts.snapshots += 1;
			return new Ok({records: snapshot(), end: 0});
		},
		async readChanges(_, offset) {
			counts.reads += 1;
			return changes.shift() ?? new Ok({records: [], end: offset});
		},
		writeRecord: async () => Ok.EMPTY,
		async close() {
			// Nothing is open.
		},
	};
	const follower = new MinionFollower({
		store,
		report(event, fields = {}) {
			events.push({event, fields});
		},
		lastStoreFailureAt: () => Number.NEGATIVE_INFINITY,
		now: () => performance.now(),
		onChange() {
			// The table is of interest.
		},
		onRead() {
			// Not of interest.
		},
	});
	void follower.follow(controller.signal, true);
	return {
		follower, counts, events, refusals: () => events.filter(({event}) => event === 'minion-refused').map(({fields}) => fields),
	};
};

test('an odd entry is logged once until something else is wrong with it, and names no minion', async () => {
	const odd = (sequence: number) => record('i-odd', {...entry, sequence, capacity: {cpu: 1e300}});
	const {follower, counts, refusals} = follow(() => [record('i-1', entry), odd(1)], [
		new Ok({records: [odd(2), odd(3)], end: 2}),
		new Ok({records: [record('i-odd', {...entry, address: 'nowhere'}), record('i-2', entry)], end: 4}),
	]);
	await until(() => counts.reads > 2);
	expect(refusals()).toEqual([
		{key: 'i-odd', reason: expect.stringMatching(/capacity\.cpu/v)},
		{key: 'i-odd', reason: expect.stringMatching(/address/v)},
	]);
	expect([...follower.table.keys()]).toEqual(['i-1', 'i-2']);
});

test('a key that no header can carry is logged without its odd characters', async () => {
	const {counts, refusals} = follow(() => [record(`i\n${'x'.repeat(200)}`, entry)], []);
	await until(() => counts.reads > 0);
	expect(refusals()).toEqual([{key: `i?${'x'.repeat(62)}`, reason: expect.any(String)}]);
});

test('an entry that was born in the future names no minion, and its successor is used', async () => {
	const {follower, counts, refusals} = follow(() => [record('i-1', {...entry, born: Date.now() + 86_400_000})], [
		new Ok({records: [], end: 0}),
		new Ok({records: [record('i-1', entry)], end: 1}),
	]);
	await until(() => counts.reads > 0);
	expect(refusals()).toEqual([{key: 'i-1', reason: expect.stringMatching(/born/v)}]);
	expect(follower.table.size).toBe(0);
	await until(() => counts.reads > 2);
	expect(follower.table.get('i-1')?.bornAt).toBe(entry.born);
});

test('after a page that cannot be decoded the whole list is read again', async () => {
	let records = [record('i-1', entry)];
	const {follower, counts} = follow(() => records, [
		new Err(new Failure(failureCode.protocolError, 'truncated', {step: 'read', peer: 'store'})),
	]);
	await until(() => counts.reads > 0);
	records = [record('i-1', entry), record('i-2', entry)];
	await until(() => counts.reads > 1);
	expect(counts.snapshots).toBe(2);
	expect([...follower.table.keys()]).toEqual(['i-1', 'i-2']);
});
