/** HTTP status codes of answers. */
import {failureCode} from 'chivestream-core';
import {type Answer, type ErrorAnswer} from '../answers.js';
import {submissionOutcome} from '../source.js';

const statusByFailureCode: Partial<Record<string, number>> = {
	[failureCode.badRequest]: 400,
	[failureCode.unauthorized]: 401,
	[failureCode.keyUnknown]: 404,
	[failureCode.tooLarge]: 413,
	[failureCode.notReady]: 503,
	[failureCode.logUnavailable]: 503,
	[failureCode.timedOut]: 504,
};

const statusByOutcome = {
	[submissionOutcome.accepted]: 200,
	[submissionOutcome.beaten]: 409,
	[submissionOutcome.invalid]: 422,
	[submissionOutcome.unknown]: 503,
} as const;

const httpStatusOfError = (answer: ErrorAnswer): number => statusByFailureCode[answer.code] ?? 500;

/** Returns the HTTP status code of an answer. */
export const httpStatusOf = (answer: Answer): number => {
	if (answer.kind === 'error') {
		return httpStatusOfError(answer);
	}

	if (answer.kind === 'fault') {
		return 400;
	}

	return answer.kind === 'change' ? statusByOutcome[answer.outcome] : 200;
};
