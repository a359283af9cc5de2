/** The state of an unanswered job, derived from two deadlines and the number of running tasks. */

/** States of an unanswered job. */
export const jobState = {
	/** No task is running. */
	queued: 'queued',
	running: 'running',
	/** The job's deadline, or the earlier target time of one of its objectives, has passed. */
	late: 'late',
	/** The progress deadline has passed. */
	stuck: 'stuck',
} as const;

/** One of the states of an unanswered job. */
export type JobState = (typeof jobState)[keyof typeof jobState];

/** An unanswered job, as its home host reports it. */
export type JobRow = {
	key: string;
	team: string;
	upstream: string;
	/** The job's home host, and the zone of that host. */
	host: string;
	zone: string;
	state: JobState;
	/** Milliseconds since the home host accepted the job. */
	age: number;
	deadline: number;
	/** Latest time at which the home host expects the next start or end of one of the job's tasks. */
	progressDeadline: number;
	tasks: number;
	queued: number;
	running: number;
	completed: number;
	failed: number;
	/** Ids of the minions and workers that currently run the job's tasks. */
	minions: string[];
	workers: string[];
};

/** The values that determine the state of an unanswered job. Deadlines are milliseconds since the Unix epoch. */
export type JobProgress = {
	/** Time after which the job is late. */
	deadline: number;
	progressDeadline: number;
	/** Number of running tasks. */
	running: number;
};

const attemptTimeoutFactor = 8;
const minAttemptTimeoutMs = 10_000;
const overdueGraceMs = 2000;

/**
Latest time at which an attempt is expected to end, in milliseconds since the Unix epoch; fixed when the attempt starts.
The factor and the minimum allow for declared run times that are far from the actual ones.
*/
export const attemptDeadline = (startedAt: number, declaredMs: number): number =>
	startedAt + Math.max(minAttemptTimeoutMs, declaredMs * attemptTimeoutFactor);

/** The earliest deadline of the running attempts; while none is running, shortly after the job's own deadline. */
export const progressDeadline = (deadline: number, attemptDeadlines: readonly number[]): number =>
	attemptDeadlines.length === 0 ? deadline + overdueGraceMs : Math.min(...attemptDeadlines);

/** The state of an unanswered job. `stuck` takes precedence over `late`, and `late` over `running`. */
export const findJobState = (progress: JobProgress, now: number): JobState => {
	if (now > progress.progressDeadline) {
		return jobState.stuck;
	}

	if (now > progress.deadline) {
		return jobState.late;
	}

	return progress.running > 0 ? jobState.running : jobState.queued;
};
