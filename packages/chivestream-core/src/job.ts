/** Jobs, their tasks and their answers. */
import {type FailureCode} from './failure.js';

/** Maximum number of tasks of a job. */
export const maxTasksPerJob = 180;

/** A sub-second unit of work. Its duration and sizes are declared by the caller and may be inaccurate. */
export type Task = {
	payload: unknown;
	/** Declared run time in milliseconds. */
	declaredMs?: number;
	cores?: number;
	memoryMb?: number;
	accelerators?: number;
};

/** A submitted job. Its key, team, upstream, flags and tasks identify its content; the deadline does not. */
export type Job = {
	key: string;
	team: string;
	upstream: string;
	isIdempotent: boolean;
	/** Time after which the answer is no longer useful, in milliseconds since the Unix epoch. */
	deadline: number;
	/** Time at which the caller created an opaque key, in milliseconds since the Unix epoch. */
	createdAt?: number;
	tasks: Task[];
};

/** States of a task within a job. */
export const taskState = {
	queued: 'queued',
	running: 'running',
	completed: 'completed',
	failed: 'failed',
	unknown: 'unknown',
	notRun: 'not-run',
} as const;

/** One of the states of a task. */
export type TaskState = (typeof taskState)[keyof typeof taskState];

/** Numbers of a failed job's tasks by final state. */
export type TaskCounts = {
	notRun: number;
	completed: number;
	failed: number;
	unknown: number;
};

/** Why a job failed, and whether any of it may have run. */
export type JobFailure = {
	code: FailureCode;
	message: string;
	step: string;
	peer: string;
	/** True only if it is certain that no task of the job started. */
	notRun: boolean;
	tasks: TaskCounts;
};

/** States of a job's answer. */
export const answerState = {
	complete: 'complete',
	failed: 'failed',
} as const;

/** The results of all tasks of a complete job, in task order. */
export type CompleteAnswer = {
	key: string;
	state: typeof answerState.complete;
	results: unknown[];
};

/** The answer to a failed job; it has no task results. */
export type FailedAnswer = {
	key: string;
	state: typeof answerState.failed;
	failure: JobFailure;
};

/** The answer to a job: complete or failed, never partial. */
export type JobAnswer = CompleteAnswer | FailedAnswer;

/** Counts of a job whose tasks have not started. */
export const notRunCounts = (taskCount: number): TaskCounts => ({
	notRun: taskCount, completed: 0, failed: 0, unknown: 0,
});

/** Counts of a job for which it is unknown whether any task ran. */
export const unknownCounts = (taskCount: number): TaskCounts => ({
	notRun: 0, completed: 0, failed: 0, unknown: taskCount,
});

/** State of the job with a key; `unknown` if there is no record of the key. */
export type KeyStatus
	= | {kind: 'answered'; answer: JobAnswer}
		| {kind: 'running'}
		| {kind: 'unknown'};

/** Creates the answer to a failed job. */
export const createFailedAnswer = (key: string, failure: {code: FailureCode; message: string; step: string; peer: string}, notRun: boolean, tasks: TaskCounts): FailedAnswer => ({
	key,
	state: answerState.failed,
	failure: {
		code: failure.code,
		message: failure.message,
		step: failure.step,
		peer: failure.peer,
		notRun,
		tasks,
	},
});
