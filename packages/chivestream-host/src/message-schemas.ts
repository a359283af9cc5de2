/** Validates the messages of other hosts, which may run another build. */
import {
	outcomeKind, type CrashRecord, type MinionRecord, type Outcome, type Step,
} from 'chivestream-dispatch';
import {type Declarations} from 'chivestream-platform';
import {isReachableAddress} from 'chivestream-settings';
import {z} from 'zod';
import {cancelFinding} from './cancelled-jobs.js';
import {
	type HostRecord, type HostStatus, type JobMessage, type PeerReply, type PeerRequest,
} from './messages.js';

/** Schema of a host's record, in messages and in the store. */
export const hostRecordSchema: z.ZodType<HostRecord> = z.object({
	name: z.string(),
	zone: z.string(),
	address: z.string().refine(address => isReachableAddress(address)),
	bornAt: z.number(),
	cpuShare: z.number().positive(),
});

const isRecord = (value: unknown): value is Record<string, unknown> => typeof value === 'object' && value !== null;

const isCellClaim = (value: unknown): boolean =>
	isRecord(value) && Number.isInteger(value.cell) && Number(value.cell) >= 0 && typeof value.token === 'number' && typeof value.freeTasks === 'number'
	&& (value.asksForJobs === undefined || typeof value.asksForJobs === 'boolean');

/** Whether a value is a host's status. Written without a schema, since hosts exchange statuses all the time. */
const isHostStatus = (value: unknown): value is HostStatus =>
	isRecord(value) && Array.isArray(value.claims) && value.claims.every(claim => isCellClaim(claim))
	&& Number.isInteger(value.cellCount) && Number(value.cellCount) >= 1 && typeof value.isLeaving === 'boolean'
	&& typeof value.declarationsVersion === 'number' && Number(value.nextInMs) > 0
	&& (value.reachesStore === undefined || typeof value.reachesStore === 'boolean')
	&& (value.minionsFrom === undefined || typeof value.minionsFrom === 'string');

const hostStatusSchema = z.custom<HostStatus>(value => isHostStatus(value));

const stepSchema: z.ZodType<Step> = z.object({
	count: z.number().int().min(1),
	millicores: z.number(),
	memoryMb: z.number(),
	accelerators: z.number(),
	estimateMs: z.number(),
	dependsOn: z.array(z.number()),
	requiredLabel: z.string().optional(),
	preferredRack: z.string().optional(),
	maxPerMinion: z.number().optional(),
});

const crashRecordSchema: z.ZodType<CrashRecord> = z.object({
	incarnations: z.array(z.string()).min(1),
	wasAlone: z.boolean(),
	isSuspect: z.boolean(),
	isOnlySuspect: z.boolean(),
});

const crashesSchema = z.record(z.string(), crashRecordSchema);

const minionsByTaskSchema = z.record(z.string(), z.array(z.string()));

const jobMessageSchema: z.ZodType<JobMessage> = z.object({
	id: z.string(),
	cell: z.string(),
	claim: z.number().optional(),
	payload: z.string(),
	steps: z.array(stepSchema).min(1),
	route: z.string(),
	upstream: z.string(),
	priority: z.number(),
	maxAttempts: z.number(),
	objectiveInMs: z.number(),
	deadlineInMs: z.number(),
	submission: z.number().int().min(0),
	mayHaveRun: z.boolean(),
	doneTasks: z.array(z.string()).optional(),
	crashes: crashesSchema.optional(),
	previousSubmissions: z.array(z.object({
		claim: z.number(), leaseEndsInMs: z.number(), minionsByTask: minionsByTaskSchema.optional(),
	})).optional(),
	homeCell: z.string().optional(),
	hasUnknownHistory: z.boolean().optional(),
});

const outcomeSchema: z.ZodType<Outcome> = z.discriminatedUnion('kind', [
	z.object({kind: z.literal(outcomeKind.completed)}),
	z.object({kind: z.literal(outcomeKind.failed), reason: z.string()}),
	z.object({kind: z.literal(outcomeKind.refused), reason: z.string(), retryAfterMs: z.number()}),
	z.object({kind: z.literal(outcomeKind.abandoned), reason: z.string()}),
	z.object({kind: z.literal(outcomeKind.redirected), cell: z.string(), mayRunForMs: z.number().min(0).optional()}),
	z.object({
		kind: z.literal(outcomeKind.released),
		doneTasks: z.array(z.string()),
		crashes: crashesSchema.optional(),
		minionsByTask: minionsByTaskSchema.optional(),
		isUnaccepted: z.boolean().optional(),
		hasUnknownHistory: z.boolean().optional(),
	}),
	z.object({kind: z.literal(outcomeKind.cancelled)}),
]);

