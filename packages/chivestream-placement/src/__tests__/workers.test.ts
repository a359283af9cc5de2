import {expect, test} from '@jest/globals';
import {createRandom} from 'chivestream-core';
import fastCheck from 'fast-check';
import {
	answered, createConfiguration, createFakeClock, createZoneMembers, createTask, createUpstream,
} from '../__fixtures__/fakes.js';
import {createScheduler} from '../create-scheduler.js';
import {type Assignment} from '../scheduler.js';

const start = 1_000_000;
const cores = 16;
const memoryMb = 32_768;
const accelerators = 2;

const createFleet = (count: number) => ({
	...createUpstream(0),
	workers: Array.from({length: count}, (_, index) => ({
		id: `w${index}`, zone: 'a', rack: `r${index}`, address: `127.0.0.1:${5000 + index}`, cores, memoryMb, accelerators,
	})),
});

const size = fastCheck.record({
	cores: fastCheck.integer({min: 1, max: cores}),
	memoryMb: fastCheck.integer({min: 1, max: memoryMb}),
	accelerators: fastCheck.integer({min: 0, max: accelerators}),
});

test('tasks never exceed the resources of a worker, and all of them start eventually', () => {
	fastCheck.assert(fastCheck.property(fastCheck.array(size, {minLength: 1, maxLength: 60}), fastCheck.nat(), (sizes, seed) => {
		const clock = createFakeClock(start);
		const scheduler = createScheduler({clock, random: createRandom(seed)});
		const teams = {day: {weight: 1, maxTasksInFlight: 1000}};
		scheduler.configure(createConfiguration(createFleet(3), teams), createZoneMembers('e1', ['e1']));
		scheduler.enqueue(sizes.map((fields, taskIndex) => createTask(start, {taskIndex, ...fields})));
		let started = 0;
		const rounds = sizes.length;
		for (let round = 0; round < rounds; round++) {
			const bound: Assignment[] = [];
			for (let assignment = scheduler.next(); assignment; assignment = scheduler.next()) {
				bound.push(assignment);
			}

			for (const targetId of new Set(bound.map(assignment => assignment.targetId))) {
				const tasks = bound.filter(assignment => assignment.targetId === targetId).map(({task}) => task);
				expect(tasks.reduce((sum, task) => sum + task.cores, 0)).toBeLessThanOrEqual(cores);
				expect(tasks.reduce((sum, task) => sum + task.memoryMb, 0)).toBeLessThanOrEqual(memoryMb);
				expect(tasks.reduce((sum, task) => sum + task.accelerators, 0)).toBeLessThanOrEqual(accelerators);
			}

			clock.advance(100);
			for (const assignment of bound) {
				scheduler.settle(assignment, answered);
			}

			started += bound.length;
		}

		expect(started).toBe(sizes.length);
	}), {seed: 11, numRuns: 50});
});

test('a task larger than the share of this host takes a worker whose share is idle', () => {
	const clock = createFakeClock(start);
	const scheduler = createScheduler({clock, random: createRandom(1)});
	const hostIds = ['e1', 'e2', 'e3'];
	scheduler.configure(createConfiguration(createFleet(1), {day: {weight: 1, maxTasksInFlight: 1000}}), createZoneMembers('e1', hostIds));
	clock.advance(3000);
	scheduler.enqueue([createTask(start, {cores: 12, memoryMb: 1024})]);
	expect(scheduler.next()).toMatchObject({targetId: 'w0', isWorker: true});
});
