/** One job on its way: the state of each task, and the whole answer once nothing is left to wait for. */
import {setMaxListeners} from 'node:events';
import {
	answerState,
	createFailedAnswer,
	failureCode,
	taskState,
	type Failure,
	type Job,
	type JobAnswer,
	type TaskCounts,
	type TaskState,
} from 'chivestream-core';

/** A running attempt of one of a job's tasks. */
export type RunningAttempt = {
	targetId: string;
	isWorker: boolean;
	startedAt: number;
	declaredMs: number;
};

/** A job on its way. */
export type JobRun = {
	job: Job;
	startedAt: number;
	states: TaskState[];
	results: unknown[];
	/** Running attempts by task index. */
	attempts: Map<number, RunningAttempt>;
	/** Tasks that are neither ended nor given up. */
	unfinishedTasks: number;
	/** Why the job will fail, once that is certain. */
	failure?: Failure;
	/** True while its tasks may still be started. */
	canStartTasks: boolean;
	/** Aborts running attempts. */
	abortController: AbortController;
	finish: (answer: JobAnswer) => void;
	isFinished: boolean;
};

/** Each running attempt of the job listens to the signal. */
const createAbortController = (): AbortController => {
	const controller = new AbortController();
	setMaxListeners(0, controller.signal);
	return controller;
};

/** A run of which every task is queued. */
export const createJobRun = (job: Job, startedAt: number, finish: (answer: JobAnswer) => void): JobRun => ({
	job,
	startedAt,
	states: job.tasks.map(() => taskState.queued),
	results: Array.from({length: job.tasks.length}),
	attempts: new Map(),
	unfinishedTasks: job.tasks.length,
	canStartTasks: true,
	abortController: createAbortController(),
	finish,
	isFinished: false,
});

const unfinishedStates = new Set<TaskState>([taskState.queued, taskState.running]);

const countNameByState: Record<TaskState, keyof TaskCounts> = {
	[taskState.completed]: 'completed',
	[taskState.failed]: 'failed',
	[taskState.notRun]: 'notRun',
	[taskState.unknown]: 'unknown',
	// A task without an end may have run.
	[taskState.queued]: 'unknown',
	[taskState.running]: 'unknown',
};

const countStates = (states: readonly TaskState[]): TaskCounts => {
	const counts: TaskCounts = {
		notRun: 0, completed: 0, failed: 0, unknown: 0,
	};
	for (const state of states) {
		counts[countNameByState[state]] += 1;
	}

	return counts;
};

const createAnswer = (run: JobRun): JobAnswer => {
	const {job, states, failure} = run;
	const counts = countStates(states);
	if (counts.completed === states.length) {
		return {key: job.key, state: answerState.complete, results: run.results};
	}

	const reason = failure ?? {
		code: failureCode.internal, message: 'a task ended without a result', step: 'run-job', peer: job.upstream,
	};
	return createFailedAnswer(job.key, reason, counts.notRun === states.length, counts);
};

/** Gives the whole answer now. Tasks that still run count as unknown; their answers come too late and are dropped. */
export const finishRun = (run: JobRun): void => {
	if (run.isFinished) {
		return;
	}

	run.isFinished = true;
	run.canStartTasks = false;
	run.finish(createAnswer(run));
};

/** Ends one task, and the run with its last one. Returns false for an answer that came too late or twice. */
export const endTask = (run: JobRun, taskIndex: number, state: TaskState, result?: unknown): boolean => {
	const current = run.states[taskIndex];
	if (run.isFinished || current === undefined || !unfinishedStates.has(current)) {
		return false;
	}

	run.states[taskIndex] = state;
	run.results[taskIndex] = result;
	run.unfinishedTasks -= 1;
	if (run.unfinishedTasks === 0) {
		finishRun(run);
	}

	return true;
};

/** Notes why the run will fail; the first reason stands. */
export const recordFailure = (run: JobRun, failure: Failure): void => {
	run.failure ??= failure;
	run.canStartTasks = false;
};
