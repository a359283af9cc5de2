import {Buffer} from 'node:buffer';
import {
	afterEach, expect, test,
} from '@jest/globals';
import {createRandom} from 'chivestream-core';
import {type JobRequest} from 'chivestream-dispatch';
import {decodeMinionEntry} from 'chivestream-platform';
import {Checker, startMinionStandIn, type MinionStandIn} from 'chivestream-site-stand-ins';
import {until} from '../__fixtures__/site.js';
import {DispatchService} from '../dispatch-service.js';

const token = 64;
const leaseMs = 1000;

let minion: MinionStandIn | undefined;
let service: DispatchService | undefined;
let fenced = 0;

const startService = async () => {
	minion = await startMinionStandIn({
		id: 'i-1', zone: 'z', upstream: 'desk', checker: new Checker(), capacity: 32_000, leaseMs, workMs: () => 400,
	});
	fenced = 0;
	service = new DispatchService({
		token,
		leaseMs,
		farFactor: 1,
		now: () => performance.now(),
		recentDelayMs: () => 0,
		random: createRandom(1),
		report() {
			// Not of interest.
		},
		isRegistryComplete: () => true,
		knowsMinionsOfClaim: () => true,
		otherCells: () => [],
		onAnswer() {
			// Not of interest.
		},
		onFenced() {
			fenced += 1;
		},
	});
	return {service, minion};
};

const register = () => {
	service!.setMinions([decodeMinionEntry('i-1', Buffer.from(minion!.createRegistryEntry()))!]);
};

const isSynced = () => service!.dispatcher.pool.minions.get('i-1')?.isSynced === true;

const job: JobRequest = {
	id: '00000000000000aa',
	payload: 'x',
	steps: [{
		count: 1, millicores: 14_000, memoryMb: 64, accelerators: 0, estimateMs: 400, dependsOn: [],
	}],
	route: 'r',
	upstream: 'desk',
	priority: 0,
	maxAttempts: 3,
	objectiveDeadline: performance.now() + 60_000,
	deadline: performance.now() + 60_000,
	submission: 0,
	mayHaveRun: false,
};

afterEach(async () => {
	service?.release();
	await minion?.close();
});

// Its new session began with a token that the minion refuses, and the dispatcher gave up its cell.
test('a minion that registers again after a request without an answer is not taken for one of another dispatcher', async () => {
	await startService();
	register();
	await until(isSynced);
	void minion!.holdBackRenewal();
	let isDone = false;
	service!.dispatcher.submit(job, () => {
		isDone = true;
	});
	await until(() => isDone && service!.dispatcher.pool.minions.get('i-1')?.runs.size === 0);
	expect(minion!.highestToken()).toBeGreaterThan(token);
	service!.setMinions([]);
	service!.tick();
	register();
	await until(() => isSynced() || fenced > 0);
	expect(fenced).toBe(0);
});

test('a minion that registers again before the next tick is polled', async () => {
	await startService();
	register();
	await until(isSynced);
	service!.setMinions([]);
	register();
	await until(isSynced);
	expect(fenced).toBe(0);
});

// Two tables of the zone may cross: one that this host has read itself, and an older one that another host has passed on.
test('an entry of an earlier incarnation does not lead to the end of the runs of the current one', async () => {
	const {minion: current} = await startService();
	const record = {...decodeMinionEntry('i-1', Buffer.from(current.createRegistryEntry()))!};
	service!.setMinions([record]);
	await until(isSynced);
	service!.dispatcher.submit({...job, steps: [{...job.steps[0]!, estimateMs: 60_000}]}, () => undefined);
	await until(() => current.runningTasks().length > 0);
	const other = await startMinionStandIn({
		id: 'i-2', zone: 'z', upstream: 'desk', checker: new Checker(), capacity: 32_000, leaseMs, workMs: () => 400,
	});
	try {
		service!.setMinions([{...record, bornAt: record.bornAt - 5000, address: other.address}]);
		await until(() => service!.dispatcher.pool.minions.get('i-1')?.runs.size === 0 || current.runningTasks().length === 0);
		expect(current.runningTasks()).toHaveLength(0);
	} finally {
		await other.close();
	}
});
