/** The operators' service: invalid requests, authorization, and the export of histories. */
import {
	afterEach, beforeEach, describe, expect, test,
} from '@jest/globals';
import {request} from 'undici';
import {type ListeningService, startService, testToken} from '../../__fixtures__/command-line.js';
import {createFakeDeployment, type FakeDeployment} from '../../__fixtures__/fake-source.js';

let fake: FakeDeployment;
let service: ListeningService;

beforeEach(async () => {
	fake = createFakeDeployment([
		{
			host: 'a-1', zone: 'a', version: 0, jobs: [],
		},
		{
			host: 'b-1', zone: 'b', version: 0, jobs: [],
		},
	]);
	service = await startService(fake.source, {maxBodyBytes: 1000});
});

afterEach(async () => service.close());

const send = async (path: string, body?: string, token = testToken) => {
	const reply = await request(new URL(path, service.url), {
		method: body === undefined ? 'GET' : 'POST', headers: {authorization: `Bearer ${token}`}, body,
	});
	return {status: reply.statusCode, answer: await reply.body.json()};
};

describe('createOperatorService', () => {
	test.each([
		['{', 400, 'bad-request'],
		['{"statement": 7}', 400, 'bad-request'],
		['{"statement": "jobs", "more": 1}', 400, 'bad-request'],
		['{"statement": "apply x"}', 400, 'bad-request'],
		[JSON.stringify({statement: 'x'.repeat(2000)}), 413, 'too-large'],
	])('answers %s with a status and a code', async (body, status, code) => {
		await expect(send('/v1/statements', body)).resolves.toMatchObject({status, answer: {kind: 'error', code}});
	});

	test('answers a faulty statement with the position of the fault', async () => {
		await expect(send('/v1/statements', '{"statement": "jobs where x = 1"}')).resolves.toMatchObject({
			status: 400, answer: {kind: 'fault', place: {start: 11, end: 12}},
		});
	});

	test('refuses requests without the token', async () => {
		const unauthorized = {status: 401, answer: {code: 'unauthorized'}};
		await expect(send('/v1/statements', '{"statement": "jobs"}', '')).resolves.toMatchObject(unauthorized);
		await expect(send('/v1/histograms', undefined, `${testToken}x`)).resolves.toMatchObject(unauthorized);
		await expect(send('/nothing')).resolves.toMatchObject({status: 404});
	});

	test('answers not-ready while it has no configuration', async () => {
		fake.source.configuration = () => undefined;
		await expect(send('/v1/statements', '{"statement": "drain m-1"}')).resolves.toMatchObject({status: 503, answer: {code: 'not-ready'}});
	});

	test('exports the recorded histories of all hosts and lists the missing hosts', async () => {
		fake.hosts[1]!.cut = 'no route to host';
		await expect(send('/v1/histograms')).resolves.toMatchObject({
			status: 200, answer: {hosts: [{host: 'a-1'}], missing: [{host: 'b-1', zone: 'b', reason: 'no route to host'}]},
		});
		await expect(send('/v1/histograms?scope=host')).resolves.toMatchObject({answer: {hosts: [{host: 'a-1'}], missing: []}});
	});
});
