import {afterEach, expect, test} from '@jest/globals';
import {failureCode} from 'chivestream-core';
import {type CannedAnswer, startCannedServer} from '../__fixtures__/canned-server.js';
import {createHostList, createLog} from '../index.js';

const closers: Array<() => Promise<void>> = [];

const startServer = async (answer: CannedAnswer) => {
	const server = await startCannedServer(() => answer);
	closers.push(server.close);
	return server;
};

const openLog = (urls: string[], requestTimeoutMs = 5000) => {
	const log = createLog({urls, requestTimeoutMs});
	closers.push(log.close);
	return log.stream('configuration');
};

afterEach(async () => {
	for (const close of closers.splice(0).toReversed()) {
		// eslint-disable-next-line no-await-in-loop
		await close();
	}
});

test('append sends the value and returns the offset', async () => {
	const server = await startServer({status: 201, body: '{"offset":7}'});
	const result = await openLog([server.url]).append({a: 1});
	expect(result.unwrap()).toBe(7);
	expect(server.receivedRequests).toEqual([{method: 'POST', url: '/streams/configuration/records', body: '{"a":1}'}]);
});

test('read requests records from an offset on and returns the page', async () => {
	const body = '{"records":[{"offset":7,"at":5,"value":[1]}],"first":3,"next":8}';
	const server = await startServer({status: 200, body});
	const result = await openLog([server.url]).read({from: 7, limit: 10, waitDeadline: 0});
	expect(result.unwrap()).toEqual({records: [{offset: 7, at: 5, value: [1]}], first: 3, next: 8});
	expect(server.receivedRequests[0]?.url).toBe('/streams/configuration/records?from=7&limit=10&waitMs=0');
});

const badAnswers: Array<[string, CannedAnswer, string]> = [
	['an outage', {status: 503, body: ''}, failureCode.logUnavailable],
	['a refusal', {status: 400, body: 'no'}, failureCode.protocolError],
	['an unexpected schema', {status: 201, body: '{"offset":"x"}'}, failureCode.protocolError],
	['invalid JSON', {status: 201, body: '{'}, failureCode.protocolError],
	['no response', {}, failureCode.timedOut],
];

test.each(badAnswers)('%s results in a failure with its step and peer', async (_name, answer, code) => {
	const server = await startServer(answer);
	const result = await openLog([server.url], 200).append(1);
	const failure = result.unwrapErr();
	expect(failure.code).toBe(code);
	expect(failure.step).toBe('append-to-configuration');
	expect(failure.peer).toBe(new URL(server.url).host);
});

test('after a failure the next request goes to the next server', async () => {
	const down = await startServer({status: 503, body: ''});
	const up = await startServer({status: 201, body: '{"offset":1}'});
	const stream = openLog([down.url, up.url]);
	const first = await stream.append(1);
	const second = await stream.append(1);
	expect([first.isOk(), second.isOk()]).toEqual([false, true]);
});

test('the host list is validated, and a refused connection is a failure', async () => {
	const hosts = [{
		id: 'e1', zone: 'a', address: '127.0.0.1:1', state: 'live',
	}];
	const server = await startServer({status: 200, body: JSON.stringify({hosts})});
	const client = createHostList({url: server.url, requestTimeoutMs: 5000});
	closers.push(client.close);
	const result = await client.list();
	expect(result.unwrap()).toEqual(hosts);
	await server.close();
	closers.shift();
	const refused = await client.list();
	expect(refused.unwrapErr().code).toBe(failureCode.connectionFailed);
});
