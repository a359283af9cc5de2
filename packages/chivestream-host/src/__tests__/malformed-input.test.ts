import {
	afterEach, describe, expect, test,
} from '@jest/globals';
import fc from 'fast-check';
import {request} from 'undici';
import {startSite, until, type TestSite} from '../__fixtures__/site.js';
import {type PeerRequest} from '../messages.js';
import {openStream} from '../peer-service.js';

let site: TestSite | undefined;

afterEach(async () => {
	await site?.close();
	site = undefined;
});

const start = async (hosts: number, minions: number): Promise<TestSite> => {
	site = await startSite(hosts, minions);
	await site.untilReady();
	return site;
};

const jobId = (number: number): string => number.toString(16).padStart(16, '0');

const expectServing = async (testSite: TestSite, id: number) => {
	expect(await testSite.submit(0, {id: jobId(id), count: 2, workMs: 5})).toMatchObject({status: 200, body: {state: 'completed'}});
};

const post = async (testSite: TestSite, body: string): Promise<number> => {
	const response = await request(`http://${testSite.hosts[0]!.settings.listen.callers}/read/${jobId(99)}`, {
		method: 'POST', headers: {host: 'lens.example'}, body, reset: true,
	});
	await response.body.dump();
	return response.statusCode;
};

describe('a request of a caller', () => {
	test.each<[string, string, number]>([
		['with a body over the limit', 'x'.repeat(300_000), 413],
		['that is not JSON', '{"steps":', 400],
		['with a step that depends on itself', '{"best_effort":true,"steps":[{"count":1,"depends_on":[0]}]}', 400],
		['with a task duration that is negative', '{"best_effort":true,"steps":[{"count":1,"estimate_ms":-1}]}', 400],
		['with more tasks than a process can hold', '{"best_effort":true,"steps":[{"count":2000000000}]}', 503],
		['with more tasks than a process can hold in many steps', `{"best_effort":true,"steps":[${Array.from({length: 2000}, () => '{"count":4000}').join(',')}]}`, 503],
	])('%s is refused, and the host goes on', async (_, body, status) => {
		const testSite = await start(1, 2);
		expect(await post(testSite, body)).toBe(status);
		await expectServing(testSite, 1);
	});
});

test('a job whose times no message can carry costs no other job of its host', async () => {
	const testSite = await start(2, 2);
	const dispatcher = await testSite.dispatcherIndex();
	const other = 1 - dispatcher;
	await until(() => testSite.hosts[other]!.host.isReady());
	const inProgress = testSite.submit(other, {id: jobId(1), count: 1, workMs: 1500});
	await until(() => testSite.minions.some(minion => minion.runningTasks().length > 0));
	const response = await request(`http://${testSite.hosts[other]!.settings.listen.callers}/read/${jobId(2)}`, {
		method: 'POST', headers: {host: 'lens.example'}, body: '{"best_effort":true,"steps":[{"estimate_ms":1e308},{"estimate_ms":1e308,"depends_on":[0]}]}', reset: true,
	});
	await response.body.dump();
	expect(await inProgress).toMatchObject({status: 200, body: {state: 'completed'}});
	expect(testSite.eventCounts.get('peer-message-invalid')).toBeUndefined();
	expect(testSite.eventCounts.get('dispatcher-lost')).toBeUndefined();
	expect(response.statusCode).toBe(400);
});

describe('a message of another host', () => {
	const types = ['hello', 'status', 'submit', 'cancel', 'settled', 'cancel-job', 'cancel-job-answer', 'none'];
	const message = fc.record({
		type: fc.constantFrom(...types),
		host: fc.oneof(fc.constant(null), fc.jsonValue(), fc.constant({
			name: 'x', zone: 'z', address: 'nowhere', bornAt: 1, cpuShare: 1,
		})),
		status: fc.oneof(fc.jsonValue(), fc.constant({claims: [{cell: 0, token: 1, freeTasks: 1}], cellCount: 1})),
		job: fc.oneof(fc.jsonValue(), fc.constant({id: jobId(7), cell: 'z/1 of 1', steps: [null]})),
		id: fc.jsonValue(),
		request: fc.jsonValue(),
		finding: fc.jsonValue(),
	}, {requiredKeys: ['type']});

	test('of any shape costs its stream, not the process', async () => {
		const testSite = await start(1, 2);
		const {peers} = testSite.hosts[0]!.settings.listen;
		const malformed = fc.sample(fc.oneof(message, fc.jsonValue().filter(value => value !== null)), {numRuns: 200, seed: 11});
		for (const shape of malformed) {
			const {stream, close} = openStream(peers);
			stream.on('error', () => {
				// The host ends the stream of a malformed message.
			});
			// Any JSON value can arrive from another build.
			// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
			stream.write(shape as PeerRequest);
			setTimeout(close, 200);
		}

		await new Promise(resolve => {
			setTimeout(resolve, 600);
		});
		await expectServing(testSite, 2);
	});
});

describe('a record of the store', () => {
	test.each([
		['an address with a port out of range', /"address":"[^"]*"/v, '"address":"127.0.0.1:99999"'],
		['an address without a port', /"address":"[^"]*"/v, '"address":"somewhere"'],
		['a capacity below zero', /"cpu":\d+/v, '"cpu":-5'],
	])('of a minion with %s is not used', async (_, field, replacement) => {
		const testSite = await start(1, 2);
		const entry = testSite.minions[0]!.createRegistryEntry();
		const broken = entry.replace(field, replacement);
		expect(broken).not.toBe(entry);
		testSite.store.write('keyed.servers', 'i-broken', broken);
		testSite.declare(2, ['/read/', '/tag/']);
		await until(async () => {
			const {status} = await testSite.get(0, '/tag/');
			return status === 200;
		});
		await new Promise(resolve => {
			setTimeout(resolve, 1500);
		});
		await expectServing(testSite, 3);
	});
});
