/** Executes `cancel` and `stop` for one job, or for all jobs that a query selects. */
import {
	answerState, type Failure, failureCode, type JobAnswer,
} from 'chivestream-core';
import {type Result} from 'ts-results-es';
import {type CancellationAnswer, cancellationOutcome} from '../answers.js';
import {type Cancellation} from '../language/syntax.js';
import {type GatheredResult} from '../peers/gather.js';
import {gatherRows} from '../peers/requests.js';
import {type ExecutionContext} from './context.js';

type JobCancellation = CancellationAnswer['jobs'][number];

const maxConcurrentCancellations = 64;

const toJobCancellation = (key: string, result: Result<JobAnswer | undefined, Failure>): JobCancellation => {
	if (result.isErr()) {
		const isUnknown = result.error.code === failureCode.keyUnknown;
		const outcome = isUnknown ? cancellationOutcome.unknownKey : cancellationOutcome.unreachable;
		return {key, outcome, reason: result.error.message};
	}

	const answer = result.value;
	if (!answer) {
		return {key, outcome: cancellationOutcome.unknownKey};
	}

	if (answer.state === answerState.complete) {
		return {key, outcome: cancellationOutcome.complete};
	}

	const {code, message} = answer.failure;
	return code === failureCode.cancelled
		? {key, outcome: cancellationOutcome.cancelled}
		: {key, outcome: cancellationOutcome.failed, reason: message};
};

const findJobKeys = async (context: ExecutionContext, {target}: Cancellation): Promise<GatheredResult<string>> => {
	if (target.kind === 'key') {
		return {items: [target.key.text], missing: []};
	}

	const {source, clock, deadline, request} = context;
	const statement = request.statement.slice(target.query.table.place.start);
	const {items, missing} = await gatherRows(source, statement, deadline, clock);
	return {items: items.map(row => String(row.key)), missing};
};

/** Cancels or stops the selected jobs, at most `maxConcurrentCancellations` at a time. */
export const executeCancellation = async (context: ExecutionContext, cancellation: Cancellation): Promise<CancellationAnswer> => {
	const {source, deadline} = context;
	const {mode} = cancellation;
	const {items: keys, missing} = await findJobKeys(context, cancellation);
	const jobs: JobCancellation[] = [];
	const pendingKeys = keys.values();
	const cancelPending = async (): Promise<void> => {
		for (const key of pendingKeys) {
			// eslint-disable-next-line no-await-in-loop -- each of the concurrent loops cancels one job at a time
			jobs.push(toJobCancellation(key, await source.cancel(key, mode, deadline)));
		}
	};

	await Promise.all(Array.from({length: Math.min(maxConcurrentCancellations, keys.length)}, cancelPending));
	return {
		kind: 'cancellation', mode, jobs, missing,
	};
};
