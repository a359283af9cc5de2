/** Carries out changes of the configuration: one compare-and-set on the log, then waiting until it is in force. */
import {randomUUID} from 'node:crypto';
import {type Clock, waitUntil} from 'chivestream-core';
import {type ChangeAnswer, type InForce} from '../answers.js';
import {type Change} from '../language/syntax.js';
import {gatherRows} from '../peers/requests.js';
import {
	commandKind, type ConfigurationChange, type OperatorSource, type Submission, submissionOutcome,
} from '../source.js';
import {type ExecutionContext, requireConfiguration} from './context.js';

const pollMs = 100;
const askMs = 1000;

/** The configuration command that a statement means. */
export const toConfigurationChange = (change: Change): ConfigurationChange => {
	switch (change.kind) {
		case 'drain':
		case 'undrain': {
			return {kind: commandKind[change.kind], id: change.id.text};
		}

		case 'limit': {
			const {name, value} = change;
			return {kind: commandKind.limit, name: name.text, value: value.kind === 'span' ? value.spanMs : Number(value.text)};
		}

		case 'quota': {
			return {kind: commandKind.quota, team: change.team.text, maxTasksInFlight: change.count};
		}

		case 'weight': {
			return {kind: commandKind.weight, team: change.team.text, weight: change.weight};
		}

		case 'rollback': {
			return {kind: commandKind.rollback, version: change.version};
		}
	}
};

const readInForce = async (source: OperatorSource, version: number, deadline: number, clock: Clock): Promise<InForce> => {
	const {items, missing} = await gatherRows(source, 'configuration', deadline, clock);
	const versions = items.map(row => ({host: String(row.host), zone: String(row.zone), version: Number(row.version)}));
	return {
		hosts: versions.filter(host => host.version >= version),
		behind: versions.filter(host => host.version < version),
		missing,
	};
};

/** Asks all hosts again and again until none that answers is behind, or until the deadline. */
const waitInForce = async (source: OperatorSource, version: number, deadline: number, clock: Clock): Promise<InForce> => {
	for (;;) {
		const askDeadline = Math.min(deadline, clock.now() + askMs);
		// eslint-disable-next-line no-await-in-loop -- each round needs the answer of the one before
		const inForce = await readInForce(source, version, askDeadline, clock);
		if (inForce.behind.length === 0 || clock.now() + pollMs >= deadline) {
			return inForce;
		}

		// eslint-disable-next-line no-await-in-loop -- waits between two rounds
		await waitUntil(clock, clock.now() + pollMs);
	}
};

const describeSubmission = (submission: Submission): Partial<ChangeAnswer> => {
	switch (submission.outcome) {
		case submissionOutcome.accepted: {
			return {version: submission.version, offset: submission.offset};
		}

		case submissionOutcome.beaten: {
			return {version: submission.version, beatenBy: submission.commandId};
		}

		case submissionOutcome.invalid: {
			return {faults: submission.faults};
		}

		case submissionOutcome.unknown: {
			return {reason: submission.failure.message};
		}
	}
};

/** Submits a change and, once it is accepted, waits until it is in force on every host that answers. */
export const executeChange = async (
	context: ExecutionContext,
	change: ConfigurationChange,
	statedBaseVersion?: number,
): Promise<ChangeAnswer> => {
	const {source, clock, request, deadline} = context;
	const commandId = request.commandId ?? randomUUID();
	const baseVersion = statedBaseVersion ?? request.baseVersion ?? requireConfiguration(context).version;
	const submission = await source.submit({commandId, baseVersion, change}, deadline);
	const answer: ChangeAnswer = {
		kind: 'change', commandId, baseVersion, outcome: submission.outcome, ...describeSubmission(submission),
	};
	if (submission.outcome === submissionOutcome.accepted) {
		answer.inForce = await waitInForce(source, submission.version, deadline, clock);
	}

	return answer;
};
