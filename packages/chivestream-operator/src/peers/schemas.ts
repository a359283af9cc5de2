/** Schemas of what entry hosts answer to one another. */
import {z} from 'zod';

/** A cell of a row. */
export const cellSchema = z.union([z.string(), z.number(), z.boolean(), z.array(z.string())]);

/** A row by column names. */
export const rowSchema = z.record(z.string(), cellSchema);

/** What a host has recorded about its objectives. */
export const historySchema = z.object({
	host: z.string(),
	zone: z.string(),
	since: z.number(),
	at: z.number(),
	from: z.number(),
	objectives: z.array(z.object({
		objective: z.string(),
		buckets: z.array(z.object({
			start: z.number(),
			good: z.int(),
			bad: z.int(),
			unknown: z.int(),
			histogram: z.string(),
		})),
	})),
});
