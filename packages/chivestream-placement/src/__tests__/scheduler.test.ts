import {describe, expect, test} from '@jest/globals';
import {createRandom} from 'chivestream-core';
import {
	answered, createConfiguration, createFakeClock, createZoneMembers, createTask, createUpstream, refused, taskFailed,
} from '../__fixtures__/fakes.js';
import {createScheduler} from '../create-scheduler.js';
import {type Assignment, type Scheduler} from '../scheduler.js';
import {computeHostShare} from '../slot-share.js';

const start = 1_000_000;
const teams = {day: {weight: 1, maxTasksInFlight: 1000}, night: {weight: 3, maxTasksInFlight: 1000}};

const createHost = (minionCount = 2, selfId = 'e1', hostIds = [selfId]) => {
	const clock = createFakeClock(start);
	const scheduler = createScheduler({clock, random: createRandom(1)});
	const configuration = createConfiguration(createUpstream(minionCount), teams);
	scheduler.configure(configuration, createZoneMembers(selfId, hostIds));
	return {clock, scheduler, configuration};
};

const bindAll = (scheduler: Scheduler): Assignment[] => {
	const bound: Assignment[] = [];
	for (let assignment = scheduler.next(); assignment; assignment = scheduler.next()) {
		bound.push(assignment);
	}

	return bound;
};

const createTasks = (count: number, fields = {}) =>
	Array.from({length: count}, (_, taskIndex) => createTask(start, {taskIndex, ...fields}));

