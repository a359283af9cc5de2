/** One attempt to run one task on one upstream host, and its three possible outcomes. */
import {type Failure} from './failure.js';

/** How an attempt ended. Only `notStarted` may be sent elsewhere. */
export const attemptOutcome = {
	/** Refused before a byte was written, or by the upstream with a status that says so. */
	notStarted: 'not-started',
	/** Ran, and its result or its own error came back. */
	answered: 'answered',
	/** May or may not have run. */
	unknown: 'unknown',
} as const;

/** Identity of an attempt: what an answer must match to be taken. */
export type AttemptIdentity = {
	key: string;
	taskIndex: number;
	attempt: number;
};

/** The outcome of an attempt with what came back. */
export type AttemptResult
	= | {outcome: typeof attemptOutcome.notStarted; failure: Failure}
		| {outcome: typeof attemptOutcome.answered; isSuccess: true; result: unknown}
		| {outcome: typeof attemptOutcome.answered; isSuccess: false; failure: Failure}
		| {outcome: typeof attemptOutcome.unknown; failure: Failure};

/** Text form of an attempt's identity, sent to the upstream host and echoed by it. */
export const formatAttempt = (identity: AttemptIdentity): string =>
	`${identity.key}/${identity.taskIndex}/${identity.attempt}`;
