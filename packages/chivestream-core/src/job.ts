/** Jobs, their tasks and their answers, as every part of the system passes them on. */
import {type FailureCode} from './failure.js';

/** Most tasks that one job may hold. */
export const maxTasksPerJob = 180;

/** One sub-second piece of work. Sizes are what the caller declares; they may be far off. */
export type Task = {
	payload: unknown;
	/** Declared run time in milliseconds. */
	declaredMs?: number;
	cores?: number;
	memoryMb?: number;
	accelerators?: number;
};

/** A submission. The key, team, upstream, flags and tasks identify its content; the deadline does not. */
export type Job = {
	key: string;
	team: string;
	upstream: string;
	isIdempotent: boolean;
	/** Time after which the answer is of no use, in milliseconds since the Unix epoch. */
	deadline: number;
	/** Time at which the caller made an opaque key, in milliseconds since the Unix epoch. */
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

/** How many tasks of a failed job ended in which way. */
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
	/** True only where it is known that no task of the job started. */
	notRun: boolean;
	tasks: TaskCounts;
};

/** States of a job's answer. */
export const answerState = {
	complete: 'complete',
	failed: 'failed',
} as const;

/** Every result of a complete job, in task order. */
export type CompleteAnswer = {
	key: string;
	state: typeof answerState.complete;
	results: unknown[];
};

/** A failed job: no result of any task. */
export type FailedAnswer = {
	key: string;
	state: typeof answerState.failed;
	failure: JobFailure;
};

/** The whole answer to a job: complete or failed, never partial. */
export type JobAnswer = CompleteAnswer | FailedAnswer;

/** Counts for a job of which nothing started. */
export const notRunCounts = (taskCount: number): TaskCounts => ({
	notRun: taskCount, completed: 0, failed: 0, unknown: 0,
});

/** Counts for a job about which nothing is known. */
export const unknownCounts = (taskCount: number): TaskCounts => ({
	notRun: 0, completed: 0, failed: 0, unknown: taskCount,
});

/** What is known of a key. */
export type KeyStatus
	= | {kind: 'answered'; answer: JobAnswer}
		| {kind: 'running'}
		| {kind: 'unknown'};

/** A failed answer. */
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
