/** Errors with a stable code, the operation that failed and the peer involved. */

/** Failure codes. Callers and operators receive them, so they must not change. */
export const failureCode = {
	badRequest: 'bad-request',
	tooLarge: 'too-large',
	unauthorized: 'unauthorized',
	unknownTeam: 'unknown-team',
	unknownUpstream: 'unknown-upstream',
	keyReused: 'key-reused',
	keyClosed: 'key-closed',
	keyUnknown: 'key-unknown',
	deadlinePassed: 'deadline-passed',
	deadlineUnreachable: 'deadline-unreachable',
	neverRunnable: 'never-runnable',
	overQuota: 'over-quota',
	overloaded: 'overloaded',
	draining: 'draining',
	notReady: 'not-ready',
	cancelled: 'cancelled',
	taskFailed: 'task-failed',
	taskUnknown: 'task-unknown',
	homeUnreachable: 'home-unreachable',
	homeLost: 'home-lost',
	logUnavailable: 'log-unavailable',
	conflict: 'conflict',
	timedOut: 'timed-out',
	connectionFailed: 'connection-failed',
	protocolError: 'protocol-error',
	settingsInvalid: 'settings-invalid',
	internal: 'internal',
} as const;

/** One of the stable failure codes. */
export type FailureCode = (typeof failureCode)[keyof typeof failureCode];

/** The operation that failed, and the peer with which it was carried out. */
export type FailureOrigin = {
	step: string;
	peer: string;
};

/** An error with a stable code and its origin. */
export class Failure extends Error {
	readonly code: FailureCode;
	readonly step: string;
	readonly peer: string;

	constructor(code: FailureCode, message: string, origin: FailureOrigin, options?: ErrorOptions) {
		super(message, options);
		this.name = 'Failure';
		this.code = code;
		this.step = origin.step;
		this.peer = origin.peer;
	}
}

/** Returns a `Failure` unchanged and wraps any other thrown value in one with the code `internal`. */
export const toFailure = (error: unknown, origin: FailureOrigin): Failure => {
	if (error instanceof Failure) {
		return error;
	}

	const message = error instanceof Error ? error.message : String(error);
	return new Failure(failureCode.internal, message, origin, {cause: error});
};
