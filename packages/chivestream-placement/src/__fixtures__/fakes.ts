/** A clock that tests advance explicitly, and sample declarations, tasks and results. */
import {
	attemptOutcome, type AttemptResult, type Clock, type Configuration, Failure, failureCode, type Upstream,
} from 'chivestream-core';
import {type QueuedTask, type ZoneMembers} from '../scheduler.js';

export const createFakeClock = (start: number): Clock & {advance: (ms: number) => void} => {
	let time = start;
	return {
		now: () => time,
		at: () => ({cancel() {/* Timers of this clock never fire. */}}),
		advance(ms) {
			time += ms;
		},
	};
};

export const createUpstream = (minionCount: number, slots = 8): Upstream => ({
	minions: Array.from({length: minionCount}, (_, index) => ({
		id: `m${index}`, zone: 'a', address: `127.0.0.1:${4000 + index}`, slots, connections: 64,
	})),
	workers: [],
	notStartedStatuses: [503],
	preference: 'response-time',
});

export const createConfiguration = (upstream: Upstream, teams: Record<string, {weight: number; maxTasksInFlight: number}>): Configuration => ({
	version: 1,
	offset: 1,
	declarations: {
		upstreams: {lens: upstream},
		teams,
		drains: [],
		limits: {maxTasksPerJob: 180, maxDeadlineMs: 60_000, retryRatio: 0.1},
		objectives: [],
	},
});

export const createZoneMembers = (selfId: string, hostIds: string[]): ZoneMembers => ({
	selfId, zone: 'a', hostIds, totalHosts: hostIds.length,
});

export const createTask = (now: number, fields: Partial<QueuedTask> = {}): QueuedTask => ({
	key: 'k', taskIndex: 0, attempt: 1, team: 'day', upstream: 'lens', deadline: now + 60_000, enqueuedAt: now,
	declaredMs: 100, cores: 0, memoryMb: 0, accelerators: 0, ...fields,
});

export const answered: AttemptResult = {outcome: attemptOutcome.answered, isSuccess: true, result: 1};

export const createFailure = (code: (typeof failureCode)[keyof typeof failureCode] = failureCode.overloaded): Failure =>
	new Failure(code, 'failed', {step: 'run a task', peer: 'm0'});

export const taskFailed: AttemptResult = {outcome: attemptOutcome.answered, isSuccess: false, failure: createFailure(failureCode.taskFailed)};

export const refused: AttemptResult = {outcome: attemptOutcome.notStarted, failure: createFailure()};
