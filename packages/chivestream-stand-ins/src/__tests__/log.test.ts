import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {startLogStandIn, type LogStandIn} from '../log.js';
import {bodyOf, call, statusOf} from './http.js';

let log: LogStandIn;

beforeEach(async () => {
	log = await startLogStandIn({maxRecords: 3});
});

afterEach(async () => {
	await log.close();
});

const append = async (payload: unknown, signal?: AbortSignal) =>
	call(log.address, 'POST', '/streams/news/records', {payload, signal});

const read = async (query: string) => call(log.address, 'GET', `/streams/news/records?${query}`);

const valuesOf = (records: unknown): unknown[] => Array.isArray(records) ? records.map((record: {value: unknown}) => record.value) : [];

test('appends get consecutive offsets and are read back', async () => {
	expect(await append('a')).toMatchObject({status: 201, body: {offset: 0}});
	expect(await append({b: 1})).toMatchObject({status: 201, body: {offset: 1}});
	const {body} = await read('from=1');
	expect(body).toMatchObject({records: [{offset: 1, value: {b: 1}}], first: 0, next: 2});
});

test('a read from below the first retained offset answers from there on', async () => {
	for (const value of [0, 1, 2, 3, 4]) {
		log.append('news', value);
	}

	const {body} = await read('from=0&limit=2');
	expect(valuesOf(body.records)).toEqual([2, 3]);
	expect(body).toMatchObject({first: 2, next: 5});
});

test('records past their age are gone while offsets go on', async () => {
	log.append('news', 'old');
	log.setFaults({maxAgeMs: -1});
	expect(log.records('news')).toEqual([]);
	log.setFaults({maxAgeMs: 60_000});
	expect(log.append('news', 'new')).toBe(1);
	expect(await bodyOf(read('from=0'))).toMatchObject({first: 1, next: 2});
});

test('a long poll is answered by the append that it waits for', async () => {
	const pending = read('from=0&waitMs=20000');
	log.append('news', 'late');
	expect(await bodyOf(pending)).toMatchObject({records: [{value: 'late'}]});
});

test('a long poll without news ends with an empty page', async () => {
	expect(await bodyOf(read('from=0&waitMs=5'))).toEqual({records: [], first: 0, next: 0});
});

test('an append can take effect although its answer is lost', async () => {
	log.setFaults({lostAnswers: 1});
	await expect(append('kept')).rejects.toThrow();
	expect(valuesOf(log.records('news'))).toEqual(['kept']);
	expect(await statusOf(append('next'))).toBe(201);
});

test('an outage ends the reads that wait', async () => {
	const pending = read('from=0&waitMs=20000');
	log.setFaults({outage: '503'});
	expect(await statusOf(pending)).toBe(503);
});

test('faults are set over HTTP and checked', async () => {
	const set = async (payload: unknown) => statusOf(call(log.address, 'POST', '/faults', {payload}));

	expect(await set({outage: 'sometimes'})).toBe(400);
	expect(await set({outage: '503'})).toBe(200);
	expect(await statusOf(append('x'))).toBe(503);
	expect(await set({outage: 'drop'})).toBe(200);
	await expect(append('x')).rejects.toThrow();
	expect(await set({outage: 'hang'})).toBe(200);
	await expect(append('x', AbortSignal.timeout(50))).rejects.toThrow();
	expect(log.appends()).toBe(0);
});
