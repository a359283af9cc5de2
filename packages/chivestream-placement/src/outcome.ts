/** What the outcome of an attempt teaches about its target and team. */
import {
	attemptOutcome, type AttemptResult, failureCode,
} from 'chivestream-core';
import {calibrationOf, needOfTask, type Pool} from './pool.js';
import {isQuarantined, recordFailure, recordSuccess} from './quarantine.js';
import {type Assignment} from './scheduler.js';
import {type SchedulerState} from './scheduler-state.js';
import {estimateOf, learnLogarithm, logarithmOfRatio} from './speed.js';
import {needOn, type Target} from './target.js';

const refusalBackoffMs = 25;
const drainingBackoffMs = 2000;
const unknownHoldOffMs = 3000;
const meanWorkGain = 0.02;

/** A settled attempt. */
export type SettledAttempt = {
	pool: Pool;
	target: Target;
	assignment: Assignment;
	result: AttemptResult;
};

/** Creates the function that learns from settled attempts. */
export const createOutcomeLearner = ({clock, random, wakeTarget}: SchedulerState): (settled: SettledAttempt) => void => {
	const learnRunTime = (pool: Pool, target: Target, assignment: Assignment, now: number) => {
		const calibration = calibrationOf(pool, assignment.task.team);
		const ratio = logarithmOfRatio(now - assignment.startedAt, assignment.task.declaredMs);
		const targetSample = ratio - calibration.value;
		const teamSample = ratio - target.slowness.value;
		learnLogarithm(target.slowness, targetSample);
		learnLogarithm(calibration, teamSample);
		const workMs = (now - assignment.startedAt) / estimateOf(target.slowness);
		pool.meanWorkMs += meanWorkGain * (workMs - pool.meanWorkMs);
	};

	const failTarget = (pool: Pool, target: Target, key: string, now: number) => {
		recordFailure(target.health, key, now);
		if (isQuarantined(target.health, now)) {
			wakeTarget(pool, target, target.health.quarantinedUntil);
		}
	};

	const backOff = (pool: Pool, target: Target, untilMs: number) => {
		target.backoffUntil = Math.max(target.backoffUntil, untilMs);
		wakeTarget(pool, target, target.backoffUntil);
	};

	const learn = ({pool, target, assignment, result}: SettledAttempt) => {
		const now = clock.now();
		if (result.outcome === attemptOutcome.answered && result.isSuccess) {
			recordSuccess(target.health);
			learnRunTime(pool, target, assignment, now);
			return;
		}

		// An attempt that was withdrawn before it was sent says nothing about the target.
		if (result.outcome === attemptOutcome.notStarted && result.failure.code === failureCode.cancelled) {
			return;
		}

		if (result.outcome === attemptOutcome.unknown) {
			// The task may still run: its slot is not free yet.
			target.takeovers.push({count: needOn(target, needOfTask(assignment.task)).units, availableAt: now + unknownHoldOffMs});
			wakeTarget(pool, target, now + unknownHoldOffMs);
		}

		if (result.outcome !== attemptOutcome.notStarted || result.failure.code === failureCode.connectionFailed || result.failure.code === failureCode.timedOut) {
			failTarget(pool, target, assignment.task.key, now);
			return;
		}

		const backoffMs = result.failure.code === failureCode.draining ? drainingBackoffMs : refusalBackoffMs * (0.5 + random());
		backOff(pool, target, now + backoffMs);
	};

	return learn;
};
