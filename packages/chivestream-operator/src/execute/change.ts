/** Executes changes of the configuration: submits one compare-and-set to the log, then waits until the change is in force. */
import {randomUUID} from 'node:crypto';
import {type Clock, waitUntil} from 'chivestream-core';
import {type ChangeAnswer, type InForceStatus} from '../answers.js';
import {type Change} from '../language/syntax.js';
import {gatherRows} from '../peers/requests.js';
import {
	commandKind, type ConfigurationChange, type OperatorSource, type Submission, submissionOutcome,
} from '../source.js';
import {type ExecutionContext, requireConfiguration} from './context.js';

const pollIntervalMs = 100;
const roundTimeoutMs = 1000;

/** Converts a parsed statement to a configuration change. */
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

const fetchInForceStatus = async (source: OperatorSource, version: number, deadline: number, clock: Clock): Promise<InForceStatus> => {
	const {items, missing} = await gatherRows(source, 'configuration', deadline, clock);
	const versions = items.map(row => ({host: String(row.host), zone: String(row.zone), version: Number(row.version)}));
	return {
		hosts: versions.filter(host => host.version >= version),
		behind: versions.filter(host => host.version < version),
		missing,
	};
};

/** Polls all hosts until none that answers is behind, or until the deadline. */
const waitUntilInForce = async (source: OperatorSource, version: number, deadline: number, clock: Clock): Promise<InForceStatus> => {
	for (;;) {
		const roundDeadline = Math.min(deadline, clock.now() + roundTimeoutMs);
		// eslint-disable-next-line no-await-in-loop -- a round starts only when the previous one has left a host behind
		const inForce = await fetchInForceStatus(source, version, roundDeadline, clock);
		if (inForce.behind.length === 0 || clock.now() + pollIntervalMs >= deadline) {
			return inForce;
		}

		// eslint-disable-next-line no-await-in-loop -- rounds are sequential
		await waitUntil(clock, clock.now() + pollIntervalMs);
	}
};

const toChangeAnswerFields = (submission: Submission): Partial<ChangeAnswer> => {
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
	explicitBaseVersion?: number,
): Promise<ChangeAnswer> => {
	const {source, clock, request, deadline} = context;
	const commandId = request.commandId ?? randomUUID();
	const baseVersion = explicitBaseVersion ?? request.baseVersion ?? requireConfiguration(context).version;
	const submission = await source.submit({commandId, baseVersion, change}, deadline);
	const answer: ChangeAnswer = {
		kind: 'change', commandId, baseVersion, outcome: submission.outcome, ...toChangeAnswerFields(submission),
	};
	if (submission.outcome === submissionOutcome.accepted) {
		answer.inForce = await waitUntilInForce(source, submission.version, deadline, clock);
	}

	return answer;
};
