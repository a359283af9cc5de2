/** Outcomes that a dispatcher reports for a job. */
import {type CrashRecord} from './crash.js';

/** Kinds of outcome. */
export const outcomeKind = {
	completed: 'completed',
	/** A task failed as often as its route allows. */
	failed: 'failed',
	/** No task of the job has run or will run; the caller may submit it again later. */
	refused: 'refused',
	/** The dispatcher gave up the job, and some of its tasks may have run. */
	abandoned: 'abandoned',
	/** No task has run in this cell; another cell has free capacity for the job. */
	redirected: 'redirected',
	/** The dispatcher is shutting down; the cell's next dispatcher takes over the current runs. */
	released: 'released',
	/** A caller has cancelled the job; the stop of its runs is requested, and it must not be submitted again. */
	cancelled: 'cancelled',
} as const;

/** The outcome of a job, with the reason, the target cell, or the names of the completed tasks and what is known of the others. */
export type Outcome
	= | {kind: typeof outcomeKind.completed}
		| {kind: typeof outcomeKind.failed; reason: string}
		| {kind: typeof outcomeKind.refused; reason: string; retryAfterMs: number}
		| {kind: typeof outcomeKind.abandoned; reason: string}
		| {
			kind: typeof outcomeKind.redirected;
			cell: string;
			/** For how long the first copy of the job may be running there, in milliseconds; left out if this is the first, and by earlier builds. */
			mayRunForMs?: number;
		}
		| {
			kind: typeof outcomeKind.released;
			doneTasks: string[];
			crashes?: Readonly<Record<string, CrashRecord>>;
			/** Ids of the minions on which each task may be running, by the name of the task; left out if others may, and by earlier builds. */
			minionsByTask?: Readonly<Record<string, readonly string[]>>;
			/** Whether the dispatcher has not accepted the submission, so that it knows nothing of the job; left out if it has. */
			isUnaccepted?: boolean;
			/** Whether the job may be running in another cell, as this one was not told yet; left out if not, and by earlier builds. */
			hasUnknownHistory?: boolean;
		}
		| {kind: typeof outcomeKind.cancelled};

/** The outcome of a submission that a dispatcher which has released its cell does not accept. */
export const unaccepted = {
	kind: outcomeKind.released, doneTasks: [], minionsByTask: {}, isUnaccepted: true,
} satisfies Outcome;
