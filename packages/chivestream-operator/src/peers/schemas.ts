/** Schemas of the replies between entry hosts. */
import {type HostHistory} from 'chivestream-core';
import {z} from 'zod';

const cellSchema = z.union([z.string(), z.number(), z.boolean(), z.array(z.string())]);

/** A row of a table, as cell values by column name. */
export const rowSchema = z.record(z.string(), cellSchema);

/** Histograms that a host has recorded for the objectives. Only the outer shape is checked here; the code that merges histories checks the rest. */
export const historySchema = z.custom<HostHistory>(value =>
	typeof value === 'object' && value !== null && 'host' in value && 'objectives' in value);
