/** Checks of a job before its first run, and the age of its key. */
import {
	failureCode, type FailureCode, type Job, type Limits,
} from 'chivestream-core';
import {validate as isUuid, version as uuidVersion} from 'uuid';

/** Reason of a refusal, as it appears in the answer. */
export type Refusal = {
	code: FailureCode;
	message: string;
};

/** State of the host on which the checks depend. */
export type JobCheckContext = {
	/** Limits in force; undefined while the host has no configuration. */
	limits: Limits | undefined;
	/** Whether the host still accepts jobs whose keys it has no record of. */
	acceptsNewJobs: boolean;
	/** Milliseconds since the Unix epoch. */
	now: number;
};

const timestampUuidVersion = 7;
const timestampDigits = 12;
const hexadecimalRadix = 16;

/** Creation time of an opaque key in milliseconds since the Unix epoch: the timestamp of a UUIDv7, else `createdAt`. */
export const keyCreatedAt = (job: Pick<Job, 'key' | 'createdAt'>): number | undefined => {
	if (isUuid(job.key) && uuidVersion(job.key) === timestampUuidVersion) {
		const digits = job.key.replaceAll('-', '').slice(0, timestampDigits);
		return Number.parseInt(digits, hexadecimalRadix);
	}

	return job.createdAt;
};

const checkDeadline = (deadline: number, now: number, {maxDeadlineMs}: Limits): Refusal | undefined => {
	if (deadline <= now) {
		return {code: failureCode.deadlinePassed, message: 'deadline: already passed; give a later one'};
	}

	if (deadline > now + maxDeadlineMs) {
		return {code: failureCode.badRequest, message: `deadline: more than ${maxDeadlineMs} ms ahead; give an earlier one`};
	}

	return undefined;
};

/** Returns why a new job is refused, or undefined if it may run. */
export const checkNewJob = (job: Job, {limits, acceptsNewJobs, now}: JobCheckContext): Refusal | undefined => {
	if (!limits) {
		return {code: failureCode.notReady, message: 'this host has no configuration yet'};
	}

	if (!acceptsNewJobs) {
		return {code: failureCode.draining, message: 'this host is leaving; make a new key with another home'};
	}

	if (job.tasks.length > limits.maxTasksPerJob) {
		return {code: failureCode.badRequest, message: `tasks: more than ${limits.maxTasksPerJob}; split the job`};
	}

	return checkDeadline(job.deadline, now, limits);
};
