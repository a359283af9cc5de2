import {Worker} from 'node:worker_threads';
import {type AddressInfo} from 'node:net';
import {afterEach, expect, test} from '@jest/globals';
import {outcomeKind, type Outcome} from 'chivestream-dispatch';
import {type Declarations} from 'chivestream-platform';
import {createCallerService, type CallerService} from '../caller-service.js';
import {cancelResult} from '../job-cancellation.js';

const declarations: Declarations = {
	version: 1,
	routes: [{
		name: 'r', host: 'a.example', pathPrefix: '/r/', upstream: 'desk', priority: 0, maxAttempts: 1, stretch: 2, targetLatencyMs: 100, timeoutMs: 1500, needsAdvice: false,
	}],
	maxBodyBytes: 4096,
};

const body = '{"task_spec": "x", "best_effort": true, "steps": [{"count": 1, "cpu": 500, "mem_mb": 1, "estimate_ms": 60}]}';
const request = `POST /r/00000000000000aa HTTP/1.1\r\nHost: a.example\r\nContent-Type: application/json\r\nContent-Length: ${body.length}\r\n\r\n${body}`;

/** Sends the request on its own thread and, if told to, ends the connection after it. Sets the flag once both are in the host's socket. */
const callerCode = `
const {connect} = require('node:net');
const {workerData} = require('node:worker_threads');
const flag = new Int32Array(workerData.flag);
const socket = connect(workerData.port, '127.0.0.1');
socket.on('error', () => undefined);
socket.on('connect', () => {
	socket.write(workerData.request, () => {
		const done = () => setTimeout(() => {
			Atomics.store(flag, 0, 1);
			Atomics.notify(flag, 0);
		}, 50);
		if (workerData.leaves) {
			socket.end(done);
		} else {
			done();
		}
	});
});
`;

let service: CallerService | undefined;
let caller: Worker | undefined;

afterEach(async () => {
	await caller?.terminate();
	service?.server.closeAllConnections();
	service?.server.close();
});

/** Returns the events of a job whose request, with what follows it, was in the socket before the host read it. */
const receiveFromSocket = async (leaves: boolean): Promise<string[]> => {
	const events: string[] = [];
	service = createCallerService({
		now: () => performance.now(),
		report() {
			// Not of interest.
		},
		declarations: () => declarations,
		runJob() {
			events.push('submitted');
			return {
				outcome: new Promise<Outcome>(resolve => {
					setTimeout(() => {
						resolve({kind: outcomeKind.completed});
					}, 300);
				}),
				cancel() {
					events.push('cancelled');
				},
			};
		},
		cancelJob: async () => cancelResult.unknown,
		jobState: () => undefined,
		pendingJobs: () => 0,
		isDelayed: () => true,
		isLeaving: () => false,
		shutdownDeadline: () => undefined,
		onAnswer() {
			// Not of interest.
		},
	});
	const {server} = service;
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const flag = new SharedArrayBuffer(4);
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- it listens on a port
	const {port} = server.address() as AddressInfo;
	caller = new Worker(callerCode, {
		eval: true, workerData: {
			port, request, leaves, flag,
		},
	});
	// This thread, like a process that is held up, reads nothing meanwhile.
	Atomics.wait(new Int32Array(flag), 0, 0, 5000);
	await new Promise(resolve => {
		setTimeout(resolve, 200);
	});
	return events;
};

test('a job whose caller is connected is submitted once its request is read', async () => {
	expect(await receiveFromSocket(false)).toEqual(['submitted']);
});

// Its start reaches a minion before the end of the connection is read, while the caller's copy may be running elsewhere.
test('a job is not submitted if the end of its caller\'s connection lies in the socket behind the request', async () => {
	expect(await receiveFromSocket(true)).toEqual([]);
});
