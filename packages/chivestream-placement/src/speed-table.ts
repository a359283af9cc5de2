/** How many slots of which speed a host has, to weigh a slow slot now against a faster one soon. */
import {geometricMean} from './speed.js';
import {isQuarantined} from './quarantine.js';
import {usableShare, type Target} from './target.js';

/** All slots up to a slowness. */
export type SpeedClass = {
	slowness: number;
	/** Slots at most this slow. */
	units: number;
	/** Mean slowness of those slots. */
	meanSlowness: number;
};

/** The slots of a host by speed, fastest first. */
export type SpeedTable = {
	classes: SpeedClass[];
	/** When the table is to be made anew. */
	staleAt: number;
};

const refreshIntervalMs = 250;
const maxClasses = 16;

/** A table that is made at its first use. */
export const createSpeedTable = (): SpeedTable => ({classes: [], staleAt: 0});

/** Makes the table anew when it is stale. */
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

/** A task that waits, in run times on a target of slowness 1. */
export type WaitingWork = {
	workMs: number;
	meanWorkMs: number;
	/** Tasks that wait before it. */
	tasksAhead: number;
};

/** Least time to the end of a task that waits for a slot faster than the given one, in milliseconds. */
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
