/** Schema of what the operators' service exports at `GET /v1/histograms`. */
import {z} from 'zod';

const objectiveSchema = z.object({
	name: z.string(),
	upstream: z.string(),
	team: z.string(),
	targetMs: z.number(),
	goal: z.number(),
});

const bucketSchema = z.object({
	start: z.number(),
	good: z.int(),
	bad: z.int(),
	unknown: z.int(),
	histogram: z.string(),
});

/** What one host has recorded. */
export const hostHistorySchema = z.object({
	host: z.string(),
	zone: z.string(),
	since: z.number(),
	at: z.number(),
	from: z.number(),
	objectives: z.array(z.object({objective: objectiveSchema, buckets: z.array(bucketSchema)})),
});

/** What all hosts have recorded, and those that did not answer. */
export const exportSchema = z.object({
	kind: z.literal('histograms'),
	hosts: z.array(hostHistorySchema),
	missing: z.array(z.object({host: z.string(), zone: z.string(), reason: z.string()})),
});

/** What all hosts have recorded, and those that did not answer. */
export type HistoryExport = z.output<typeof exportSchema>;
