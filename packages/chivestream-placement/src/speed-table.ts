/** Numbers of slots by speed, to compare a slow slot that is free with a faster one that is busy. */
import {geometricMean} from './speed.js';
import {isQuarantined} from './quarantine.js';
import {usableShare, type Target} from './target.js';

/** All slots up to a slowness, those of faster classes included. */
export type SpeedClass = {
	/** Slowness of the slowest slots of the class. */
	slowness: number;
	/** Number of slots at most this slow. */
	units: number;
	/** Mean slowness of those slots. */
	meanSlowness: number;
};

/** The slots or cores that a host may use, by speed. */
export type SpeedTable = {
	/** Fastest first. */
	classes: SpeedClass[];
	/** When the table must be rebuilt, in epoch milliseconds. */
	staleAt: number;
};

const refreshIntervalMs = 250;
/** Maximum number of classes in a table. */
const maxClasses = 16;

/** Creates an empty table, to be built by the first call of `refreshSpeedTable`. */
export const createSpeedTable = (): SpeedTable => ({classes: [], staleAt: 0});

/** Rebuilds the table if it is stale. Draining and quarantined targets are left out. */
export const refreshSpeedTable = (table: SpeedTable, targets: Iterable<Target>, now: number): void => {
	if (now < table.staleAt) {
		return;
	}

	table.staleAt = now + refreshIntervalMs;
	const usableTargets: Array<{slowness: number; units: number}> = [];
	for (const target of targets) {
		const units = target.isDraining || isQuarantined(target.health, now) ? 0 : usableShare(target, now);
		if (units > 0) {
			usableTargets.push({slowness: geometricMean(target.slowness), units});
		}
	}

	usableTargets.sort((left, right) => left.slowness - right.slowness);
	const targetsPerClass = Math.max(1, Math.ceil(usableTargets.length / maxClasses));
	table.classes = [];
	let units = 0;
	let slownessSum = 0;
	for (const [index, entry] of usableTargets.entries()) {
		units += entry.units;
		slownessSum += entry.units * entry.slowness;
		if ((index + 1) % targetsPerClass === 0 || index === usableTargets.length - 1) {
			table.classes.push({slowness: entry.slowness, units, meanSlowness: slownessSum / units});
		}
	}
};

/** A waiting task and the work before it. Run times are for a target of slowness 1. */
export type WaitingWork = {
	/** Expected run time of the task, in milliseconds. */
	workMs: number;
	/** Mean run time of the tasks before it, in milliseconds. */
	meanWorkMs: number;
	/** Number of tasks that wait before it. */
	tasksAhead: number;
};

/** Shortest expected time, in milliseconds, to the end of a task that waits for a slot faster than `slowness`. */
export const minCompletionAfterWaitMs = (table: SpeedTable, slowness: number, {workMs, meanWorkMs, tasksAhead}: WaitingWork): number => {
	let minCompletionMs = Number.POSITIVE_INFINITY;
	for (const {slowness: classSlowness, units, meanSlowness} of table.classes) {
		if (classSlowness >= slowness) {
			break;
		}

		const waitMs = (tasksAhead + 1) * meanWorkMs * meanSlowness / units;
		minCompletionMs = Math.min(minCompletionMs, waitMs + (workMs * meanSlowness));
	}

	return minCompletionMs;
};
