/** Exit codes of the program. */
import {failureCode} from 'chivestream-core';
import {
	type Answer, type CancellationAnswer, cancellationOutcome, type ChangeAnswer, type ErrorAnswer,
} from '../answers.js';
import {submissionOutcome} from '../source.js';

/** The program's exit codes. */
export const exitCode = {
	/** The statement was executed, and every host answered. */
	done: 0,
	/** An unexpected error occurred. */
	internal: 1,
	/** The command line or the statement can't be parsed, or a file can't be read. */
	usage: 2,
	/** The statement was executed on the hosts that answered; the answer lists the others. */
	incomplete: 3,
	/** Another change was accepted first; the answer contains its version. */
	beaten: 4,
	/** The declarations or the change are not valid. */
	invalid: 5,
	/** It is unknown whether the change took effect. It can be sent again with the same command id. */
	unknown: 6,
	/** No entry host could be reached, or the host that answered isn't ready, timed out or can't reach the log. */
	unreachable: 7,
	/** The token is missing or wrong. */
	unauthorized: 8,
	/** No job with the key exists. */
	notFound: 9,
} as const;

/** One of the exit codes. */
export type ExitCode = (typeof exitCode)[keyof typeof exitCode];

const exitCodeByOutcome = {
	[submissionOutcome.accepted]: exitCode.done,
	[submissionOutcome.beaten]: exitCode.beaten,
	[submissionOutcome.invalid]: exitCode.invalid,
	[submissionOutcome.unknown]: exitCode.unknown,
} as const;

const exitCodeByFailureCode: Partial<Record<string, ExitCode>> = {
	[failureCode.badRequest]: exitCode.usage,
	[failureCode.tooLarge]: exitCode.usage,
	[failureCode.unauthorized]: exitCode.unauthorized,
	[failureCode.keyUnknown]: exitCode.notFound,
	[failureCode.logUnavailable]: exitCode.unreachable,
	[failureCode.notReady]: exitCode.unreachable,
	[failureCode.timedOut]: exitCode.unreachable,
	[failureCode.connectionFailed]: exitCode.unreachable,
};

const exitCodeOfError = (answer: ErrorAnswer): ExitCode => exitCodeByFailureCode[answer.code] ?? exitCode.internal;

const exitCodeOfChange = (answer: ChangeAnswer): ExitCode => {
	const {outcome, inForce} = answer;
	const isIncomplete = inForce !== undefined && inForce.missing.length + inForce.behind.length > 0;
	return isIncomplete ? exitCode.incomplete : exitCodeByOutcome[outcome];
};

const exitCodeOfCancellation = ({jobs, missing}: CancellationAnswer): ExitCode => {
	if (missing.length > 0 || jobs.some(job => job.outcome === cancellationOutcome.unreachable)) {
		return exitCode.incomplete;
	}

	return jobs.some(job => job.outcome === cancellationOutcome.unknownKey) ? exitCode.notFound : exitCode.done;
};

/** Returns the exit code for the answer to a statement. */
export const exitCodeOfAnswer = (answer: Answer): ExitCode => {
	switch (answer.kind) {
		case 'rows': {
			return answer.missing.length > 0 ? exitCode.incomplete : exitCode.done;
		}

		case 'cancellation': {
			return exitCodeOfCancellation(answer);
		}

		case 'change': {
			return exitCodeOfChange(answer);
		}

		case 'fault': {
			return exitCode.usage;
		}

		case 'error': {
			return exitCodeOfError(answer);
		}

		case 'plan':
		case 'history': {
			return exitCode.done;
		}
	}
};
