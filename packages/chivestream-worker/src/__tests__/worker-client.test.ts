import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {attemptOutcome, type Clock, systemClock} from 'chivestream-core';
import {startWorkerStandIn, type WorkerStandIn} from 'chivestream-stand-ins';
import {
	createWorkerClient, type Share, type WorkerClient, type WorkerClientOptions,
} from '../index.js';

const oneCore: Share = {cores: 1, memoryMb: 0, accelerators: 0};
const clients: WorkerClient[] = [];
let worker: WorkerStandIn;
let nextTask = 0;

beforeEach(async () => {
	worker = await startWorkerStandIn({id: 'w1', cores: 4, longestLeaseMs: 60_000});
});

afterEach(async () => {
	await Promise.all(clients.splice(0).map(async client => client.close()));
	await worker.close();
});

const createClient = (options: Partial<WorkerClientOptions> = {}): WorkerClient => {
	const client = createWorkerClient({
		holder: 'e1', clock: systemClock, minimumShare: {...oneCore, cores: 2}, ...options,
	});
	clients.push(client);
	return client;
};

const runTask = async (client: WorkerClient, {size = oneCore, payload = {}, signal = new AbortController().signal} = {}) => {
	nextTask += 1;
	return client.runOnWorker({
		identity: {key: 'k', taskIndex: nextTask, attempt: 1},
		address: worker.address,
		workerId: 'w1',
		payload,
		declaredMs: 10,
		size,
		notStartedStatuses: [503],
		signal,
	});
};

test('tasks share a lease while they fit, and further leases are acquired when they do not', async () => {
	const client = createClient();
	const results = await Promise.all([runTask(client), runTask(client), runTask(client)]);
	expect(results.map(result => result.outcome === attemptOutcome.answered && result.isSuccess)).toEqual([true, true, true]);
	expect(worker.report().total).toBe(3);
	expect(client.heldLeases(worker.address).length).toBeLessThanOrEqual(2);
	expect(worker.leases()[0]?.holder).toBe('e1');
});

test('a task that does not fit is not started', async () => {
	const result = await runTask(createClient(), {size: {...oneCore, cores: 5}});
	expect(result).toMatchObject({outcome: attemptOutcome.notStarted, failure: {code: 'over-quota', step: 'acquire-lease', peer: 'w1'}});
	expect(worker.report().total).toBe(0);
});

/** A clock that stops at `pause`, as seen by a holder whose process was paused and has not yet detected it. */
const createPausableClock = () => {
	let pausedAt: number | undefined;
	const clock: Clock = {
		now: () => pausedAt ?? Date.now(),
		at: (deadline, callback) => systemClock.at(deadline, () => {
			if (pausedAt === undefined) {
				callback();
			}
		}),
	};
	return {
		clock,
		pause() {
			pausedAt = Date.now();
		},
	};
};

const waitForNoLeases = async (): Promise<void> => {
	while (worker.leases().length > 0) {
		// eslint-disable-next-line no-await-in-loop
		await new Promise(resolve => {
			setTimeout(resolve, 20);
		});
	}
};

test('a worker refuses a task from a paused holder whose lease has expired', async () => {
	const {clock, pause} = createPausableClock();
	const client = createClient({clock, leaseMs: 700, idleMs: 60_000});
	await runTask(client);
	pause();
	await waitForNoLeases();
	expect(client.heldLeases(worker.address)).toHaveLength(1);
	expect(await runTask(client)).toMatchObject({outcome: attemptOutcome.notStarted, failure: {peer: 'w1'}});
	expect(worker.report()).toMatchObject({total: 1, refused: 1});
	expect(client.heldLeases(worker.address)).toEqual([]);
});

/** Runs one task before and one after the holder's clock passes the lease deadline; returns the fencing tokens of all leases. */
const runAroundDeadline = async (options: Partial<WorkerClientOptions>) => {
	let clockOffsetMs = 0;
	const clock: Clock = {...systemClock, now: () => Date.now() + clockOffsetMs};
	const client = createClient({clock, leaseMs: 20_000, ...options});
	await runTask(client);
	clockOffsetMs = 30_000;
	await runTask(client);
	return worker.leases().map(({fence}) => fence);
};

test('a lease past its deadline by the holder\'s clock is not used unless that check is disabled', async () => {
	expect(await runAroundDeadline({})).toEqual([1, 2]);
	await worker.close();
	worker = await startWorkerStandIn({id: 'w1', cores: 4});
	expect(await runAroundDeadline({isUsable: () => true})).toEqual([1]);
});

test('a lease in use is renewed past its first deadline, and released once idle', async () => {
	const client = createClient({leaseMs: 600, idleMs: 200});
	const result = await runTask(client, {payload: {runMs: 1500}});
	expect(result.outcome).toBe(attemptOutcome.answered);
	expect(await runTask(client)).toMatchObject({isSuccess: true});
	await waitForNoLeases();
	expect(client.heldLeases(worker.address)).toEqual([]);
	expect(worker.report()).toMatchObject({total: 2, refused: 0});
});

test('a task for an unreachable worker is not started', async () => {
	const client = createClient();
	await worker.close();
	expect(await runTask(client)).toMatchObject({outcome: attemptOutcome.notStarted, failure: {code: 'connection-failed'}});
});

test('leases on workers that are no longer declared are released', async () => {
	const client = createClient();
	await runTask(client);
	await client.closeUndeclared(new Set());
	expect(worker.leases()).toEqual([]);
});

test('usage is reported and a running task can be stopped', async () => {
	const client = createClient();
	const leaseClient = client.leaseClient({id: 'w1', address: worker.address});
	const usage = await leaseClient.usage();
	expect(usage.unwrap()).toMatchObject({tasks: 0});
	const missing = await leaseClient.control('stop', 'k/0/0');
	expect(missing.unwrap()).toBe(false);
	const running = runTask(client, {payload: {runMs: 60_000}});
	let isTaskStopped = false;
	while (!isTaskStopped) {
		// eslint-disable-next-line no-await-in-loop
		const stopped = await leaseClient.control('stop', `k/${nextTask}/1`);
		isTaskStopped = stopped.unwrap();
	}

	expect(await running).toMatchObject({outcome: attemptOutcome.answered, isSuccess: false});
});
