/** State of one running job: the state of each task, and the whole answer once every task has ended. */
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
	/** Id of the minion or worker. */
	targetId: string;
	isWorker: boolean;
	/** Milliseconds since the Unix epoch. */
	startedAt: number;
	/** Run time that the caller declared, or the default. */
	declaredMs: number;
};

/** A running job; its arrays are indexed by task. */
export type JobRun = {
	job: Job;
	/** Milliseconds since the Unix epoch. */
	startedAt: number;
	states: TaskState[];
	results: unknown[];
	/** Running attempts by task index. */
	attempts: Map<number, RunningAttempt>;
	/** Number of tasks that are queued or running. */
	unfinishedTasks: number;
	/** Why the job will fail; undefined while it may still complete. */
	failure?: Failure;
	/** False once the job has failed or finished, so that its waiting tasks must not start. */
	canStartTasks: boolean;
	/** Aborts running attempts. */
	abortController: AbortController;
	/** Called once, with the whole answer. */
	finish: (answer: JobAnswer) => void;
	isFinished: boolean;
};

/** Each running attempt adds a listener to the signal, so Node's warning about many listeners is turned off. */
const createAbortController = (): AbortController => {
	const controller = new AbortController();
	setMaxListeners(0, controller.signal);
	return controller;
};

/** Creates a run with every task queued. */
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
	// An unfinished task may have run.
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

/** Answers the job now. Unfinished tasks count as unknown, and their later results are ignored. */
export const finishRun = (run: JobRun): void => {
	if (run.isFinished) {
		return;
	}

	run.isFinished = true;
	run.canStartTasks = false;
	run.finish(createAnswer(run));
};

/** Records the end of a task, and finishes the run with the last one. Returns false if the task or the run had already ended. */
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

/** Records why the run will fail and keeps its waiting tasks from starting. Only the first failure is kept. */
export const recordFailure = (run: JobRun, failure: Failure): void => {
	run.failure ??= failure;
	run.canStartTasks = false;
};
