/** When a job is queued, running, late or stuck: a comparison of the time with two stored deadlines. */

/** States of an unanswered job. */
export const jobState = {
	queued: 'queued',
	running: 'running',
	late: 'late',
	stuck: 'stuck',
} as const;

/** One of the states of an unanswered job. */
export type JobState = (typeof jobState)[keyof typeof jobState];

/** An unanswered job, as its home reports it. */
export type JobRow = {
	key: string;
	team: string;
	upstream: string;
	/** The job's home and its zone. */
	host: string;
	zone: string;
	state: JobState;
	/** Milliseconds since the home took it. */
	age: number;
	deadline: number;
	/** When the home expects the next start or end of one of its tasks at the latest. */
	progressDeadline: number;
	tasks: number;
	queued: number;
	running: number;
	completed: number;
	failed: number;
	/** Minions and workers that run its tasks now. */
	minions: string[];
	workers: string[];
};

/** What decides the state of an unanswered job. */
export type JobProgress = {
	deadline: number;
	progressDeadline: number;
	running: number;
};

const attemptPatience = 8;
const leastAttemptPatienceMs = 10_000;
const expiryMs = 2000;

/** When an attempt is expected to have ended at the latest; stored when it starts. Declared run times may be far off. */
export const attemptDeadline = (startedAt: number, declaredMs: number): number =>
	startedAt + Math.max(leastAttemptPatienceMs, declaredMs * attemptPatience);

/** The earliest deadline of the running attempts; while none runs, a little after the job's own deadline. */
export const progressDeadline = (deadline: number, attemptDeadlines: readonly number[]): number =>
	attemptDeadlines.length === 0 ? deadline + expiryMs : Math.min(...attemptDeadlines);

/** The state of an unanswered job: stuck before late, late before running. */
export const findJobState = (progress: JobProgress, now: number): JobState => {
	if (now > progress.progressDeadline) {
		return jobState.stuck;
	}

	if (now > progress.deadline) {
		return jobState.late;
	}

	return progress.running > 0 ? jobState.running : jobState.queued;
};
