/** Benchmark of the scheduler: time per task, from queueing to settlement, and memory per waiting task. */
import process from 'node:process';
import {
	attemptOutcome, type AttemptResult, type Clock, type Configuration, createRandom, type Upstream,
} from 'chivestream-core';
import {createScheduler} from '../create-scheduler.js';
import {type Assignment, type QueuedTask} from '../scheduler.js';

/** Cost for one number of targets. */
type Cost = {
	targets: number;
	microsecondsPerTask: number;
	retainedBytesPerWaitingTask: number;
};

const tasksPerJob = 50;
const warmUpTasks = 50_000;
const measuredTasks = 200_000;
const waitingTasks = 100_000;
const taskMs = 100;
const targetUtilization = 0.6;
const teamCount = 12;
const compactionThreshold = 100_000;
const succeeded: AttemptResult = {outcome: attemptOutcome.answered, isSuccess: true, result: undefined};

const createMinions = (count: number): Upstream => ({
	minions: Array.from({length: count}, (_, index) => ({
		id: `minion-${index}`, zone: 'a', address: `m${index}`, slots: 8, connections: 64,
	})),
	workers: [],
	notStartedStatuses: [503],
	preference: 'response-time',
});

const createWorkers = (count: number): Upstream => ({
	...createMinions(0),
	workers: Array.from({length: count}, (_, index) => ({
		id: `worker-${index}`, zone: 'a', rack: `rack-${Math.floor(index / 8)}`, address: `w${index}`, cores: 32, memoryMb: 65_536, accelerators: 1,
	})),
});

const createConfiguration = (upstream: Upstream): Configuration => ({
	version: 1,
	offset: 1,
	declarations: {
		upstreams: {lens: upstream},
		teams: Object.fromEntries(Array.from({length: teamCount}, (_, index) => [`team-${index}`, {weight: 1, maxTasksInFlight: 1_000_000}])),
		drains: [],
		limits: {maxTasksPerJob: 180, maxDeadlineMs: 60_000, retryRatio: 0.1},
		objectives: [],
	},
});

const createTasks = (jobIndex: number, now: number): QueuedTask[] => Array.from({length: tasksPerJob}, (_, taskIndex) => ({
	key: `job-${jobIndex}`,
	taskIndex,
	attempt: 1,
	team: `team-${jobIndex % teamCount}`,
	upstream: 'lens',
	deadline: now + 60_000,
	enqueuedAt: now,
	declaredMs: taskMs,
	cores: 1 + (taskIndex % 4),
	memoryMb: 1024,
	accelerators: 0,
}));

/** Creates a first-in, first-out queue whose own cost is negligible in the measurement. */
const createFifoQueue = () => {
	let entries: Assignment[] = [];
	let head = 0;
	return {
		push(assignment: Assignment) {
			entries.push(assignment);
		},
		peek: () => entries[head],
		removeFirst() {
			head++;
			if (head > compactionThreshold) {
				entries = entries.slice(head);
				head = 0;
			}
		},
	};
};

const measureCost = (targets: number, upstream: Upstream, slots: number): Cost => {
	let now = 1_000_000;
	const clock: Clock = {now: () => now, at: () => ({cancel: () => undefined})};
	const scheduler = createScheduler({clock, random: createRandom(1)});
	scheduler.configure(createConfiguration(upstream), {
		selfId: 'e1', zone: 'a', hostIds: ['e1'], totalHosts: 1,
	});
	const running = createFifoQueue();
	const msPerJob = taskMs * tasksPerJob / (slots * targetUtilization);
	let jobs = 0;
	let settled = 0;
	const run = (tasks: number) => {
		for (const end = settled + tasks; settled < end;) {
			scheduler.enqueue(createTasks(jobs++, now));
			for (let assignment = scheduler.next(); assignment; assignment = scheduler.next()) {
				running.push(assignment);
			}

			now += msPerJob;
			for (let oldest = running.peek(); oldest && oldest.startedAt + taskMs <= now; oldest = running.peek()) {
				running.removeFirst();
				scheduler.settle(oldest, succeeded);
				settled++;
			}
		}
	};

	run(warmUpTasks);
	const startedAt = process.hrtime.bigint();
	run(measuredTasks);
	const elapsedMicroseconds = Number(process.hrtime.bigint() - startedAt) / 1000;
	globalThis.gc?.();
	const before = process.memoryUsage().heapUsed;
	for (let waiting = 0; waiting < waitingTasks; waiting += tasksPerJob) {
		scheduler.enqueue(createTasks(jobs++, now));
	}

	globalThis.gc?.();
	const retained = process.memoryUsage().heapUsed - before;
	return {
		targets,
		microsecondsPerTask: Number((elapsedMicroseconds / measuredTasks).toFixed(2)),
		retainedBytesPerWaitingTask: Math.round(retained / waitingTasks),
	};
};

const averageCores = 2.5;
const coresPerWorker = 32;
const smallFleet = 30;
const largeFleet = 4500;
const minions = measureCost(smallFleet, createMinions(smallFleet), smallFleet * 8);
const fewWorkers = measureCost(smallFleet, createWorkers(smallFleet), smallFleet * coresPerWorker / averageCores);
const workers = measureCost(largeFleet, createWorkers(largeFleet), largeFleet * coresPerWorker / averageCores);
console.log(`30 minions: ${minions.microsecondsPerTask} µs a task, ${minions.retainedBytesPerWaitingTask} bytes a waiting task`);
console.log(`30 workers: ${fewWorkers.microsecondsPerTask} µs a task, ${fewWorkers.retainedBytesPerWaitingTask} bytes a waiting task`);
console.log(`4,500 workers: ${workers.microsecondsPerTask} µs a task, ${workers.retainedBytesPerWaitingTask} bytes a waiting task`);
if (process.argv.includes('--json')) {
	console.log(JSON.stringify({
		minions, fewWorkers, workers, growth: Number((workers.microsecondsPerTask / minions.microsecondsPerTask).toFixed(2)),
	}));
}
