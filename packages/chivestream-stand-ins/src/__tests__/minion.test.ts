import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {Pool} from 'undici';
import {startMinionStandIn, type MinionStandIn} from '../minion.js';
import {
	call, statusOf, untilStarted, type CallOptions,
} from './http.js';

let minion: MinionStandIn;

beforeEach(async () => {
	minion = await startMinionStandIn({id: 'm1', slots: 2, speed: 2});
});

afterEach(async () => {
	await minion.close();
});

const send = async (attempt: string, payload: unknown = {}, options: CallOptions = {}) => call(minion.address, 'POST', '/tasks', {
	...options, payload, headers: {'chivestream-attempt': attempt, ...options.headers},
});

test('a task runs, its attempt is echoed and its start counted', async () => {
	const answer = await send('k/0/1', {box: 1, runMs: 2});
	expect(answer).toEqual({status: 200, echo: 'k/0/1', body: {servedBy: 'm1', payload: {box: 1, runMs: 2}}});
	await send('k/0/2', {}, {headers: {'chivestream-declared-ms': '2'}});
	expect(minion.report().starts).toEqual(Object.fromEntries([['k/0', 2]]));
	const {body} = await call(minion.address, 'GET', '/starts');
	expect(body).toMatchObject({
		total: 2, running: 0, mostRunning: 1, requests: 2, refused: 0,
	});
});

test('a request without an attempt is refused', async () => {
	expect(await statusOf(call(minion.address, 'POST', '/tasks', {payload: {}}))).toBe(400);
	expect(minion.report().total).toBe(0);
});

test('tasks beyond the slots are refused before they start', async () => {
	minion.setFaults({fault: 'hang'});
	const hanging = [send('k/0/1'), send('k/1/1')];
	await untilStarted(minion, 2);
	expect(await statusOf(send('k/2/1'))).toBe(503);
	expect(minion.report()).toMatchObject({total: 2, refused: 1, mostRunning: 2});
	await minion.close();
	await Promise.allSettled(hanging);
	minion = await startMinionStandIn();
});

test('a stopping minion refuses new tasks and ends running ones', async () => {
	const running = send('k/0/1', {runMs: 100});
	await untilStarted(minion, 1);
	minion.stop();
	expect(await statusOf(send('k/1/1'))).toBe(503);
	expect(await statusOf(running)).toBe(200);
	minion.resume();
	expect(await statusOf(send('k/1/2'))).toBe(200);
});

test.each([
	['fail', {status: 500, echo: 'k/0/1'}, 1],
	['refuse', {status: 503}, 0],
	['crossed', {status: 200, echo: 'another/0/1'}, 1],
] as const)('the fault %s shapes the answer', async (fault, expected, starts) => {
	minion.setFaults({fault, remaining: 1});
	expect(await send('k/0/1')).toMatchObject(expected);
	expect(minion.report().total).toBe(starts);
	expect(await statusOf(send('k/1/1'))).toBe(200);
});

test.each([
	['drop-before-start', 0],
	['drop-after-start', 1],
] as const)('the fault %s breaks the connection', async (fault, starts) => {
	minion.setFaults({fault, remaining: 1});
	await expect(send('k/0/1', {runMs: 1})).rejects.toThrow();
	expect(minion.report().total).toBe(starts);
});

test('an answer can come twice on its connection', async () => {
	const pool = new Pool(`http://${minion.address}`, {connections: 1});
	minion.setFaults({fault: 'duplicated', remaining: 1});
	expect(await send('k/0/1', {}, {dispatcher: pool})).toMatchObject({status: 200, echo: 'k/0/1'});
	await pool.close();
	expect(minion.report().total).toBe(1);
});

test('connections beyond the limit are refused', async () => {
	const small = await startMinionStandIn({maxConnections: 1});
	const first = new Pool(`http://${small.address}`, {connections: 1});
	const second = new Pool(`http://${small.address}`, {connections: 1});
	await call(small.address, 'GET', '/starts', {dispatcher: first});
	await expect(call(small.address, 'GET', '/starts', {dispatcher: second})).rejects.toThrow();
	await Promise.all([first.destroy(), second.destroy(), small.close()]);
});
