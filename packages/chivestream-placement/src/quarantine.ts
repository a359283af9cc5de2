/** Keeps a target that fails what it starts away from tasks, and tries it again with one task at a time. */

/** What a host remembers of a target's failures. */
export type Health = {
	consecutiveFailures: number;
	/** Key of the job that failed last on the target. */
	lastFailedKey: string | undefined;
	/** Number of distinct jobs, counted by changes of key, in the current run of failures. */
	failedJobs: number;
	/** No task is bound before this time. */
	quarantinedUntil: number;
	/** Quarantines since the last success. */
	quarantines: number;
	/** Whether this host saw the failures itself. */
	hasOwnEvidence: boolean;
};

const failuresToQuarantine = 3;
const jobsToQuarantine = 2;
const firstQuarantineMs = 1000;
const longestQuarantineMs = 30_000;

/** A target that has not failed. */
export const createHealth = (): Health => ({
	consecutiveFailures: 0, lastFailedKey: undefined, failedJobs: 0, quarantinedUntil: 0, quarantines: 0, hasOwnEvidence: false,
});

/** Forgets failures after a success. */
export const recordSuccess = (health: Health): void => {
	health.consecutiveFailures = 0;
	health.failedJobs = 0;
	health.lastFailedKey = undefined;
	health.quarantines = 0;
	health.quarantinedUntil = 0;
	health.hasOwnEvidence = false;
};

/** Starts or prolongs the quarantine. */
export const quarantine = (health: Health, now: number): void => {
	const lengthMs = Math.min(firstQuarantineMs * (2 ** health.quarantines), longestQuarantineMs);
	health.quarantines++;
	health.quarantinedUntil = now + lengthMs;
};

/** Counts a failure; quarantines the target once enough distinct jobs failed in a row. */
export const recordFailure = (health: Health, key: string, now: number): void => {
	health.consecutiveFailures++;
	if (health.lastFailedKey !== key) {
		health.failedJobs++;
		health.lastFailedKey = key;
	}

	const isFailing = health.consecutiveFailures >= failuresToQuarantine && health.failedJobs >= jobsToQuarantine;
	const hasFailedProbe = health.quarantines > 0;
	if (now >= health.quarantinedUntil && (isFailing || hasFailedProbe)) {
		health.hasOwnEvidence = true;
		quarantine(health, now);
	}
};

/** Whether the target gets no task now. */
export const isQuarantined = (health: Health, now: number): boolean => now < health.quarantinedUntil;

/** Whether the target gets only one task at a time, as a trial after a quarantine. */
export const isOnTrial = (health: Health): boolean => health.quarantines > 0;
