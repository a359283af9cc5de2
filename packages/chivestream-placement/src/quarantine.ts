/** Quarantines targets whose tasks keep failing; afterwards they get one trial task at a time until one succeeds. */

/** Recent failures of a target and its quarantine. */
export type TargetHealth = {
	/** Failed tasks since the last success. */
	consecutiveFailures: number;
	/** Key of the job whose task failed last. */
	lastFailedKey: string | undefined;
	/** Jobs with a failed task since the last success, counted by changes of key: a job that returns counts again. */
	failedJobs: number;
	/** No task is bound before this time, in epoch milliseconds. */
	quarantinedUntil: number;
	/** Number of quarantines since the last success. */
	quarantineCount: number;
	/** Whether this host quarantined the target after failures of its own tasks; false if another host reported it. */
	hasLocalFailures: boolean;
};

/** Failures in a row after which a target is quarantined. */
const failuresToQuarantine = 3;
/** Jobs that these failures must come from, so that a single bad job does not quarantine a target. */
const jobsToQuarantine = 2;
const initialQuarantineMs = 1000;
const maxQuarantineMs = 30_000;

/** Creates the health of a target without failures. */
export const createHealth = (): TargetHealth => ({
	consecutiveFailures: 0, lastFailedKey: undefined, failedJobs: 0, quarantinedUntil: 0, quarantineCount: 0, hasLocalFailures: false,
});

/** Clears the failures and the quarantine after a success. */
export const recordSuccess = (health: TargetHealth): void => {
	health.consecutiveFailures = 0;
	health.failedJobs = 0;
	health.lastFailedKey = undefined;
	health.quarantineCount = 0;
	health.quarantinedUntil = 0;
	health.hasLocalFailures = false;
};

/** Quarantines the target: for 1 second, doubled for each quarantine since the last success, at most 30 seconds. */
export const startQuarantine = (health: TargetHealth, now: number): void => {
	const lengthMs = Math.min(initialQuarantineMs * (2 ** health.quarantineCount), maxQuarantineMs);
	health.quarantineCount++;
	health.quarantinedUntil = now + lengthMs;
};

/** Counts a failure; quarantines the target after enough failures in a row, or after a failed trial. */
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

/** Whether the target is quarantined now and gets no task. */
export const isQuarantined = (health: TargetHealth, now: number): boolean => now < health.quarantinedUntil;

/** Whether the target gets only one task at a time, because none has succeeded since its last quarantine. */
export const isOnTrial = (health: TargetHealth): boolean => health.quarantineCount > 0;
