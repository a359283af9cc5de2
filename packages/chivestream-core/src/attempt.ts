/** Attempts to run a task on an upstream host, and their three possible outcomes. */
import {type Failure} from './failure.js';

/** Outcomes of an attempt. A task may be sent to another upstream host only after `notStarted`. */
export const attemptOutcome = {
	/** Failed before a byte was written, or refused by the upstream with a status that means "not started". */
	notStarted: 'not-started',
	/** The task ran, and its result or its error was received. */
	answered: 'answered',
	/** The task may or may not have run. */
	unknown: 'unknown',
} as const;

/** Identity of an attempt; an answer is accepted only if its identity matches. */
export type AttemptIdentity = {
	/** Key of the job. */
	key: string;
	taskIndex: number;
	attempt: number;
};

/** The outcome of an attempt, with the task's result or the failure. */
export type AttemptResult
	= | {outcome: typeof attemptOutcome.notStarted; failure: Failure}
		| {outcome: typeof attemptOutcome.answered; isSuccess: true; result: unknown}
		| {outcome: typeof attemptOutcome.answered; isSuccess: false; failure: Failure}
		| {outcome: typeof attemptOutcome.unknown; failure: Failure};

/** Formats an attempt's identity, which is sent to the upstream host and echoed by it. */
export const formatAttempt = (identity: AttemptIdentity): string =>
	`${identity.key}/${identity.taskIndex}/${identity.attempt}`;
