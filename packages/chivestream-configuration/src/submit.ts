/** Submits a command to the log and determines its outcome, also when the reply to an append was lost. */
import {
	type Clock, Failure, failureCode, type Random,
} from 'chivestream-core';
import {type Stream} from 'chivestream-log';
import {retryDeadline} from './backoff.js';
import {parseChange} from './change.js';
import {type Command, commandSchema} from './command.js';
import {digestCommand} from './fold.js';
import {type Follower} from './follower.js';
import {findVerdict, type Verdict} from './state.js';

/** Outcomes of a submission without a verdict. */
export const submissionOutcome = {
	/** The command was not appended, or its id belongs to another command. */
	refused: 'refused',
	/** The command may have taken effect or may still do so; the same command may be submitted again. */
	unknown: 'unknown',
} as const;

/** The result of a submission: a verdict, or the failure that prevented one. */
export type Submission
	= | {outcome: Verdict['outcome']; verdict: Verdict; currentVersion: number}
		| {outcome: typeof submissionOutcome[keyof typeof submissionOutcome]; failure: Failure};

/** Dependencies of a submission. */
export type SubmitOptions = {
	stream: Stream;
	follower: Follower;
	clock: Clock;
	random: Random;
	/** Whether an append is repeated after a failure; always, by default. */
	canRetryAppend?: (failure: Failure) => boolean;
};

const origin = {step: 'submit-command', peer: 'configuration'} as const;

const createRefusal = (code: Failure['code'], message: string): Submission => ({
	outcome: submissionOutcome.refused,
	failure: new Failure(code, message, origin),
});

const createSubmission = (verdict: Verdict, digest: string, follower: Follower): Submission => {
	if (verdict.digest !== digest) {
		const message = `command id "${verdict.commandId}" was used for another command; choose a new one`;
		return createRefusal(failureCode.keyReused, message);
	}

	return {outcome: verdict.outcome, verdict, currentVersion: follower.held.configuration.version};
};

/** Appends until the follower holds a verdict. The fold ignores repeated commands, so a failed append can safely be repeated. */
const appendUntilVerdict = async (
	{stream, follower, clock, random, canRetryAppend = () => true}: SubmitOptions,
	command: Command,
	deadline: number,
): Promise<{verdict: Verdict | undefined; lastFailure: Failure | undefined}> => {
	let failures = 0;
	let lastFailure: Failure | undefined;
	let verdict = findVerdict(follower.held, command.commandId);
	while (verdict === undefined && clock.now() < deadline) {
		// eslint-disable-next-line no-await-in-loop
		const appended = await stream.append(command);
		if (appended.isOk()) {
			follower.acceptRecords([{offset: appended.value, at: clock.now(), value: command}]);
		} else {
			failures += 1;
			lastFailure = appended.error;
			if (!canRetryAppend(lastFailure)) {
				break;
			}
		}

		const waitDeadline = appended.isOk() ? deadline : Math.min(deadline, retryDeadline(clock.now(), failures, random));
		// eslint-disable-next-line no-await-in-loop
		verdict = await follower.waitForVerdict(command.commandId, waitDeadline);
	}

	return {verdict, lastFailure};
};

/**
Submits a command until a deadline, in milliseconds since the Unix epoch. The same command, with the same id, may be
submitted any number of times through any host: it takes effect at most once.
*/
export const submitCommand = async (options: SubmitOptions, command: Command, deadline: number): Promise<Submission> => {
	const identity = commandSchema.safeParse(command);
	const change = parseChange(command.change);
	if (!identity.success || change.isErr()) {
		const reasons = change.isErr() ? change.error : identity.error?.issues.map(issue => issue.message) ?? [];
		return createRefusal(failureCode.badRequest, `the command is not well formed: ${reasons.join('; ')}`);
	}

	const {verdict, lastFailure} = await appendUntilVerdict(options, command, deadline);
	if (verdict) {
		return createSubmission(verdict, digestCommand(command), options.follower);
	}

	const reason = lastFailure ? `${lastFailure.message} (${lastFailure.step} at ${lastFailure.peer})` : 'it was not read back';
	const message = `no verdict on the command before the deadline: ${reason}; submit it again with the same id`;
	const failure = new Failure(failureCode.timedOut, message, origin, {cause: lastFailure});
	return {outcome: submissionOutcome.unknown, failure};
};
