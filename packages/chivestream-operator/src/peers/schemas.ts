/** Schemas of what entry hosts answer to one another. */
import {type HostHistory} from 'chivestream-core';
import {z} from 'zod';

const cellSchema = z.union([z.string(), z.number(), z.boolean(), z.array(z.string())]);

/** A row by column names. */
export const rowSchema = z.record(z.string(), cellSchema);

/** What a host has recorded about its objectives; whoever merges it checks the rest. */
export const historySchema = z.custom<HostHistory>(value =>
	typeof value === 'object' && value !== null && 'host' in value && 'objectives' in value);
