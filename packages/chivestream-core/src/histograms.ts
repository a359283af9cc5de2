/** What each entry host exports about its objectives: response times and counts by minute. */
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
	/** Jobs of which it is not known whether all tasks ran. */
	unknown: number;
	/** Response times of the answered jobs in milliseconds: an HDR histogram, compressed, in base64. */
	histogram: string;
};

/** The buckets of one objective, oldest first; a bucket without jobs is left out. */
export type ObjectiveHistory = {
	objective: Objective;
	buckets: ObjectiveBucket[];
};

/** Everything that one entry host has recorded since its start. */
export type HostHistory = {
	host: string;
	zone: string;
	/** When recording began: nothing is known of earlier buckets. */
	since: number;
	/** When the export was made. */
	at: number;
	/** Start of the oldest bucket that the host still keeps. */
	from: number;
	objectives: ObjectiveHistory[];
};
