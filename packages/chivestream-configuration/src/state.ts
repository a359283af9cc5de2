/** State that the fold over the configuration stream computes. */
import {type Configuration} from 'chivestream-core';
import {z} from 'zod';
import {declarationsSchema, emptyDeclarations} from './declarations-schema.js';

/** Outcomes of commands. */
export const verdictOutcome = {
	/** The command took effect and created `version`. */
	accepted: 'accepted',
	/** The command was superseded: `version` had already replaced the version that it builds on. */
	beaten: 'beaten',
	/** The command is malformed or not allowed, for the given reasons; `version` was current. */
	invalid: 'invalid',
} as const;

/** Maximum number of verdicts that a state keeps; the oldest are dropped. */
export const maxVerdicts = 1024;

const verdictSchema = z.strictObject({
	commandId: z.string(),
	/** Digest of the command, which distinguishes a repeated command from another one with the same id. */
	digest: z.string(),
	author: z.string(),
	/** Offset of the command's first record. */
	offset: z.int().min(0),
	outcome: z.enum(Object.values(verdictOutcome)),
	version: z.int().min(0),
	reasons: z.array(z.string()),
	summary: z.string(),
});

/** The outcome of one command, recorded when the fold reads it. */
export type Verdict = z.output<typeof verdictSchema>;

/** The configuration after the record at `configuration.offset` and the verdicts on the latest commands, oldest first. */
export type State = {
	configuration: Configuration;
	verdicts: Verdict[];
};

/** Schema of a state, for states received from peers or restored from snapshots. */
export const stateSchema = z.strictObject({
	configuration: z.strictObject({
		version: z.int().min(0),
		offset: z.int().min(-1),
		declarations: declarationsSchema,
	}),
	verdicts: z.array(verdictSchema).max(maxVerdicts),
});

/** The state before the first record. */
export const initialState: State = {
	configuration: {version: 0, offset: -1, declarations: emptyDeclarations},
	verdicts: [],
};

/** The verdict on a command; undefined if it has none or its verdict was dropped. */
export const findVerdict = (state: State, commandId: string): Verdict | undefined =>
	state.verdicts.findLast(verdict => verdict.commandId === commandId);
