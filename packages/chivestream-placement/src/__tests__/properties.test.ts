import {expect, test} from '@jest/globals';
import {createRandom, pickRandom} from 'chivestream-core';
import fastCheck from 'fast-check';
import {
	answered, createConfiguration, createFakeClock, createZoneMembers, createTask, createUpstream, refused, taskFailed,
} from '../__fixtures__/fakes.js';
import {createScheduler} from '../create-scheduler.js';
import {type Assignment, type Scheduler} from '../scheduler.js';

const start = 1_000_000;
const hostIds = ['e1', 'e2', 'e3'];
const slots = 8;
const settleTimeMs = 40_000;
const configuration = createConfiguration(createUpstream(3, slots), {
	day: {weight: 1, maxTasksInFlight: 180}, night: {weight: 2, maxTasksInFlight: 30},
});

const host = fastCheck.nat(hostIds.length - 1);
const outcome = fastCheck.constantFrom(answered, answered, answered, taskFailed, refused);
const constantKind = <Kind extends string>(kind: Kind) => fastCheck.constant(kind);
const step = fastCheck.oneof(
	fastCheck.record({
		kind: constantKind('submit'), host, count: fastCheck.integer({min: 1, max: 40}), team: fastCheck.constantFrom('day', 'night'),
	}),
	fastCheck.record({kind: constantKind('advance'), ms: fastCheck.integer({min: 1, max: 4000})}),
	fastCheck.record({kind: constantKind('settle'), count: fastCheck.integer({min: 1, max: 30}), outcome}),
	fastCheck.record({kind: constantKind('lend'), borrower: host, lender: host}),
	fastCheck.record({kind: constantKind('cancel'), host, key: fastCheck.nat(20)}),
);

/** Three hosts of a zone on a fake clock; tracks the state of every task. */
const createZone = (seed: number) => {
	const clock = createFakeClock(start);
	const schedulers = hostIds.map(id => {
		const scheduler = createScheduler({clock, random: createRandom(seed)});
		scheduler.configure(configuration, createZoneMembers(id, hostIds));
		return scheduler;
	});
	const running: Array<{scheduler: Scheduler; assignment: Assignment}> = [];
	const states = new Map<string, 'waiting' | 'running' | 'ended'>();
	const taskName = ({key, taskIndex}: {key: string; taskIndex: number}) => `${key}/${taskIndex}`;
	const bindAll = () => {
		for (const scheduler of schedulers) {
			for (let assignment = scheduler.next(); assignment; assignment = scheduler.next()) {
				expect(states.get(taskName(assignment.task))).toBe('waiting');
				states.set(taskName(assignment.task), 'running');
				running.push({scheduler, assignment});
			}
		}

		for (const {id} of configuration.declarations.upstreams.lens!.minions) {
			expect(running.filter(({assignment}) => assignment.targetId === id).length).toBeLessThanOrEqual(slots);
		}
	};

	const extendAll = () => {
		for (const [index, borrower] of schedulers.entries()) {
			for (const {lenderId, grants} of borrower.dueExtensions()) {
				borrower.borrow(lenderId, schedulers[hostIds.indexOf(lenderId)]!.extend(hostIds[index]!, grants));
			}
		}
	};

	return {
		clock, schedulers, running, states, taskName, bindAll, extendAll,
	};
};

type Zone = ReturnType<typeof createZone>;

const settleSome = (zone: Zone, count: number, outcome: typeof answered, seed: number) => {
	const random = createRandom(seed);
	for (let index = 0; index < count && zone.running.length > 0; index++) {
		const settled = pickRandom(random, zone.running);
		zone.running.splice(zone.running.indexOf(settled), 1);
		const {isRetried} = settled.scheduler.settle(settled.assignment, outcome);
		zone.states.set(zone.taskName(settled.assignment.task), isRetried ? 'waiting' : 'ended');
	}
};

const advance = (zone: Zone, ms: number) => {
	// Extensions are requested every 200 ms, well before the grants expire.
	for (let left = ms; left > 0; left -= 200) {
		zone.clock.advance(Math.min(left, 200));
		zone.extendAll();
		zone.bindAll();
		for (const scheduler of zone.schedulers) {
			for (const task of scheduler.expire()) {
				expect(zone.states.get(zone.taskName(task))).toBe('waiting');
				zone.states.set(zone.taskName(task), 'ended');
			}
		}
	}
};

const lend = (zone: Zone, borrower: number, lender: number) => {
	const from = zone.schedulers[lender]!;
	const to = zone.schedulers[borrower]!;
	for (const demand of borrower === lender ? [] : to.demand()) {
		to.borrow(hostIds[lender]!, from.lend(hostIds[borrower]!, demand));
	}

	for (const [index, scheduler] of zone.schedulers.entries()) {
		for (const {lenderId, grants} of scheduler.releaseIdle()) {
			zone.schedulers[hostIds.indexOf(lenderId)]!.reclaim(hostIds[index]!, grants);
		}
	}
};

const submit = (zone: Zone, key: string, {host, count, team}: {host: number; count: number; team: string}) => {
	const tasks = Array.from({length: count}, (_, taskIndex) => createTask(zone.clock.now(), {key, taskIndex, team}));
	for (const task of tasks) {
		zone.states.set(zone.taskName(task), 'waiting');
	}

	zone.schedulers[host]!.enqueue(tasks);
};

const cancel = (zone: Zone, host: number, key: string) => {
	for (const task of zone.schedulers[host]!.cancel(key)) {
		zone.states.set(zone.taskName(task), 'ended');
	}
};

test('no task is lost or bound twice, no minion runs more tasks than it has slots, and every task ends', () => {
	fastCheck.assert(fastCheck.property(fastCheck.array(step, {maxLength: 60}), fastCheck.nat(), (steps, seed) => {
		const zone = createZone(seed);
		advance(zone, 3000);
		let jobs = 0;
		for (const action of steps) {
			switch (action.kind) {
				case 'submit': {
					submit(zone, `k${jobs++}`, action);
					break;
				}

				case 'advance': {
					advance(zone, action.ms);
					break;
				}

				case 'settle': {
					settleSome(zone, action.count, action.outcome, seed);
					break;
				}

				case 'lend': {
					lend(zone, action.borrower, action.lender);
					break;
				}

				case 'cancel': {
					cancel(zone, action.host, `k${action.key}`);
					break;
				}
			}

			zone.bindAll();
			const waiting = [...zone.states.values()].filter(state => state === 'waiting').length;
			const queued = zone.schedulers.flatMap(scheduler => scheduler.load()).reduce((sum, {queued}) => sum + queued, 0);
			expect(queued).toBe(waiting);
		}

		// No task starves: as running tasks end, all waiting ones start.
		for (let elapsed = 0; elapsed < settleTimeMs; elapsed += 500) {
			settleSome(zone, zone.running.length, answered, seed);
			advance(zone, 500);
		}

		expect([...zone.states.values()].every(state => state === 'ended')).toBe(true);
	}), {seed: 5, numRuns: 60});
});
