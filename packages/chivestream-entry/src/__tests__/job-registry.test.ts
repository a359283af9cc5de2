import {beforeEach, expect, test} from '@jest/globals';
import {type JobAnswer} from 'chivestream-core';
import {createFakeClock, type FakeClock} from 'chivestream-stand-ins';
import {createJob} from '../__fixtures__/router-host.js';
import {createJobRegistry, type JobRecord, type JobRegistry} from '../job-registry.js';

let clock: FakeClock;
let registry: JobRegistry;

beforeEach(() => {
	clock = createFakeClock();
	registry = createJobRegistry({now: clock.now, maxRecords: 3, maxAnswerBytes: 30});
});

const open = (key: string, lengthMs = 1000): JobRecord => {
	const result = registry.open(createJob(clock, key), clock.now() + lengthMs);
	if (result.kind !== 'opened') {
		throw new Error(`${key} was ${result.kind}`);
	}

	return result.record;
};

const complete = (key: string, result: string): JobAnswer => ({key, state: 'complete', results: [result]});

test('a full registry refuses new keys and still joins copies of existing ones', () => {
	for (const key of ['a', 'b', 'c']) {
		open(key);
	}

	expect(registry.open(createJob(clock, 'd'), clock.now() + 1000)).toEqual({kind: 'full'});
	expect(registry.open(createJob(clock, 'a', {createdAt: 5}), clock.now() + 1000)).toMatchObject({kind: 'joined'});
});

test('a sweep drops only the records whose keys have closed, in whatever order they were opened', async () => {
	open('late', 3000).settle(complete('late', 'x'));
	open('early', 1000).settle(complete('early', 'x'));
	await clock.advance(1000);
	registry.sweep();
	expect(registry.get('early')).toBeUndefined();
	expect(registry.get('late')).toBeDefined();
	await clock.advance(2000);
	registry.sweep();
	expect(registry.size()).toBe(0);
	expect(registry.answerBytes()).toBe(0);
});

test('a record without an answer is kept after its key has closed', async () => {
	const record = open('a');
	await clock.advance(5000);
	registry.sweep();
	expect(registry.get('a')).toBe(record);
	record.settle(complete('a', 'x'));
	await clock.advance(0);
	expect(registry.get('a')).toBeUndefined();
});

test('a key that was discarded and opened again is not dropped with its first record', async () => {
	open('a', 1000);
	registry.discard('a');
	open('a', 9000).settle(complete('a', 'x'));
	await clock.advance(2000);
	registry.sweep();
	expect(registry.get('a')).toBeDefined();
});

test('beyond the size limit, the oldest answers are dropped and their keys stay closed', () => {
	open('a').settle(complete('a', 'x'.repeat(20)));
	open('b').settle(complete('b', 'x'.repeat(20)));
	expect(registry.get('a')?.answer).toMatchObject({state: 'failed', failure: {code: 'key-closed', notRun: false, tasks: {completed: 1}}});
	expect(registry.get('b')?.answer).toMatchObject({state: 'complete'});
	expect(registry.answerBytes()).toBeLessThanOrEqual(30);
});

test('only the first answer is kept', async () => {
	const record = open('a');
	record.settle(complete('a', 'first'));
	record.settle(complete('a', 'second'));
	expect(await record.answered).toEqual(complete('a', 'first'));
});

test('keys that close at the same time are dropped over several sweeps', async () => {
	const keys = Array.from({length: 2500}, (_, index) => `k${index}`);
	registry = createJobRegistry({now: clock.now, maxRecords: keys.length, maxAnswerBytes: 1_000_000});
	for (const key of keys) {
		open(key).settle(complete(key, 'x'));
	}

	await clock.advance(1000);
	const sizes = [1, 2, 3].map(() => {
		registry.sweep();
		return registry.size();
	});
	expect(sizes).toEqual([1500, 500, 0]);
});
