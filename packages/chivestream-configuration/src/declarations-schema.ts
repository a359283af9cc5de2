/** Schemas of the declarations, with defaults; checks across fields are in `consistency-checks.ts`. */
import {maxTasksPerJob, preference, type Declarations} from 'chivestream-core';
import {durationMsSchema, nameSchema, reachableAddressSchema} from 'chivestream-settings';
import {z} from 'zod';
import {findConflicts} from './consistency-checks.js';

const maxSlots = 4096;
const maxCores = 4096;
const maxMemoryMb = 16_777_216;
const maxAccelerators = 1024;
const maxTasksInFlight = 10_000_000;
const defaultNotStartedStatus = 503;

const minionSchema = z.strictObject({
	id: nameSchema,
	zone: nameSchema,
	address: reachableAddressSchema,
	slots: z.int().min(1).max(maxSlots),
	connections: z.int().min(1).max(maxSlots),
});

const workerSchema = z.strictObject({
	id: nameSchema,
	zone: nameSchema,
	rack: nameSchema,
	address: reachableAddressSchema,
	cores: z.number().min(1).max(maxCores),
	memoryMb: z.int().min(1).max(maxMemoryMb),
	accelerators: z.int().min(0).max(maxAccelerators).default(0),
});

const upstreamSchema = z.strictObject({
	minions: z.array(minionSchema).default([]),
	workers: z.array(workerSchema).default([]),
	notStartedStatuses: z.array(z.int().min(400).max(599)).default([defaultNotStartedStatus]),
	preference: z.enum(Object.values(preference)).default(preference.responseTime),
});

/** Schema of the weight of a team: its share of the slots under contention, relative to other teams. */
export const weightSchema = z.number().min(0.01).max(1000);

/** Schema of the quota of a team, in tasks in flight over all entry hosts. */
export const quotaSchema = z.int().min(1).max(maxTasksInFlight);

const teamSchema = z.strictObject({
	weight: weightSchema.default(1),
	maxTasksInFlight: quotaSchema,
});

const objectiveSchema = z.strictObject({
	name: nameSchema,
	upstream: nameSchema,
	team: nameSchema,
	targetMs: durationMsSchema,
	goal: z.number().gt(0).lt(1),
});

/** Schema of the limits for every job, without defaults. */
export const limitsSchema = z.strictObject({
	maxTasksPerJob: z.int().min(1).max(maxTasksPerJob),
	maxDeadlineMs: durationMsSchema,
	retryRatio: z.number().min(0).max(1),
});

/** Limits that apply where the declarations set none. */
export const defaultLimits = {
	maxTasksPerJob,
	maxDeadlineMs: 60_000,
	retryRatio: 0.1,
} as const;

const {shape: limitShape} = limitsSchema;

const limitsWithDefaultsSchema = z.strictObject({
	maxTasksPerJob: limitShape.maxTasksPerJob.default(defaultLimits.maxTasksPerJob),
	maxDeadlineMs: limitShape.maxDeadlineMs.default(defaultLimits.maxDeadlineMs),
	retryRatio: limitShape.retryRatio.default(defaultLimits.retryRatio),
});

const drainsSchema = z.array(nameSchema);

const fieldsSchema = z.strictObject({
	upstreams: z.record(nameSchema, upstreamSchema).default({}),
	teams: z.record(nameSchema, teamSchema).default({}),
	drains: drainsSchema.default([]),
	limits: limitsWithDefaultsSchema.prefault({}),
	objectives: z.array(objectiveSchema).default([]),
});

const checkConflicts = (value: Declarations, issues: z.core.$ZodRawIssue[]): void => {
	for (const {path, found, allowed, fix} of findConflicts(value)) {
		issues.push({
			code: 'custom', input: found, path, message: allowed, params: {fix},
		});
	}
};

/** Schema of complete declarations, including the consistency checks. */
export const declarationsSchema = fieldsSchema.check(({value, issues}) => {
	checkConflicts(value, issues);
});

/** Schema of a declarations file, which may omit `drains` when operators manage them by commands. */
export const declarationsFileSchema = fieldsSchema.extend({drains: drainsSchema.optional()}).check(({value, issues}) => {
	checkConflicts({...value, drains: value.drains ?? []}, issues);
});

/** Declarations of a deployment before its first command. */
export const emptyDeclarations: Declarations = {
	upstreams: {},
	teams: {},
	drains: [],
	limits: defaultLimits,
	objectives: [],
};
