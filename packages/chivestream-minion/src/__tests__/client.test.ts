import {createServer, type RequestListener, type Server} from 'node:http';
import {createServer as createTcpServer} from 'node:net';
import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {attemptOutcome, boundAddress, type AttemptResult} from 'chivestream-core';
import {createMinionClient, type MinionClient} from '../index.js';

let client: MinionClient;
let server: Server | undefined;

const startServer = async (listener: RequestListener): Promise<string> => {
	const createdServer = createServer(listener);
	server = createdServer;
	await new Promise<void>(resolve => {
		createdServer.listen(0, '127.0.0.1', resolve);
	});
	return boundAddress(createdServer);
};

const runAttempt = async (address: string, signal = new AbortController().signal): Promise<AttemptResult> => client.run({
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

test('a response with the header of the attempt is its result', async () => {
	const address = await startServer((request, response) => {
		response.setHeader('chivestream-attempt', String(request.headers['chivestream-attempt']));
		response.end('{"ok":true}');
	});
	expect(await runAttempt(address)).toEqual({outcome: attemptOutcome.answered, isSuccess: true, result: {ok: true}});
});

test('a response that belongs to another attempt makes the outcome unknown', async () => {
	const address = await startServer((_request, response) => {
		response.setHeader('chivestream-attempt', 'other/0/1');
		response.end('{"ok":true}');
	});
	const result = await runAttempt(address);
	expect(result.outcome).toBe(attemptOutcome.unknown);
});

test('a not-started status means that the task did not start; any other error status means that it ran and failed', async () => {
	let status = 503;
	const address = await startServer((request, response) => {
		response.setHeader('chivestream-attempt', String(request.headers['chivestream-attempt']));
		response.statusCode = status;
		response.end('{}');
	});
	expect(await runAttempt(address)).toMatchObject({outcome: attemptOutcome.notStarted});
	status = 500;
	expect(await runAttempt(address)).toMatchObject({outcome: attemptOutcome.answered, isSuccess: false});
});

test('a refused connection means that the task did not start', async () => {
	const reserved = createTcpServer();
	await new Promise<void>(resolve => {
		reserved.listen(0, '127.0.0.1', resolve);
	});
	const address = boundAddress(reserved);
	await new Promise(resolve => {
		reserved.close(resolve);
	});
	expect(await runAttempt(address)).toMatchObject({outcome: attemptOutcome.notStarted});
});

test('a connection closed after the request was written makes the outcome unknown, and the request is not resent', async () => {
	let starts = 0;
	const address = await startServer(request => {
		starts += 1;
		request.socket.destroy();
	});
	expect(await runAttempt(address)).toMatchObject({outcome: attemptOutcome.unknown});
	expect(starts).toBe(1);
});

test('an attempt aborted before it is written did not start; the outcome of one aborted later is unknown', async () => {
	const controller = new AbortController();
	const address = await startServer(() => {
		controller.abort(new Error('deadline'));
	});
	expect(await runAttempt(address, AbortSignal.abort(new Error('cancelled')))).toMatchObject({outcome: attemptOutcome.notStarted});
	expect(await runAttempt(address, controller.signal)).toMatchObject({outcome: attemptOutcome.unknown});
});

test('as many tasks run concurrently as the minion has slots', async () => {
	const slots = 12;
	let running = 0;
	const sendAnswers: Array<() => void> = [];
	const address = await startServer((request, response) => {
		running += 1;
		sendAnswers.push(() => {
			response.setHeader('chivestream-attempt', String(request.headers['chivestream-attempt']));
			response.end('{}');
		});
		if (running === slots) {
			for (const sendAnswer of sendAnswers) {
				sendAnswer();
			}
		}
	});
	await client.setDeclaredMinions([{address, slots}]);
	const results = await Promise.all(Array.from({length: slots}, async () => runAttempt(address)));
	expect(results.every(({outcome}) => outcome === attemptOutcome.answered)).toBe(true);
	expect(running).toBe(slots);
});
