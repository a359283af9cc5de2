/** Keeps a target that fails what it starts away from tasks, and tries it again with one task at a time. */

/** What a host remembers of a target's failures. */
export type TargetHealth = {
	consecutiveFailures: number;
	/** Key of the job that failed last on the target. */
	lastFailedKey: string | undefined;
	/** Number of distinct jobs, counted by changes of key, in the current run of failures. */
	failedJobs: number;
	/** No task is bound before this time. */
	quarantinedUntil: number;
	/** Quarantines since the last success. */
	quarantineCount: number;
	/** Whether this host saw the failures itself. */
	hasLocalFailures: boolean;
};

const failuresToQuarantine = 3;
const jobsToQuarantine = 2;
const initialQuarantineMs = 1000;
const maxQuarantineMs = 30_000;

/** A target that has not failed. */
export const createHealth = (): TargetHealth => ({
	consecutiveFailures: 0, lastFailedKey: undefined, failedJobs: 0, quarantinedUntil: 0, quarantineCount: 0, hasLocalFailures: false,
});

/** Forgets failures after a success. */
export const recordSuccess = (health: TargetHealth): void => {
	health.consecutiveFailures = 0;
	health.failedJobs = 0;
	health.lastFailedKey = undefined;
	health.quarantineCount = 0;
	health.quarantinedUntil = 0;
	health.hasLocalFailures = false;
};

/** Starts or prolongs the quarantine. */
export const startQuarantine = (health: TargetHealth, now: number): void => {
	const lengthMs = Math.min(initialQuarantineMs * (2 ** health.quarantineCount), maxQuarantineMs);
	health.quarantineCount++;
	health.quarantinedUntil = now + lengthMs;
};

/** Counts a failure; quarantines the target once enough distinct jobs failed in a row. */
export const recordFailure = (health: TargetHealth, key: string, now: number): void => {
	health.consecutiveFailures++;
	if (health.lastFailedKey !== key) {
		health.failedJobs++;
		health.lastFailedKey = key;
	}

	const isFailing = health.consecutiveFailures >= failuresToQuarantine && health.failedJobs >= jobsToQuarantine;
	const hasFailedTrial = health.quarantineCount > 0;
	if (now >= health.quarantinedUntil && (isFailing || hasFailedTrial)) {
		health.hasLocalFailures = true;
		startQuarantine(health, now);
	}
};

/** Whether the target gets no task now. */
export const isQuarantined = (health: TargetHealth, now: number): boolean => now < health.quarantinedUntil;

/** Whether the target gets only one task at a time, as a trial after a quarantine. */
export const isOnTrial = (health: TargetHealth): boolean => health.quarantineCount > 0;
