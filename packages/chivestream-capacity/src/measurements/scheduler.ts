/** Cost of scheduling decisions on an entry host: by targets, by hosts of the zone and by queued tasks. */
import {attemptOutcome, createRandom, type AttemptResult} from 'chivestream-core';
import {
	createScheduler, type Assignment, type QueuedTask, type Scheduler,
} from 'chivestream-placement';
import {createFakeClock} from 'chivestream-stand-ins';
import {measureSlopes, type Sampling, type Slope} from '../slope.js';
import {measureCpuMs, readHeapBytes} from '../usage.js';
import {createConfiguration, createDeclarations, sampleUpstream} from './sample-declarations.js';

const seed = 1;
const zone = 'zone-0';
const allZones = 'all';
const teams = 12;
const tasksPerJob = 20;
const tasksPerSample = 2000;
const maxWorkers = 4500;
const deadlineMs = 60_000;
const otherHostCount = 8;
const resharesPerSample = 5;
const declaredMs = 100;
const answered: AttemptResult = {outcome: attemptOutcome.answered, isSuccess: true, result: 1};

/**
Creates a scheduler without a configuration. `configure` applies declarations with the given number of targets for a zone
of the given number of hosts.
*/
export const createSizedScheduler = (targets: number, declaredZone = zone) => {
	const clock = createFakeClock();
	const configuration = createConfiguration(createDeclarations(targets, teams, declaredZone === allZones ? undefined : declaredZone));
	const scheduler = createScheduler({clock, random: createRandom(seed)});
	const configure = (hosts: number) => {
		const hostIds = Array.from({length: hosts}, (_, index) => `entry-${index}`);
		scheduler.configure(configuration, {
			selfId: 'entry-0', zone, hostIds, totalHosts: hosts,
		});
	};

	return {clock, scheduler, configure};
};

/** Creates tasks in jobs of `size` tasks each. */
export const createTasks = (count: number, now: number, {size = tasksPerJob, cores = 1} = {}): QueuedTask[] => Array.from({length: count}, (_, index) => {
	const job = Math.floor(index / size);
	return {
		key: `h~entry-0~mf0c2x9kab12~12~${job}`,
		taskIndex: index % size,
		attempt: 1,
		team: `team-${job % teams}`,
		upstream: sampleUpstream,
		deadline: now + deadlineMs,
		enqueuedAt: now,
		declaredMs,
		cores,
		memoryMb: 512,
		accelerators: 0,
	};
});

/** Assigns every task that can start now to a target. */
export const bindAll = (scheduler: Scheduler): Assignment[] => {
	const bound: Assignment[] = [];
	for (let assignment = scheduler.next(); assignment; assignment = scheduler.next()) {
		bound.push(assignment);
	}

	return bound;
};

/** Enqueues, assigns and settles tasks one job at a time; throws when a task found no target. */
const runTasks = (scheduler: Scheduler, tasks: readonly QueuedTask[]) => {
	for (let first = 0; first < tasks.length; first += tasksPerJob) {
		const job = tasks.slice(first, first + tasksPerJob);
		scheduler.enqueue(job);
		const bound = bindAll(scheduler);
		if (bound.length !== job.length) {
			throw new Error(`${bound.length} of ${job.length} tasks found a target`);
		}

		for (const assignment of bound) {
			scheduler.settle(assignment, answered);
		}
	}
};

const measureTargets = async (targets: number) => {
	const before = await readHeapBytes();
	const {clock, scheduler, configure} = createSizedScheduler(targets);
	configure(1);
	const heap = await readHeapBytes() - before;
	const reshare = await measureCpuMs(() => {
		configure(1 + otherHostCount);
	});
	configure(1);
	await clock.advance(deadlineMs);
	const tasks = createTasks(tasksPerSample, clock.now());
	const run = await measureCpuMs(() => {
		runTasks(scheduler, tasks);
	});
	return {
		heap, reshare, run: 1000 * run / tasksPerSample,
	};
};

const measureQueue = async (queued: number) => {
	const {clock, scheduler} = createSizedScheduler(0);
	const before = await readHeapBytes();
	scheduler.enqueue(createTasks(queued, clock.now()));
	const heap = await readHeapBytes() - before;
	scheduler.expire();
	return {heap};
};

/** Metrics by number of targets in one zone, all of them workers with 32 cores. */
export const measureSchedulerByTargets = async (sampling: Sampling): Promise<Slope[]> => measureSlopes({
	name: 'scheduler',
	size: 'targets in the zone',
	units: {
		heap: 'bytes, declarations included',
		reshare: 'ms of CPU per change of hosts or configuration',
		run: 'µs of CPU per task',
	},
	measure: measureTargets,
}, sampling);

/** Cost of reallocating slots by hosts of the zone, with 4,500 workers over nine zones. */
export const measureSchedulerByHosts = async (sampling: Sampling): Promise<Slope[]> => {
	const {configure} = createSizedScheduler(maxWorkers, allZones);
	return measureSlopes({
		name: 'scheduler-by-hosts',
		size: 'hosts in the zone',
		units: {reshare: 'ms of CPU per change of hosts or configuration'},
		async measure(hosts) {
			const cpuMs = await measureCpuMs(() => {
				for (let count = 0; count < resharesPerSample; count++) {
					configure(hosts);
				}
			});
			return {reshare: cpuMs / resharesPerSample};
		},
	}, sampling);
};

/** Memory by number of queued tasks. */
export const measureQueuedTasks = async (sampling: Sampling): Promise<Slope[]> => measureSlopes({
	name: 'queue', size: 'queued tasks', units: {heap: 'bytes'}, measure: measureQueue,
}, sampling);