const declarationsSchema: z.ZodType<Declarations> = z.object({
	version: z.number(),
	maxBodyBytes: z.number(),
	routes: z.array(z.object({
		name: z.string(),
		host: z.string(),
		pathPrefix: z.string(),
		upstream: z.string(),
		priority: z.number(),
		maxAttempts: z.number(),
		stretch: z.number(),
		targetLatencyMs: z.number(),
		timeoutMs: z.number(),
		needsAdvice: z.boolean(),
	})),
});

const minionRecordSchema: z.ZodType<MinionRecord> = z.object({
	id: z.string(),
	bornAt: z.number(),
	upstream: z.string(),
	address: z.string().refine(address => isReachableAddress(address)),
	zone: z.string(),
	isDraining: z.boolean(),
	capacity: z.object({millicores: z.number(), memoryMb: z.number(), accelerators: z.number()}),
	labels: z.array(z.string()),
});

const cancelJobAnswerSchema = z.object({
	type: z.literal('cancel-job-answer'), request: z.number().int(), finding: z.enum(cancelFinding), isComplete: z.boolean(),
});

/** Schema of a message from the host that opened the stream. */
const peerRequestSchema: z.ZodType<PeerRequest> = z.discriminatedUnion('type', [
	z.object({type: z.literal('hello'), host: hostRecordSchema, status: hostStatusSchema}),
	z.object({type: z.literal('status'), status: hostStatusSchema}),
	z.object({type: z.literal('submit'), job: jobMessageSchema}),
	z.object({type: z.literal('cancel'), id: z.string()}),
	z.object({
		type: z.literal('cancel-job'), id: z.string(), request: z.number().int(), asksHosts: z.boolean(),
	}),
	cancelJobAnswerSchema,
]);

/** Schema of a message from the host that accepted the stream. */
const peerReplySchema: z.ZodType<PeerReply> = z.discriminatedUnion('type', [
	z.object({
		type: z.literal('hello'), host: hostRecordSchema, status: hostStatusSchema, hosts: z.array(hostRecordSchema),
	}),
	z.object({type: z.literal('status'), status: hostStatusSchema}),
	z.object({type: z.literal('dispatchers'), hosts: z.array(hostRecordSchema)}),
	z.object({
		type: z.literal('settled'), id: z.string(), submission: z.number(), outcome: outcomeSchema,
	}),
	z.object({
		type: z.literal('task-crashed'), id: z.string(), submission: z.number(), task: z.string(), crashes: crashRecordSchema,
	}),
	z.object({type: z.literal('declarations'), declarations: declarationsSchema}),
	z.object({type: z.literal('minions'), minions: z.array(minionRecordSchema), unregistered: z.array(minionRecordSchema).optional()}),
	z.object({
		type: z.literal('jobs-of-cell'), claim: z.number(), jobs: z.array(z.object({cell: z.string(), ids: z.array(z.string())})),
	}),
	z.object({type: z.literal('cancel-job'), id: z.string(), request: z.number().int()}),
	cancelJobAnswerSchema,
]);

const isStatusMessage = (message: unknown): message is {type: 'status'; status: HostStatus} =>
	isRecord(message) && message.type === 'status' && isHostStatus(message.status);

/** Returns a time that was added to a message; undefined if there is none. */
export const readTime = (value: unknown): number | undefined => typeof value === 'number' && Number.isFinite(value) ? value : undefined;

/** Validates a message from the host that opened the stream; throws if it is invalid. */
export const parsePeerRequest = (message: unknown): PeerRequest => isStatusMessage(message) ? message : peerRequestSchema.parse(message);

/** Validates a message from the host that accepted the stream; throws if it is invalid. */
export const parsePeerReply = (message: unknown): PeerReply => isStatusMessage(message) ? message : peerReplySchema.parse(message);
