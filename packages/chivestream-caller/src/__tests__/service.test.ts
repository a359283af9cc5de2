import {connect} from 'node:net';
import {Readable} from 'node:stream';
import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {splitAddress, type Job, type KeyStatus} from 'chivestream-core';
import {request} from 'undici';
import {startCallerService, type CallerService} from '../index.js';

const maxBodyBytes = 20_000;

let service: CallerService;
let submitted: Job[];
let status: KeyStatus;
let finishSubmission: (() => void) | undefined;
let isReady: boolean;
let arrival: Promise<void>;
let onArrival: () => void;

beforeEach(async () => {
	arrival = new Promise(resolve => {
		onArrival = resolve;
	});
	submitted = [];
	status = {kind: 'unknown'};
	finishSubmission = undefined;
	isReady = true;
	service = await startCallerService({
		async submit(job) {
			submitted.push(job);
			if (job.team === 'slow') {
				await new Promise<void>(resolve => {
					finishSubmission = resolve;
					onArrival();
				});
			}

			return {key: job.key, state: 'complete', results: job.tasks.map(({payload}) => payload)};
		},
		fetch: async () => status,
		cancel: async () => status,
		homeToken: () => isReady ? 'h~host~run~0' : undefined,
		isReady: () => isReady,
		configurationVersion: () => 7,
		reachVersion: async version => version <= 7,
		metrics: async () => 'up 1\n',
	}, {
		host: '127.0.0.1', port: 0, maxBodyBytes, requestTimeoutMs: 300, keepAliveTimeoutMs: 1000, maxConnections: 50, now: Date.now,
	});
});

afterEach(async () => {
	finishSubmission?.();
	await service.close();
});

const createJob = (overrides: Record<string, unknown> = {}) => ({
	key: 'h~host~run~0~a', team: 'day-a', upstream: 'lens', isIdempotent: true, deadline: 1_790_000_000_000, tasks: [{payload: 1}], ...overrides,
});

const postJob = async (body: string) => {
	const response = await request(`http://${service.address}/v1/jobs`, {method: 'POST', body, headers: {'content-type': 'application/json'}});
	return {status: response.statusCode, headers: response.headers, body: await response.body.json()};
};

test('a job reaches the handler unchanged, and the response carries the home token', async () => {
	const answer = await postJob(JSON.stringify(createJob()));
	expect(answer).toMatchObject({status: 200, body: {state: 'complete', results: [1]}});
	expect(answer.headers['chivestream-home']).toBe('h~host~run~0');
	expect(submitted).toEqual([createJob()]);
});

test('a request with a configuration version receives the version in force, or is refused by a host that is behind', async () => {
	const submitWithVersion = async (version: string) => request(`http://${service.address}/v1/jobs`, {
		method: 'POST', body: JSON.stringify(createJob()), headers: {'chivestream-configuration': version},
	});
	const served = await submitWithVersion('7');
	expect(served.headers['chivestream-configuration']).toBe('7');
	await served.body.dump();
	const refused = await submitWithVersion('8');
	expect(refused.statusCode).toBe(503);
	expect(await refused.body.json()).toMatchObject({failure: {code: 'not-ready', notRun: false}});
	expect(submitted).toHaveLength(1);
});

test.each([
	['a body that is not JSON', '{"key":', 'not JSON'],
	['a body that is not an object', '[]', 'the body'],
	['a job without tasks', JSON.stringify(createJob({tasks: []})), 'tasks: give at least one task'],
	['a job of 181 tasks', JSON.stringify(createJob({tasks: Array.from({length: 181}, () => ({payload: 0}))})), 'tasks: split the job'],
	['a deadline that is not a number', JSON.stringify(createJob({deadline: 'soon'})), 'deadline: give milliseconds'],
	['a key with a space', JSON.stringify(createJob({key: 'a b'})), 'key: use 1 to 200'],
	['an unknown field', JSON.stringify(createJob({deadlin: 5})), 'deadlin'],
	['an invalid task', JSON.stringify(createJob({tasks: [{payload: 0, declaredMs: -1}]})), 'tasks.0.declaredMs'],
])('%s is refused as not run, and the message names the field', async (_name, body, message) => {
	const answer = await postJob(body);
	expect(answer).toMatchObject({status: 400, body: {state: 'failed', failure: {code: 'bad-request', notRun: true}}});
	expect(JSON.stringify(answer.body)).toContain(message);
	expect(submitted).toEqual([]);
});

test('one failure lists all invalid fields', async () => {
	const {body} = await postJob(JSON.stringify(createJob({deadline: 0, team: '', isIdempotent: 'yes'})));
	const text = JSON.stringify(body);
	for (const field of ['deadline', 'team', 'isIdempotent']) {
		expect(text).toContain(`${field}:`);
	}
});

test('a body above the size limit is refused with and without a content-length header', async () => {
	const body = JSON.stringify(createJob({tasks: [{payload: 'x'.repeat(maxBodyBytes)}]}));
	expect(await postJob(body)).toMatchObject({status: 413, body: {failure: {code: 'too-large', notRun: true}}});

	const endlessBody = async function * () {
		for (let part = 0; part < 1000; part += 1) {
			yield 'x'.repeat(1000);
		}
	};

	const response = await request(`http://${service.address}/v1/jobs`, {method: 'POST', body: Readable.from(endlessBody())}).catch(() => undefined);
	expect(response?.statusCode ?? 413).toBe(413);
	await response?.body.dump().catch(() => undefined);
	expect(submitted).toEqual([]);
});

test('a connection with an incomplete request is closed after the request timeout', async () => {
	const {host, port} = splitAddress(service.address);
	const socket = connect(port, host);
	socket.write('POST /v1/jobs HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n{');
	let received = '';
	socket.on('data', chunk => {
		received += String(chunk);
	});
	await new Promise(resolve => {
		socket.on('close', resolve);
	});
	expect(received).toMatch(/408|400/v);
	expect(submitted).toEqual([]);
});

test('the HTTP status of a key depends on whether it is unknown, running or answered', async () => {
	const fetchStatusCode = async () => {
		const response = await request(`http://${service.address}/v1/jobs/some-key`);
		await response.body.dump();
		return response.statusCode;
	};

	expect(await fetchStatusCode()).toBe(404);
	status = {kind: 'running'};
	expect(await fetchStatusCode()).toBe(202);
	status = {kind: 'answered', answer: {key: 'some-key', state: 'complete', results: []}};
	expect(await fetchStatusCode()).toBe(200);
});

test('a closing service answers the requests in progress first', async () => {
	const answer = postJob(JSON.stringify(createJob({team: 'slow'})));
	await arrival;
	const closed = service.close();
	finishSubmission?.();
	expect(await answer).toMatchObject({status: 200, body: {state: 'complete'}});
	await closed;
});

test('a host that is not ready responds with 503 and without a home token', async () => {
	isReady = false;
	const ready = await request(`http://${service.address}/readyz`);
	expect(ready.statusCode).toBe(503);
	expect(ready.headers['chivestream-home']).toBeUndefined();
	await ready.body.dump();
	const home = await request(`http://${service.address}/v1/home`);
	expect(home.statusCode).toBe(503);
	await home.body.dump();
});
