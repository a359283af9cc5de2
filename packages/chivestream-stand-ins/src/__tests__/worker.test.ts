import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {startWorkerStandIn, type WorkerStandIn} from '../worker.js';
import {call, statusOf, untilStarted} from './http.js';

let worker: WorkerStandIn;

beforeEach(async () => {
	worker = await startWorkerStandIn({id: 'w1', cores: 4});
});

afterEach(async () => {
	await worker.close();
});

const leaseRequest = (cores: number) => ({
	holder: 'e1', cores, memoryMb: 0, accelerators: 0, deadline: Date.now() + 30_000,
});

const lease = async (cores: number) => call(worker.address, 'POST', '/leases', {payload: leaseRequest(cores)});

const renew = async (leaseId: string, payload: unknown) => call(worker.address, 'PUT', `/leases/${leaseId}`, {payload});

const control = async (action: string, payload: unknown) => call(worker.address, 'POST', `/tasks/${action}`, {payload});

const runTask = async (leaseId: unknown, fence: unknown, attempt: string, payload: unknown = {}) =>
	call(worker.address, 'POST', `/leases/${String(leaseId)}/tasks`, {
		payload, headers: {'chivestream-attempt': attempt, 'chivestream-fence': String(fence)},
	});

test('leases share the capacity and their fences grow', async () => {
	const first = await lease(3);
	expect(first).toMatchObject({status: 201, body: {leaseId: 'lease-1', fence: 1}});
	expect(await statusOf(lease(2))).toBe(409);
	expect(await statusOf(call(worker.address, 'DELETE', '/leases/lease-1'))).toBe(204);
	expect(await lease(2)).toMatchObject({status: 201, body: {fence: 2}});
});

test('a task starts only under a lease with the current fence', async () => {
	const {body} = await lease(1);
	expect(await runTask(body?.leaseId, body?.fence, 'k/0/1')).toMatchObject({status: 200, body: {servedBy: 'w1'}});
	expect(await statusOf(runTask(body?.leaseId, 0, 'k/1/1'))).toBe(409);
	expect(await statusOf(runTask('lease-9', 1, 'k/1/1'))).toBe(409);
	expect(worker.report()).toMatchObject({total: 1, refused: 2});
});

test('a lease lapses by the clock of the worker', async () => {
	const fast = await startWorkerStandIn({clockOffsetMs: 60_000});
	expect(await statusOf(call(fast.address, 'POST', '/leases', {payload: leaseRequest(1)}))).toBe(409);
	await fast.close();
});

test('a renewal needs the holder and the fence', async () => {
	await lease(1);
	const deadline = Date.now() + 40_000;
	expect(await renew('lease-1', {holder: 'e1', fence: 1, deadline})).toMatchObject({status: 200, body: {deadline}});
	expect(await statusOf(renew('lease-1', {holder: 'e2', fence: 1, deadline}))).toBe(409);
	expect(await statusOf(renew('lease-1', {holder: 'e1', fence: 2, deadline}))).toBe(409);
});

test('a running task can be checkpointed, throttled and stopped', async () => {
	const {body} = await lease(1);
	const running = runTask(body?.leaseId, body?.fence, 'k/0/1', {runMs: 60_000});
	await untilStarted(worker, 1);
	expect(await control('checkpoint', {attempt: 'k/0/1'})).toMatchObject({status: 200, body: {attempt: 'k/0/1'}});
	expect(await statusOf(control('throttle', {attempt: 'k/0/1', factor: 2}))).toBe(200);
	expect(await statusOf(control('stop', {attempt: 'k/0/1'}))).toBe(200);
	expect(await statusOf(running)).toBe(500);
	expect(await statusOf(control('stop', {attempt: 'k/0/1'}))).toBe(404);
});

test('usage is told with a lag', async () => {
	const lagging = await startWorkerStandIn({usageLagMs: 60_000});
	const {body} = await call(lagging.address, 'GET', '/usage');
	expect(body).toMatchObject({cores: 0, tasks: 0});
	await lagging.close();
});
