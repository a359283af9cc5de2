/** The fold over the configuration stream; it is deterministic, so every host that reads the same records computes the same state. */
import {digestText} from 'chivestream-core';
import {type StreamRecord} from 'chivestream-log';
import {type z} from 'zod';
import {applyChange, parseChange, summarizeChange} from './change.js';
import {commandSchema} from './command.js';
import {
	findVerdict, maxVerdicts, type State, type Verdict, verdictOutcome,
} from './state.js';

/** Applies the next record to a state. */
export type Fold = (state: State, record: StreamRecord) => State;

type ParsedCommand = z.output<typeof commandSchema>;

/** Digest of a command's content, which distinguishes a repeated command from another one with the same id. */
export const digestCommand = ({baseVersion, author, change}: Omit<ParsedCommand, 'kind' | 'commandId'>): string =>
	digestText(JSON.stringify([baseVersion, author, change]));

const appendVerdict = (state: State, verdict: Verdict): Verdict[] =>
	[...state.verdicts.slice(state.verdicts.length >= maxVerdicts ? 1 : 0), verdict];

const applyCommand = (state: State, command: ParsedCommand, offset: number): State => {
	const {version, declarations} = state.configuration;
	const verdict = {
		commandId: command.commandId,
		digest: digestCommand(command),
		author: command.author,
		offset,
		version,
		reasons: [],
		summary: '',
	};
	const refuseCommand = (refusal: Pick<Verdict, 'outcome'> & Partial<Verdict>): State => ({
		configuration: {version, offset, declarations},
		verdicts: appendVerdict(state, {...verdict, ...refusal}),
	});
	const change = parseChange(command.change);
	if (change.isErr()) {
		return refuseCommand({outcome: verdictOutcome.invalid, reasons: change.error});
	}

	const summary = summarizeChange(change.value);
	if (command.baseVersion > version) {
		const reasons = [`baseVersion: version ${command.baseVersion} does not exist yet`];
		return refuseCommand({outcome: verdictOutcome.invalid, reasons, summary});
	}

	if (command.baseVersion < version) {
		return refuseCommand({outcome: verdictOutcome.beaten, version: command.baseVersion + 1, summary});
	}

	const changed = applyChange(declarations, change.value);
	if (changed.isErr()) {
		return refuseCommand({outcome: verdictOutcome.invalid, reasons: changed.error, summary});
	}

	const accepted = {
		...verdict, outcome: verdictOutcome.accepted, version: version + 1, summary,
	};
	return {
		configuration: {version: version + 1, offset, declarations: changed.value},
		verdicts: appendVerdict(state, accepted),
	};
};

/**
Applies the next record to a state. A command takes effect only if the version that it builds on is current at this record.
Commands whose id already has a verdict and records of other kinds only advance the offset.
*/
export const applyRecord: Fold = (state, {offset, value}) => {
	const command = commandSchema.safeParse(value);
	if (!command.success || findVerdict(state, command.data.commandId)) {
		return {...state, configuration: {...state.configuration, offset}};
	}

	return applyCommand(state, command.data, offset);
};
