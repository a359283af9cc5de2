/** Decides whether an answered job counts for or against an objective. */
import {
	answerState, type FailureCode, failureCode, type JobAnswer,
} from 'chivestream-core';

/** How a job counts for an objective. */
export const verdict = {
	good: 'good',
	bad: 'bad',
	/** It is unknown whether all tasks of the job ran. */
	unknown: 'unknown',
} as const;

/** One of the verdicts. */
export type Verdict = (typeof verdict)[keyof typeof verdict];

/** Failures caused by the request itself or by a cancellation. They don't reflect the quality of the service. */
const excludedFailures = new Set<FailureCode>([
	failureCode.badRequest,
	failureCode.tooLarge,
	failureCode.unauthorized,
	failureCode.unknownTeam,
	failureCode.unknownUpstream,
	failureCode.keyReused,
	failureCode.keyClosed,
	failureCode.keyUnknown,
	failureCode.deadlinePassed,
	failureCode.neverRunnable,
	failureCode.cancelled,
]);

/** Returns how a job counts that was answered after `elapsedMs`, with a target of `targetMs`; undefined if the job doesn't count. */
export const classifyAnswer = (answer: JobAnswer, elapsedMs: number, targetMs: number): Verdict | undefined => {
	if (answer.state === answerState.complete) {
		return elapsedMs <= targetMs ? verdict.good : verdict.bad;
	}

	const {code, tasks} = answer.failure;
	if (excludedFailures.has(code)) {
		return undefined;
	}

	return tasks.unknown > 0 ? verdict.unknown : verdict.bad;
};
