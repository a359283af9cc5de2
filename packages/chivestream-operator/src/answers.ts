/** Answers of the operators' service, as they go over the network. */
import {z} from 'zod';
import {rowSchema} from './peers/schemas.js';
import {submissionOutcome} from './source.js';

const missingSchema = z.object({host: z.string(), zone: z.string(), reason: z.string()});
const hostVersionSchema = z.object({host: z.string(), zone: z.string(), version: z.number()});

const rowsSchema = z.object({
	kind: z.literal('rows'),
	table: z.string(),
	/** When the query was evaluated. */
	at: z.number(),
	rows: z.array(rowSchema),
	/** Hosts that did not answer, or left something out. */
	missing: z.array(missingSchema),
});

/** How the cancellation of one job ended. */
export const cancellationOutcome = {
	cancelled: 'cancelled',
	/** The job's answer was already whole. */
	complete: 'complete',
	/** The job had failed for another reason. */
	failed: 'failed',
	unknownKey: 'unknown-key',
	/** The job's home did not answer. */
	unreachable: 'unreachable',
} as const;

const cancellationSchema = z.object({
	kind: z.literal('cancellation'),
	mode: z.enum(['cancel', 'stop']),
	jobs: z.array(z.object({
		key: z.string(),
		outcome: z.enum(Object.values(cancellationOutcome)),
		/** Why, where the job failed or its home did not answer. */
		reason: z.string().optional(),
	})),
	missing: z.array(missingSchema),
});

const differenceSchema = z.object({
	/** Path of the entry, such as `worker/lens/w1`. */
	path: z.string(),
	kind: z.enum(['added', 'removed', 'changed']),
	before: z.unknown().optional(),
	after: z.unknown().optional(),
});

const planSchema = z.object({
	kind: z.literal('plan'),
	/** The version that the plan builds on. */
	baseVersion: z.number(),
	offset: z.number(),
	differences: z.array(differenceSchema),
});

const inForceSchema = z.object({
	/** Hosts that have the version in force, or a later one. */
	hosts: z.array(hostVersionSchema),
	/** Hosts that answered and still have an earlier version. */
	behind: z.array(hostVersionSchema),
	missing: z.array(missingSchema),
});

const changeSchema = z.object({
	kind: z.literal('change'),
	commandId: z.string(),
	baseVersion: z.number(),
	outcome: z.enum(Object.values(submissionOutcome)),
	/** The version that the change made, or the one that beat it. */
	version: z.number().optional(),
	offset: z.number().optional(),
	/** The command that beat this one. */
	beatenBy: z.string().optional(),
	faults: z.array(z.string()).optional(),
	/** Why the outcome is unknown. */
	reason: z.string().optional(),
	inForce: inForceSchema.optional(),
});

const historySchema = z.object({
	kind: z.literal('history'),
	entries: z.array(z.object({
		version: z.number(),
		offset: z.number(),
		at: z.number().optional(),
		commandId: z.string(),
		summary: z.string(),
	})),
});

const faultSchema = z.object({
	kind: z.literal('fault'),
	message: z.string(),
	place: z.object({start: z.number(), end: z.number()}),
	expected: z.array(z.string()),
	/** The statement with a mark under the place. */
	text: z.string(),
});

const errorSchema = z.object({
	kind: z.literal('error'),
	code: z.string(),
	message: z.string(),
	step: z.string(),
	peer: z.string(),
});

/** Schema of every answer. */
export const answerSchema = z.discriminatedUnion('kind', [
	rowsSchema, cancellationSchema, planSchema, changeSchema, historySchema, faultSchema, errorSchema,
]);

/** An answer of the operators' service. */
export type Answer = z.output<typeof answerSchema>;

/** Rows of a query with the hosts that did not answer. */
export type RowsAnswer = z.output<typeof rowsSchema>;

/** What became of the jobs that were to be ended. */
export type CancellationAnswer = z.output<typeof cancellationSchema>;

/** What declarations would change against the configuration in force. */
export type PlanAnswer = z.output<typeof planSchema>;

/** One difference between two declarations. */
export type Difference = z.output<typeof differenceSchema>;

/** What became of a change of the configuration. */
export type ChangeAnswer = z.output<typeof changeSchema>;

/** Where a version is in force. */
export type InForce = z.output<typeof inForceSchema>;

/** Accepted changes, newest first. */
export type HistoryAnswer = z.output<typeof historySchema>;

/** A statement that could not be read. */
export type FaultAnswer = z.output<typeof faultSchema>;

/** A statement that could not be carried out. */
export type ErrorAnswer = z.output<typeof errorSchema>;

/** What an operator sends. */
export const requestSchema = z.strictObject({
	statement: z.string(),
	/** Text of the file that `plan` or `apply` names. */
	declarations: z.string().optional(),
	/** Makes a change idempotent; a new one is made when it is left out. */
	commandId: z.string().min(1).max(100).optional(),
	/** The version that a change builds on; the one in force when it is left out. */
	baseVersion: z.int().min(0).optional(),
});

/** What an operator sends. */
export type OperatorRequest = z.output<typeof requestSchema>;
