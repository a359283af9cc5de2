/* eslint-disable no-await-in-loop -- calls are repeated until the client has reconnected */
import {once} from 'node:events';
import {createServer, type Server, type Socket} from 'node:net';
import {
	afterEach, describe, expect, test,
} from '@jest/globals';
import {
	answerState, Failure, failureCode, type Job, type JobAnswer,
} from 'chivestream-core';
import {startRelay} from '../capacity/relay.js';
import {
	createPeerClient, delivery, startPeerService, type PeerClient, type PeerHandlers, type PeerService,
} from '../index.js';

const job: Job = {
	key: 'h~a~i~1~x', team: 'day-a', upstream: 'lens', isIdempotent: false, deadline: Date.now() + 20_000, tasks: [{payload: {box: 1}}],
};
const answer: JobAnswer = {key: job.key, state: answerState.complete, results: [{power: -2.5}]};
const never = async () => once(new EventTarget(), 'never');
const inSeconds = (seconds: number) => Date.now() + (seconds * 1000);

const handlers: PeerHandlers = {
	submit: async () => answer,
	fetch: async key => key === job.key ? answer : undefined,
	cancel: async () => undefined,
	lend: (borrowerId, demand) => `${borrowerId}:${demand}`,
	reclaim: () => undefined,
	readConfiguration: () => undefined,
	query: async request => request.toUpperCase(),
};

const membership = {
	receive() {
		throw new Failure(failureCode.notReady, 'starting', {step: 'heartbeat', peer: 'x'});
	},
};

describe('service and client over gRPC', () => {
	const services: PeerService[] = [];
	const clients: PeerClient[] = [];
	const blackHoles: Server[] = [];
	const sockets: Socket[] = [];

	const start = async (changes: Partial<PeerHandlers> = {}, listen = '127.0.0.1:0') => {
		const service = await startPeerService({listen, handlers: {...handlers, ...changes}, membership});
		services.push(service);
		return service;
	};

	const connect = (address: string) => {
		const client = createPeerClient(address);
		clients.push(client);
		return client;
	};

	afterEach(async () => {
		for (const client of clients.splice(0)) {
			client.close();
		}

		await Promise.all(services.splice(0).map(async service => service.close(Date.now())));
		for (const socket of sockets.splice(0)) {
			socket.destroy();
		}

		for (const blackHole of blackHoles.splice(0)) {
			blackHole.close();
		}
	});

	test('transfers requests and replies of every call', async () => {
		const {address} = await start();
		const client = connect(address);
		const deadline = inSeconds(10);
		await expect(client.submit(job)).resolves.toMatchObject({value: answer});
		await expect(client.fetch(job.key, deadline)).resolves.toMatchObject({value: answer});
		await expect(client.fetch('other', deadline)).resolves.toMatchObject({value: undefined});
		await expect(client.lend('b', '{"slots":2}', deadline)).resolves.toMatchObject({value: 'b:{"slots":2}'});
		await expect(client.query('ask', deadline)).resolves.toMatchObject({value: 'ASK'});
		await expect(client.readConfiguration(deadline)).resolves.toMatchObject({value: undefined});
	});

	test('a refusal arrives with the code, message, step and peer of the failure in the handler', async () => {
		const {address} = await start({
			async submit() {
				throw new Failure(failureCode.draining, 'leaves', {step: 'admit', peer: 'host-1'});
			},
		});
		const result = await connect(address).submit(job);
		expect(result.isErr() && result.error).toMatchObject({
			code: failureCode.draining, message: 'leaves', step: 'admit', peer: 'host-1', delivery: delivery.refused,
		});
	});

	test('a call to a host that does not listen fails as not delivered', async () => {
		const {address, close} = await start();
		await close();
		const result = await connect(address).submit(job);
		expect(result.isErr() && result.error).toMatchObject({
			code: failureCode.connectionFailed, step: 'submit', peer: address, delivery: delivery.none,
		});
	});

	test('a call to a host that accepts the connection but sends nothing fails as not delivered', async () => {
		const blackHole = createServer(socket => {
			sockets.push(socket);
		});
		blackHoles.push(blackHole);
		blackHole.listen(0, '127.0.0.1');
		await once(blackHole, 'listening');
		const bound = blackHole.address();
		const port = typeof bound === 'object' ? bound?.port : undefined;
		const result = await connect(`127.0.0.1:${port}`).submit(job);
		expect(result.isErr() && result.error.delivery).toBe(delivery.none);
	});

	test('a call whose deadline passes, and one whose host stops during it, fail with unknown delivery', async () => {
		const service = await start({
			async submit() {
				await never();
				return answer;
			},
		});
		const client = connect(service.address);
		const late = await client.submit(job, Date.now() + 200);
		expect(late.isErr() && late.error).toMatchObject({code: failureCode.timedOut, delivery: delivery.unknown});
		const running = client.submit(job);
		await client.query('connected', inSeconds(10));
		await service.close(Date.now());
		const cut = await running;
		expect(cut.isErr() && cut.error).toMatchObject({code: failureCode.connectionFailed, delivery: delivery.unknown});
	});

	test('a call whose connection is cut fails with unknown delivery before its deadline, and calls succeed again after the cut', async () => {
		const {address} = await start({
			async submit() {
				await never();
				return answer;
			},
		});
		const relay = await startRelay(address);
		const client = connect(relay.address);
		await client.query('connected', inSeconds(10));
		const running = client.submit(job, inSeconds(25));
		relay.cut();
		const cut = await running;
		expect(cut.isErr() && cut.error).toMatchObject({code: failureCode.connectionFailed, delivery: delivery.unknown});
		const during = await client.query('during', inSeconds(1));
		expect(during.isErr()).toBe(true);
		relay.heal();
		const results = [await client.query('after', inSeconds(1))];
		const deadline = inSeconds(10);
		while (Date.now() < deadline && !results.at(-1)?.isOk()) {
			results.push(await client.query('after', inSeconds(1)));
		}

		expect(results.at(-1)).toMatchObject({value: 'AFTER'});
		await relay.close();
	});

	test('a close with a deadline lets calls in progress end', async () => {
		const gate = new EventTarget();

		const service = await start({
			async submit() {
				await once(gate, 'open');
				return answer;
			},
		});
		const client = connect(service.address);
		const running = client.submit(job);
		await client.query('connected', inSeconds(10));
		const closing = service.close(inSeconds(10));
		gate.dispatchEvent(new Event('open'));
		await expect(running).resolves.toMatchObject({value: answer});
		await closing;
	});

	test('a client reconnects to a host that restarts on the same address', async () => {
		const first = await start();
		const client = connect(first.address);
		await client.query('one', inSeconds(10));
		await first.close(Date.now());
		const between = await client.query('two', inSeconds(1));
		expect(between.isErr()).toBe(true);
		await start({}, first.address);
		const results = [];
		const deadline = inSeconds(10);
		while (Date.now() < deadline && !results.at(-1)?.isOk()) {
			results.push(await client.query('three', inSeconds(1)));
		}

		expect(results.at(-1)).toMatchObject({value: 'THREE'});
	});
});
