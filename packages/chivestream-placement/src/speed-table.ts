/** How many slots of which speed a host has, to weigh a slow slot now against a faster one soon. */
import {estimateOf} from './speed.js';
import {isQuarantined} from './quarantine.js';
import {ownUnits, type Target} from './target.js';

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
const largestTable = 16;

/** A table that is made at its first use. */
export const createSpeedTable = (): SpeedTable => ({classes: [], staleAt: 0});

/** Makes the table anew when it is stale. */
export const refreshSpeedTable = (table: SpeedTable, targets: Iterable<Target>, now: number): void => {
	if (now < table.staleAt) {
		return;
	}

	table.staleAt = now + refreshIntervalMs;
	const usable: Array<{slowness: number; units: number}> = [];
	for (const target of targets) {
		const units = target.isDraining || isQuarantined(target.health, now) ? 0 : ownUnits(target, now);
		if (units > 0) {
			usable.push({slowness: estimateOf(target.slowness), units});
		}
	}

	usable.sort((left, right) => left.slowness - right.slowness);
	const perClass = Math.max(1, Math.ceil(usable.length / largestTable));
	table.classes = [];
	let units = 0;
	let slownessSum = 0;
	for (const [index, entry] of usable.entries()) {
		units += entry.units;
		slownessSum += entry.units * entry.slowness;
		if ((index + 1) % perClass === 0 || index === usable.length - 1) {
			table.classes.push({slowness: entry.slowness, units, meanSlowness: slownessSum / units});
		}
	}
};

/** A task that waits, in run times on a target of slowness 1. */
export type WaitingWork = {
	workMs: number;
	meanWorkMs: number;
	/** Tasks that wait before it. */
	ahead: number;
};

/** Least time to the end of a task that waits for a slot faster than the given one, in milliseconds. */
export const endAfterWaitMs = (table: SpeedTable, slowness: number, {workMs, meanWorkMs, ahead}: WaitingWork): number => {
	let least = Number.POSITIVE_INFINITY;
	for (const {slowness: limit, units, meanSlowness} of table.classes) {
		if (limit >= slowness) {
			break;
		}

		const waitMs = (ahead + 1) * meanWorkMs * meanSlowness / units;
		least = Math.min(least, waitMs + (workMs * meanSlowness));
	}

	return least;
};
