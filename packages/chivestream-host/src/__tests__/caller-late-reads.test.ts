import {createServer, type AddressInfo, type Server} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {Worker} from 'node:worker_threads';
import {afterEach, expect, test} from '@jest/globals';
import {startSite, taskMillicores, type TestSite} from '../__fixtures__/site.js';

const id = '00000000000000aa';
const body = `{"task_spec": "x", "best_effort": true, "steps": [{"count": 1, "cpu": ${taskMillicores}, "mem_mb": 64, "estimate_ms": 60}]}`;
const request = `POST /read/${id} HTTP/1.1\r\nHost: lens.example\r\nContent-Type: application/json\r\nContent-Length: ${body.length}\r\n\r\n${body}`;

/** On its own thread: at 1, sends a byte to the other server and the request to the host; at 2, ends the connection to the host if told to. */
const callerCode = `
const {connect} = require('node:net');
const {workerData, parentPort} = require('node:worker_threads');
const flag = new Int32Array(workerData.flag);
const other = connect(workerData.otherPort, '127.0.0.1');
const caller = connect(workerData.port, workerData.ip);
caller.on('error', () => undefined);
let step = 0;
setInterval(() => {
	const next = Atomics.load(flag, 0);
	if (next === 1 && step === 0) {
		step = 1;
		other.write('x', () => setTimeout(() => caller.write(workerData.request), 5));
	} else if (next === 2 && step === 1) {
		step = 2;
		if (workerData.leaves) {
			caller.end();
		}
	}
}, 1);
`;

let site: TestSite | undefined;
let caller: Worker | undefined;
let server: Server | undefined;

afterEach(async () => {
	await caller?.terminate();
	server?.close();
	await site?.close();
});

/** Returns how many tasks start if this process is held up for `pauseMs` between two reads of a round. */
const startsAfter = async (pauseMs: number, leaves: boolean): Promise<number> => {
	site = await startSite(1, 1);
	await site.untilReady();
	site.checker.recordJob(id, taskMillicores);
	const flag = new SharedArrayBuffer(4);
	const step = new Int32Array(flag);
	const pause = (ms: number) => {
		Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
	};

	server = createServer(socket => {
		socket.on('data', () => {
			Atomics.store(step, 0, 2);
			pause(pauseMs);
		});
	});
	await new Promise<void>(resolve => {
		server!.listen(0, '127.0.0.1', resolve);
	});
	const [ip, port] = site.hosts[0]!.settings.listen.callers.split(':');
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- it listens on a port
	const {port: otherPort} = server.address() as AddressInfo;
	caller = new Worker(callerCode, {
		eval: true, workerData: {
			flag, ip, port: Number(port), request, leaves, otherPort,
		},
	});
	// The delays of the start are forgotten by then.
	await sleep(6000);
	Atomics.store(step, 0, 1);
	pause(50);
	await sleep(1000);
	return site.checker.starts;
};

test('a task starts if its caller is connected', async () => {
	expect(await startsAfter(400, false)).toBe(1);
}, 20_000);

// The first tick after the pause comes after the reads, so the host doesn't know yet that it reads late.
test.each([150, 400, 700])('no task starts if its caller has left in a pause of %i ms before the request was read', async pauseMs => {
	expect(await startsAfter(pauseMs, true)).toBe(0);
}, 20_000);
