/** What a home checks of a job that it does not know yet. */
import {
	failureCode, type FailureCode, type Job, type Limits,
} from 'chivestream-core';
import {validate as isUuid, version as uuidVersion} from 'uuid';

/** Why a job is refused. */
export type Refusal = {
	code: FailureCode;
	message: string;
};

/** What the checks depend on. */
export type JobCheckContext = {
	/** Limits in force; undefined while the host has no configuration to serve by. */
	limits: Limits | undefined;
	/** Whether the host still takes jobs that it does not know yet. */
	acceptsNewJobs: boolean;
	now: number;
};

const timestampUuidVersion = 7;
const timestampDigits = 12;
const hexadecimalRadix = 16;

/** Time at which an opaque key was made: its own if it is a UUIDv7, else the one that the job states. */
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

/** Why a new job is refused; undefined when it may run. */
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
