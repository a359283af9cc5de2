/** Commands that change the declarations, as they are stored in the log. */
import {nameSchema} from 'chivestream-settings';
import {z} from 'zod';
import {
	declarationsSchema, limitsSchema, quotaSchema, weightSchema,
} from './declarations-schema.js';

/** Kinds of records in the configuration stream. */
export const recordKind = {
	command: 'command',
	snapshot: 'snapshot',
} as const;

/** Kinds of changes. */
export const changeKind = {
	replace: 'replace',
	edit: 'edit',
	drain: 'drain',
	undrain: 'undrain',
	team: 'team',
	limits: 'limits',
} as const;

const maxIdLength = 128;
const maxPathLength = 256;
const maxDrainIds = 10_000;

const idsSchema = z.array(nameSchema).min(1).max(maxDrainIds);

const replaceSchema = z.strictObject({kind: z.literal(changeKind.replace), declarations: declarationsSchema});
const editSchema = z.strictObject({
	kind: z.literal(changeKind.edit),
	/** New or changed entries by path. */
	set: z.record(z.string().max(maxPathLength), z.unknown()),
	/** Paths of entries to remove. */
	remove: z.array(z.string().max(maxPathLength)),
});
const drainSchema = z.strictObject({kind: z.literal(changeKind.drain), ids: idsSchema});
const undrainSchema = z.strictObject({kind: z.literal(changeKind.undrain), ids: idsSchema});

const teamSchema = z.strictObject({
	kind: z.literal(changeKind.team),
	team: nameSchema,
	weight: weightSchema.optional(),
	maxTasksInFlight: quotaSchema.optional(),
});

const limitsChangeSchema = z.strictObject({
	kind: z.literal(changeKind.limits),
	limits: limitsSchema.partial(),
});

/** Schema of a change. */
export const changeSchema = z.discriminatedUnion('kind', [
	replaceSchema, editSchema, drainSchema, undrainSchema, teamSchema, limitsChangeSchema,
]);

/** One change of the declarations. */
export type Change = z.output<typeof changeSchema>;

/** Schema of a command. Its change is parsed separately, so that a command with a faulty change still gets a verdict. */
export const commandSchema = z.object({
	kind: z.literal(recordKind.command),
	commandId: z.string().min(1).max(maxIdLength),
	/** The command takes effect only while this version is current. */
	baseVersion: z.int().min(0),
	author: z.string().max(maxIdLength),
	change: z.unknown(),
});

/** A command as it is appended to the log. It takes effect only while `baseVersion` is the current version. */
export type Command = {
	kind: typeof recordKind.command;
	commandId: string;
	baseVersion: number;
	author: string;
	change: Change;
};
