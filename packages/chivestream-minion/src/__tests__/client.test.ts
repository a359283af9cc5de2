import {createServer, type RequestListener, type Server} from 'node:http';
import {createServer as createTcpServer} from 'node:net';
import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {attemptOutcome, boundAddress, type AttemptResult} from 'chivestream-core';
import {createMinionClient, type MinionClient} from '../index.js';

let client: MinionClient;
let server: Server | undefined;

const listen = async (listener: RequestListener): Promise<string> => {
	const started = createServer(listener);
	server = started;
	await new Promise<void>(resolve => {
		started.listen(0, '127.0.0.1', resolve);
	});
	return boundAddress(started);
};

const run = async (address: string, signal = new AbortController().signal): Promise<AttemptResult> => client.run({
	identity: {key: 'k', taskIndex: 3, attempt: 1},
	address,
	minionId: 'm1',
	payload: {box: 1},
	declaredMs: 50,
	notStartedStatuses: [503],
	signal,
});

beforeEach(() => {
	client = createMinionClient();
});

afterEach(async () => {
	server?.closeAllConnections();
	server?.close();
	server = undefined;
	await client.close();
});

test('an answer with the matching attempt is the result', async () => {
	const address = await listen((request, response) => {
		response.setHeader('chivestream-attempt', String(request.headers['chivestream-attempt']));
		response.end('{"ok":true}');
	});
	expect(await run(address)).toEqual({outcome: attemptOutcome.answered, isSuccess: true, result: {ok: true}});
});

test('an answer that belongs to another attempt is dropped', async () => {
	const address = await listen((_request, response) => {
		response.setHeader('chivestream-attempt', 'other/0/1');
		response.end('{"ok":true}');
	});
	const result = await run(address);
	expect(result.outcome).toBe(attemptOutcome.unknown);
});

test('a status that says so means not started; any other error means ran and failed', async () => {
	let status = 503;
	const address = await listen((request, response) => {
		response.setHeader('chivestream-attempt', String(request.headers['chivestream-attempt']));
		response.statusCode = status;
		response.end('{}');
	});
	expect(await run(address)).toMatchObject({outcome: attemptOutcome.notStarted});
	status = 500;
	expect(await run(address)).toMatchObject({outcome: attemptOutcome.answered, isSuccess: false});
});

test('a refused connection means not started', async () => {
	const reserved = createTcpServer();
	await new Promise<void>(resolve => {
		reserved.listen(0, '127.0.0.1', resolve);
	});
	const address = boundAddress(reserved);
	await new Promise(resolve => {
		reserved.close(resolve);
	});
	expect(await run(address)).toMatchObject({outcome: attemptOutcome.notStarted});
});

test('a connection closed after the request was written is unknown, and nothing is sent again', async () => {
	let starts = 0;
	const address = await listen(request => {
		starts += 1;
		request.socket.destroy();
	});
	expect(await run(address)).toMatchObject({outcome: attemptOutcome.unknown});
	expect(starts).toBe(1);
});

test('an attempt aborted before it is written is not started; one aborted later is unknown', async () => {
	const controller = new AbortController();
	const address = await listen(() => {
		controller.abort(new Error('deadline'));
	});
	expect(await run(address, AbortSignal.abort(new Error('cancelled')))).toMatchObject({outcome: attemptOutcome.notStarted});
	expect(await run(address, controller.signal)).toMatchObject({outcome: attemptOutcome.unknown});
});

test('as many tasks run at once as the minion has slots', async () => {
	const slots = 12;
	let running = 0;
	const release: Array<() => void> = [];
	const address = await listen((request, response) => {
		running += 1;
		release.push(() => {
			response.setHeader('chivestream-attempt', String(request.headers['chivestream-attempt']));
			response.end('{}');
		});
		if (running === slots) {
			for (const finish of release) {
				finish();
			}
		}
	});
	await client.declare([{address, slots}]);
	const results = await Promise.all(Array.from({length: slots}, async () => run(address)));
	expect(results.every(({outcome}) => outcome === attemptOutcome.answered)).toBe(true);
	expect(running).toBe(slots);
});
