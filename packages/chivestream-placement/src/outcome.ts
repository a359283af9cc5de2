/** Updates the estimates, health and backoff of a target, and the estimates of a team, after an attempt. */
import {
	attemptOutcome, type AttemptResult, failureCode,
} from 'chivestream-core';
import {teamCalibration, taskResources, type Pool} from './pool.js';
import {isQuarantined, recordFailure, recordSuccess} from './quarantine.js';
import {type Assignment} from './scheduler.js';
import {type SchedulerState} from './scheduler-state.js';
import {geometricMean, addSample, runTimeLogRatio} from './speed.js';
import {resourcesOnTarget, type Target} from './target.js';

/** Mean backoff after a refusal, in milliseconds; the actual one is random, from 0.5 to 1.5 times as long. */
const refusalBackoffMs = 25;
/** Backoff after a refusal because the target is draining, in milliseconds. */
const drainingBackoffMs = 2000;
/** How long slots are withheld after an attempt with unknown outcome, in milliseconds. */
const unknownOutcomeHoldOffMs = 3000;
/** Weight of each new run time in the pool's mean. */
const meanWorkGain = 0.02;

/** A finished attempt, its result, and the target on which it ran. */
export type SettledAttempt = {
	pool: Pool;
	target: Target;
	assignment: Assignment;
	result: AttemptResult;
};

/** Creates the function that records the outcome of finished attempts. */
export const createOutcomeRecorder = ({clock, random, scheduleRefresh}: SchedulerState): (settled: SettledAttempt) => void => {
	const recordRunTime = (pool: Pool, target: Target, assignment: Assignment, now: number) => {
		const calibration = teamCalibration(pool, assignment.task.team);
		const logRatio = runTimeLogRatio(now - assignment.startedAt, assignment.task.declaredMs);
		const targetSample = logRatio - calibration.value;
		const teamSample = logRatio - target.slowness.value;
		addSample(target.slowness, targetSample);
		addSample(calibration, teamSample);
		const workMs = (now - assignment.startedAt) / geometricMean(target.slowness);
		pool.meanWorkMs += meanWorkGain * (workMs - pool.meanWorkMs);
	};

	const recordTargetFailure = (pool: Pool, target: Target, key: string, now: number) => {
		recordFailure(target.health, key, now);
		if (isQuarantined(target.health, now)) {
			scheduleRefresh(pool, target, target.health.quarantinedUntil);
		}
	};

	const backOff = (pool: Pool, target: Target, untilMs: number) => {
		target.backoffUntil = Math.max(target.backoffUntil, untilMs);
		scheduleRefresh(pool, target, target.backoffUntil);
	};

	const recordOutcome = ({pool, target, assignment, result}: SettledAttempt) => {
		const now = clock.now();
		if (result.outcome === attemptOutcome.answered && result.isSuccess) {
			recordSuccess(target.health);
			recordRunTime(pool, target, assignment, now);
			return;
		}

		// The attempt was cancelled before it was sent, so its result holds no information about the target.
		if (result.outcome === attemptOutcome.notStarted && result.failure.code === failureCode.cancelled) {
			return;
		}

		if (result.outcome === attemptOutcome.unknown) {
			// The task may still be running, so its slot is withheld.
			target.withheld.push({count: resourcesOnTarget(target, taskResources(assignment.task)).units, availableAt: now + unknownOutcomeHoldOffMs});
			scheduleRefresh(pool, target, now + unknownOutcomeHoldOffMs);
		}

		if (result.outcome !== attemptOutcome.notStarted || result.failure.code === failureCode.connectionFailed || result.failure.code === failureCode.timedOut) {
			recordTargetFailure(pool, target, assignment.task.key, now);
			return;
		}

		const backoffMs = result.failure.code === failureCode.draining ? drainingBackoffMs : refusalBackoffMs * (0.5 + random());
		backOff(pool, target, now + backoffMs);
	};

	return recordOutcome;
};
