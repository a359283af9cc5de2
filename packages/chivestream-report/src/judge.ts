/** Whether the end of a job counts for or against an objective. */
import {
	answerState, type FailureCode, failureCode, type JobAnswer,
} from 'chivestream-core';

/** How a job counts. */
export const verdict = {
	good: 'good',
	bad: 'bad',
	/** It is not known whether all of its tasks ran. */
	unknown: 'unknown',
} as const;

/** One of the ways in which a job counts. */
export type Verdict = (typeof verdict)[keyof typeof verdict];

/** Failures that the caller or the owner asked for: they say nothing about the service. */
const uncounted = new Set<FailureCode>([
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

/** How a job counts that ended with the answer after the given time; undefined where it does not count. */
export const judgeAnswer = (answer: JobAnswer, elapsedMs: number, targetMs: number): Verdict | undefined => {
	if (answer.state === answerState.complete) {
		return elapsedMs <= targetMs ? verdict.good : verdict.bad;
	}

	const {code, tasks} = answer.failure;
	if (uncounted.has(code)) {
		return undefined;
	}

	return tasks.unknown > 0 ? verdict.unknown : verdict.bad;
};
