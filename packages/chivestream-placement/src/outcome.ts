/** What the outcome of an attempt teaches about its target and team. */
import {
	attemptOutcome, type AttemptResult, failureCode,
} from 'chivestream-core';
import {teamCalibration, taskResources, type Pool} from './pool.js';
import {isQuarantined, recordFailure, recordSuccess} from './quarantine.js';
import {type Assignment} from './scheduler.js';
import {type SchedulerState} from './scheduler-state.js';
import {geometricMean, addSample, runTimeLogRatio} from './speed.js';
import {resourcesOnTarget, type Target} from './target.js';

const refusalBackoffMs = 25;
const drainingBackoffMs = 2000;
const unknownOutcomeHoldOffMs = 3000;
const meanWorkGain = 0.02;

/** A settled attempt. */
export type SettledAttempt = {
	pool: Pool;
	target: Target;
	assignment: Assignment;
	result: AttemptResult;
};

/** Creates the function that learns from settled attempts. */
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

		// An attempt that was withdrawn before it was sent says nothing about the target.
		if (result.outcome === attemptOutcome.notStarted && result.failure.code === failureCode.cancelled) {
			return;
		}

		if (result.outcome === attemptOutcome.unknown) {
			// The task may still run: its slot is not free yet.
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
