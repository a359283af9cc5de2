/** Per-minute response times and job counts of objectives, as exported by each entry host. */
import {type Objective} from './declarations.js';

/** Length of a bucket in milliseconds. */
export const bucketMs = 60_000;

/** Jobs of one objective that ended within one bucket of time. */
export type ObjectiveBucket = {
	/** Start of the bucket, a multiple of its length, in milliseconds since the Unix epoch. */
	start: number;
	/** Jobs whose whole answer came within the target. */
	good: number;
	/** Jobs that failed or whose answer came later than the target. */
	bad: number;
	/** Jobs for which it is unknown whether all tasks ran. */
	unknown: number;
	/** Response times of the answered jobs in milliseconds: an HDR histogram, compressed, in base64. */
	histogram: string;
};

/** The buckets of one objective, oldest first; a bucket without jobs is left out. */
export type ObjectiveHistory = {
	objective: Objective;
	buckets: ObjectiveBucket[];
};

/** The buckets that one entry host still retains, for all objectives. */
export type HostHistory = {
	host: string;
	zone: string;
	/** When recording started, in milliseconds since the Unix epoch; there is no data before it. */
	since: number;
	/** When the export was made, in milliseconds since the Unix epoch. */
	at: number;
	/** Start of the oldest bucket that the host still retains, in milliseconds since the Unix epoch. */
	from: number;
	objectives: ObjectiveHistory[];
};
