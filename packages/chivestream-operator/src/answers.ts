/** Schemas of the requests and answers of the operators' service. Times are milliseconds since the Unix epoch. */
import {z} from 'zod';
import {rowSchema} from './peers/schemas.js';
import {submissionOutcome} from './source.js';

const missingHostSchema = z.object({host: z.string(), zone: z.string(), reason: z.string()});
const hostVersionSchema = z.object({host: z.string(), zone: z.string(), version: z.number()});

const rowsSchema = z.object({
	kind: z.literal('rows'),
	table: z.string(),
	/** Time at which the query was evaluated. */
	at: z.number(),
	rows: z.array(rowSchema),
	/** Hosts that did not answer, or that omitted rows. */
	missing: z.array(missingHostSchema),
});

/** Outcomes of the cancellation of one job. */
export const cancellationOutcome = {
	cancelled: 'cancelled',
	/** The job had already completed. */
	complete: 'complete',
	/** The job had failed for another reason. */
	failed: 'failed',
	unknownKey: 'unknown-key',
	/** The job's home host did not answer. */
	unreachable: 'unreachable',
} as const;

const cancellationSchema = z.object({
	kind: z.literal('cancellation'),
	mode: z.enum(['cancel', 'stop']),
	jobs: z.array(z.object({
		key: z.string(),
		outcome: z.enum(Object.values(cancellationOutcome)),
		/** Why the job failed, or why its home host did not answer. */
		reason: z.string().optional(),
	})),
	missing: z.array(missingHostSchema),
});

const differenceSchema = z.object({
	/** Path of the declaration, such as `worker/lens/w1`. */
	path: z.string(),
	kind: z.enum(['added', 'removed', 'changed']),
	before: z.unknown().optional(),
	after: z.unknown().optional(),
});

const planSchema = z.object({
	kind: z.literal('plan'),
	/** The version that the file was compared with. */
	baseVersion: z.number(),
	offset: z.number(),
	differences: z.array(differenceSchema),
});

const inForceSchema = z.object({
	/** Hosts on which the version, or a later one, is in force. */
	hosts: z.array(hostVersionSchema),
	/** Hosts that answered but still have an earlier version in force. */
	behind: z.array(hostVersionSchema),
	missing: z.array(missingHostSchema),
});

const changeSchema = z.object({
	kind: z.literal('change'),
	commandId: z.string(),
	baseVersion: z.number(),
	outcome: z.enum(Object.values(submissionOutcome)),
	/** The version that the change created or, if it was beaten, the version in force instead. */
	version: z.number().optional(),
	offset: z.number().optional(),
	/** Id of the command that was accepted instead of this one. */
	beatenBy: z.string().optional(),
	faults: z.array(z.string()).optional(),
	/** Why it is unknown whether the change was accepted. */
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
	/** The fault as text, with a marker under the place. */
	text: z.string(),
});

const errorSchema = z.object({
	kind: z.literal('error'),
	code: z.string(),
	message: z.string(),
	step: z.string(),
	peer: z.string(),
});

/** Schema of an answer of any kind. */
export const answerSchema = z.discriminatedUnion('kind', [
	rowsSchema, cancellationSchema, planSchema, changeSchema, historySchema, faultSchema, errorSchema,
]);

/** The answer to a statement; `kind` tells the types apart. */
export type Answer = z.output<typeof answerSchema>;

/** The rows that a query selects, and the hosts that did not answer. */
export type RowsAnswer = z.output<typeof rowsSchema>;

/** The outcome of `cancel` or `stop` for each selected job. */
export type CancellationAnswer = z.output<typeof cancellationSchema>;

/** The differences between a declarations file and the configuration in force. */
export type PlanAnswer = z.output<typeof planSchema>;

/** One declaration that differs between two configurations. */
export type Difference = z.output<typeof differenceSchema>;

/** The outcome of a change of the configuration. */
export type ChangeAnswer = z.output<typeof changeSchema>;

/** The hosts on which a version is in force, and those on which it is not. */
export type InForceStatus = z.output<typeof inForceSchema>;

/** Accepted changes of the configuration, newest first. */
export type HistoryAnswer = z.output<typeof historySchema>;

/** A syntax error or an invalid name or value in a statement. */
export type FaultAnswer = z.output<typeof faultSchema>;

/** A failure while a valid statement was executed. */
export type ErrorAnswer = z.output<typeof errorSchema>;

/** Schema of a request of an operator. */
export const requestSchema = z.strictObject({
	statement: z.string(),
	/** Content of the file that `plan` or `apply` names. */
	declarations: z.string().optional(),
	/** Makes a change idempotent; a new id is generated by default. */
	commandId: z.string().min(1).max(100).optional(),
	/** The version that a change is based on; the version in force by default. */
	baseVersion: z.int().min(0).optional(),
});

/** A request of an operator. */
export type OperatorRequest = z.output<typeof requestSchema>;
