import {expect, test} from '@jest/globals';
import {createRandom, preference} from 'chivestream-core';
import {
	answered, createConfiguration, createFakeClock, createZoneMembers, createTask, createUpstream,
} from '../__fixtures__/fakes.js';
import {createScheduler} from '../create-scheduler.js';

const start = 1_000_000;

test('keeps the grant that ends last for a task that still runs, and returns the one that ends first', () => {
	const clock = createFakeClock(start);
	const scheduler = createScheduler({clock, random: createRandom(1)});
	const upstream = {...createUpstream(1), preference: preference.responseTime};
	scheduler.configure(createConfiguration(upstream, {day: {weight: 1, maxTasksInFlight: 100}}), {...createZoneMembers('e1', ['e1', 'e2']), zone: 'b'});
	const createGrant = (grantId: string, count: number, deadline: number) => ({
		grantId, upstream: 'lens', targetId: 'm0', count, deadline,
	});
	scheduler.borrow('e2', [createGrant('late', 2, start + 4000), createGrant('early', 1, start + 2000)]);
	scheduler.enqueue([createTask(start), createTask(start, {taskIndex: 1})]);
	const first = scheduler.next()!;
	expect(scheduler.next()).toBeDefined();
	scheduler.settle(first, answered);
	expect(scheduler.releaseIdle()).toMatchObject([{lenderId: 'e2', grants: [{grantId: 'early'}]}]);
	clock.advance(3700);
	expect(scheduler.dueExtensions()).toMatchObject([{lenderId: 'e2', grants: [{grantId: 'late'}]}]);
});