describe('computeHostShare', () => {
	test('divides all slots of a minion among the hosts, each slot to one host', () => {
		for (const hostIds of [['a'], ['a', 'b'], ['a', 'b', 'c'], ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h', 'i', 'j']]) {
			const shares = hostIds.map(id => computeHostShare('m1', 8, hostIds, id));
			expect(shares.reduce((sum, share) => sum + share, 0)).toBe(8);
		}
	});

	test('does not shrink the share of a host when another is removed', () => {
		const before = computeHostShare('m1', 8, ['a', 'b', 'c'], 'a');
		expect(computeHostShare('m1', 8, ['a', 'b'], 'a')).toBeGreaterThanOrEqual(before);
	});
});

describe('createScheduler', () => {
	test('binds no more tasks than it has slots, and the rest once slots come free', () => {
		const {scheduler} = createHost();
		scheduler.enqueue(createTasks(20));
		const bound = bindAll(scheduler);
		expect(bound).toHaveLength(16);
		scheduler.settle(bound[0]!, answered);
		expect(bindAll(scheduler)).toHaveLength(1);
	});

	test('binds no further task to a minion as soon as it is drained', () => {
		const {scheduler, configuration} = createHost();
		const drained = {...configuration, declarations: {...configuration.declarations, drains: ['m0']}};
		scheduler.configure(drained, createZoneMembers('e1', ['e1']));
		scheduler.enqueue(createTasks(20));
		expect(new Set(bindAll(scheduler).map(({targetId}) => targetId))).toEqual(new Set(['m1']));
	});

	test('withholds slots that move from another host until the hold-off has passed', () => {
		const {scheduler, configuration, clock} = createHost(1, 'e1', ['e1', 'e2']);
		clock.advance(3000);
		scheduler.configure(configuration, createZoneMembers('e1', ['e1']));
		scheduler.enqueue(createTasks(8));
		const early = bindAll(scheduler).length;
		expect(early).toBe(4);
		clock.advance(scheduler.wakeAt()! - clock.now());
		expect(bindAll(scheduler)).toHaveLength(4);
	});

	test('uses slots again at once that it lost only recently, since no other host has used them yet', () => {
		const {scheduler, configuration, clock} = createHost(1, 'e1', ['e1', 'e2']);
		clock.advance(3000);
		scheduler.configure(configuration, createZoneMembers('e1', ['e2']));
		scheduler.enqueue(createTasks(8));
		expect(bindAll(scheduler)).toHaveLength(0);
		clock.advance(2000);
		scheduler.configure(configuration, createZoneMembers('e1', ['e1', 'e2']));
		expect(bindAll(scheduler)).toHaveLength(4);
	});

	test('withholds slots that it lost long enough ago for another host to have used them', () => {
		const {scheduler, configuration, clock} = createHost(1, 'e1', ['e1', 'e2']);
		clock.advance(3000);
		scheduler.configure(configuration, createZoneMembers('e1', ['e2']));
		clock.advance(3000);
		scheduler.configure(configuration, createZoneMembers('e1', ['e1', 'e2']));
		scheduler.enqueue(createTasks(8));
		expect(bindAll(scheduler)).toHaveLength(0);
		clock.advance(3000);
		expect(bindAll(scheduler)).toHaveLength(4);
	});

	test('prefers the minion that turned out faster', () => {
		const {scheduler, clock} = createHost();
		for (let round = 0; round < 10; round++) {
			scheduler.enqueue(createTasks(16, {key: `k${round}`}));
			const bound = bindAll(scheduler);
			clock.advance(50);
			for (const assignment of bound.filter(({targetId}) => targetId === 'm1')) {
				scheduler.settle(assignment, answered);
			}

			clock.advance(450);
			for (const assignment of bound.filter(({targetId}) => targetId === 'm0')) {
				scheduler.settle(assignment, answered);
			}
		}

		scheduler.enqueue(createTasks(8, {key: 'last'}));
		expect(bindAll(scheduler).map(({targetId}) => targetId)).toEqual(Array.from({length: 8}, () => 'm1'));
	});

	test('quarantines a minion on which every task fails, and later sends it one trial task', () => {
		const {scheduler, clock} = createHost();
		let failed = 0;
		for (let round = 0; round < 50; round++) {
			scheduler.enqueue(createTasks(1, {key: `k${round}`, declaredMs: 10}));
			const bound = bindAll(scheduler);
			for (const assignment of bound.filter(({targetId}) => targetId === 'm0')) {
				failed++;
				scheduler.settle(assignment, taskFailed);
			}

			clock.advance(10);
			for (const assignment of bound.filter(({targetId}) => targetId === 'm1')) {
				scheduler.settle(assignment, answered);
			}
		}

		expect(failed).toBe(3);
		clock.advance(1500);
		scheduler.enqueue(createTasks(16, {key: 'later'}));
		expect(bindAll(scheduler).filter(({targetId}) => targetId === 'm0')).toHaveLength(1);
	});

	test('sends a refused task elsewhere within the retry budget, and backs off the minion', () => {
		const {scheduler} = createHost();
		scheduler.enqueue(createTasks(1));
		const [first] = bindAll(scheduler);
		expect(scheduler.settle(first!, refused)).toEqual({isRetried: true});
		const [second] = bindAll(scheduler);
		expect(second).toMatchObject({task: {taskIndex: 0, attempt: 2}});
		expect(second!.targetId).not.toBe(first!.targetId);
		let retried = 0;
		for (let assignment = second; assignment && scheduler.settle(assignment, refused).isRetried; assignment = scheduler.next()) {
			retried++;
		}

		expect(retried).toBeLessThan(20);
	});

	test('divides slots between teams by weight', () => {
		const {scheduler} = createHost(4);
		scheduler.enqueue(createTasks(100, {key: 'd', team: 'day'}));
		scheduler.enqueue(createTasks(100, {key: 'n', team: 'night'}));
		const bound = bindAll(scheduler);
		expect(bound.filter(({task}) => task.team === 'night')).toHaveLength(24);
	});

	test('removes cancelled and expired tasks from the queue', () => {
		const {scheduler, clock} = createHost();
		scheduler.enqueue(createTasks(3, {key: 'a', deadline: start + 10}));
		scheduler.enqueue(createTasks(2, {key: 'b'}));
		expect(scheduler.cancel('b')).toHaveLength(2);
		clock.advance(20);
		expect(scheduler.expire()).toHaveLength(3);
		expect(scheduler.load()).toEqual([{upstream: 'lens', queued: 0, running: 0}]);
	});

	test('refuses a job that can never run or cannot finish in time', () => {
		const {scheduler, configuration} = createHost();
		const job = {
			key: 'j', team: 'day', upstream: 'lens', isIdempotent: false, deadline: start + 1000, tasks: [{payload: 1}],
		};
		expect(scheduler.admit(job).isOk()).toBe(true);
		expect(scheduler.admit({...job, upstream: 'none'}).unwrapErr()).toMatchObject({code: 'unknown-upstream'});
		expect(scheduler.admit({...job, deadline: start}).unwrapErr()).toMatchObject({code: 'deadline-passed'});
		scheduler.enqueue(createTasks(16 * 20, {declaredMs: 1000}));
		expect(scheduler.admit(job).unwrapErr()).toMatchObject({code: 'deadline-unreachable'});
		scheduler.configure({
			...configuration,
			declarations: {...configuration.declarations, teams: {day: {weight: 1, maxTasksInFlight: 1}}},
		}, createZoneMembers('e1', ['e1']));
		expect(scheduler.admit({...job, tasks: [{payload: 1}, {payload: 2}]}).unwrapErr()).toMatchObject({code: 'never-runnable'});
	});
});
