/** Maps failure codes to HTTP statuses. */
import {failureCode, type FailureCode} from 'chivestream-core';

const statusByCode: Record<FailureCode, number> = {
	[failureCode.badRequest]: 400,
	[failureCode.settingsInvalid]: 400,
	[failureCode.unauthorized]: 401,
	[failureCode.unknownTeam]: 404,
	[failureCode.unknownUpstream]: 404,
	[failureCode.keyUnknown]: 404,
	[failureCode.keyReused]: 409,
	[failureCode.conflict]: 409,
	[failureCode.cancelled]: 409,
	[failureCode.keyClosed]: 410,
	[failureCode.homeLost]: 410,
	[failureCode.tooLarge]: 413,
	[failureCode.neverRunnable]: 422,
	[failureCode.overQuota]: 429,
	[failureCode.overloaded]: 429,
	[failureCode.deadlineUnreachable]: 429,
	[failureCode.internal]: 500,
	[failureCode.taskFailed]: 502,
	[failureCode.taskUnknown]: 502,
	[failureCode.protocolError]: 502,
	[failureCode.connectionFailed]: 502,
	[failureCode.draining]: 503,
	[failureCode.notReady]: 503,
	[failureCode.homeUnreachable]: 503,
	[failureCode.logUnavailable]: 503,
	[failureCode.deadlinePassed]: 504,
	[failureCode.timedOut]: 504,
};

/** The HTTP status of a response that reports a failure with this code. */
export const httpStatusOf = (code: FailureCode): number => statusByCode[code];
