/** Refuses jobs that can never run, exceed a quota or cannot start early enough before their deadline. */
import {
	type Configuration, Failure, failureCode, type FailureCode, type Job, type Team, type Upstream,
} from 'chivestream-core';
import {Err, Ok, type Result} from 'ts-results-es';
import {type Pool, usableShareOfPool} from './pool.js';
import {geometricMean} from './speed.js';
import {couldEverFit, createMinionTarget, createWorkerTarget} from './target.js';

const failureContext = {step: 'admit a job', peer: 'placement'};

/** Largest share of the time to the deadline that a job may be expected to wait. */
const maxWaitShare = 0.2;

const refuse = (code: FailureCode, message: string): Result<void, Failure> => new Err(new Failure(code, message, failureContext));

/** Run time assumed for a task that declares none, in milliseconds. */
export const defaultDeclaredMs = 200;

const couldRunSomewhere = (upstream: Upstream, task: Job['tasks'][number]): boolean => {
	const resources = {units: Math.max(1, task.cores ?? 1), memoryMb: task.memoryMb ?? 0, accelerators: task.accelerators ?? 0};
	return upstream.minions.some(minion => couldEverFit(createMinionTarget('', minion), resources))
		|| upstream.workers.some(worker => couldEverFit(createWorkerTarget('', worker), resources));
};

const checkDeclarations = (job: Job, configuration: Configuration): Result<{upstream: Upstream; team: Team}, Failure> => {
	const {upstreams, teams, limits} = configuration.declarations;
	const upstream = Object.hasOwn(upstreams, job.upstream) ? upstreams[job.upstream] : undefined;
	const team = Object.hasOwn(teams, job.team) ? teams[job.team] : undefined;
	if (!upstream) {
		return new Err(new Failure(failureCode.unknownUpstream, `upstream ${job.upstream} is not declared`, failureContext));
	}

	if (!team) {
		return new Err(new Failure(failureCode.unknownTeam, `team ${job.team} is not declared`, failureContext));
	}

	if (job.tasks.length > limits.maxTasksPerJob) {
		return new Err(new Failure(failureCode.tooLarge, `${job.tasks.length} tasks exceed the limit of ${limits.maxTasksPerJob}`, failureContext));
	}

	return new Ok({upstream, team});
};

/**
Estimated time until a new task of the team starts, in milliseconds. The lower of two estimates: the waiting work of all
teams over all usable slots, and the team's waiting work over its weighted share of the slots.
*/
const estimateWaitMs = (pool: Pool, teamName: string, now: number): number => {
	let activeWeight = 0;
	let queuedMs = 0;
	for (const queue of pool.queue.teams()) {
		const isActive = queue.waiting.size() > 0 || queue.running > 0 || queue.name === teamName;
		activeWeight += isActive ? queue.weight : 0;
		queuedMs += queue.queuedMs * geometricMean(pool.calibrations.get(queue.name) ?? {value: 0, samples: 0});
	}

	const units = Math.max(1, usableShareOfPool(pool, now));
	const team = pool.queue.team(teamName);
	const calibration = geometricMean(pool.calibrations.get(teamName) ?? {value: 0, samples: 0});
	const teamUnits = Math.max(1, units * team.weight / activeWeight);
	return Math.min(queuedMs / units, team.queuedMs * calibration / teamUnits);
};

/** Checks whether a job may be queued; otherwise returns the failure with the reason. */
export const admitJob = (job: Job, configuration: Configuration, pool: Pool | undefined, now: number): Result<void, Failure> => {
	const declared = checkDeclarations(job, configuration);
	if (declared.isErr()) {
		return declared;
	}

	const {upstream, team} = declared.value;
	if (job.deadline <= now) {
		return refuse(failureCode.deadlinePassed, 'the deadline has passed');
	}

	if (job.tasks.length > team.maxTasksInFlight) {
		return refuse(failureCode.neverRunnable, `${job.tasks.length} tasks exceed the quota of team ${job.team}`);
	}

	const tooLargeIndex = job.tasks.findIndex(task => !couldRunSomewhere(upstream, task));
	if (tooLargeIndex !== -1) {
		return refuse(failureCode.neverRunnable, `task ${tooLargeIndex} is larger than any minion or worker of ${job.upstream}`);
	}

	if (pool && estimateWaitMs(pool, job.team, now) >= (job.deadline - now) * maxWaitShare) {
		return refuse(failureCode.deadlineUnreachable, 'the waiting work leaves no time before the deadline');
	}

	return new Ok(undefined);
};
