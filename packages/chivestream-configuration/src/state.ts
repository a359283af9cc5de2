/** What the fold over the configuration stream yields. */
import {type Configuration} from 'chivestream-core';
import {z} from 'zod';
import {declarationsSchema, emptyDeclarations} from './declarations-schema.js';

/** Verdicts on commands. */
export const verdictOutcome = {
	/** Took effect as `version`. */
	accepted: 'accepted',
	/** `version` had replaced the version that it builds on. */
	beaten: 'beaten',
	/** Not allowed, for the given reasons, while `version` was current. */
	invalid: 'invalid',
} as const;

/** Most verdicts that a state remembers. */
export const maxVerdicts = 1024;

const verdictSchema = z.strictObject({
	commandId: z.string(),
	/** Tells a repeated command from another one under the same id. */
	digest: z.string(),
	author: z.string(),
	/** Offset of the command's first record. */
	offset: z.int().min(0),
	outcome: z.enum(Object.values(verdictOutcome)),
	version: z.int().min(0),
	reasons: z.array(z.string()),
	summary: z.string(),
});

/** What became of one command. */
export type Verdict = z.output<typeof verdictSchema>;

/** The declarations in force at an offset with the verdicts on the last commands, oldest first. */
export type State = {
	configuration: Configuration;
	verdicts: Verdict[];
};

/** Schema of a state, for those that come from elsewhere. */
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

/** The verdict on a command, if it is among the last ones. */
export const findVerdict = (state: State, commandId: string): Verdict | undefined =>
	state.verdicts.findLast(verdict => verdict.commandId === commandId);
