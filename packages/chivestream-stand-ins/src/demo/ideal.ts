/** The ideal against which response times are held. */
import {type PlannedTask} from './plan.js';

/** A minion as far as the ideal depends on it. */
export type IdealMinion = {
	slots: number;
	speed: number;
};

/** Speeds of all slots, fastest first. */
export const sortSlotSpeeds = (minions: readonly IdealMinion[]): number[] => minions
	.flatMap(({slots, speed}) => Array.from({length: slots}, () => speed))
	.toSorted((left, right) => right - left);

/**
Time that a job takes when all its tasks start at once on the fastest slots of an idle upstream: the longest task on
the fastest slot, the next on the next one. No schedule is shorter.
*/
export const idealMs = (tasks: readonly PlannedTask[], slotSpeeds: readonly number[]): number => {
	const longestFirst = tasks.map(task => task.runMs).toSorted((left, right) => right - left);
	return Math.max(...longestFirst.map((runMs, index) => runMs / slotSpeeds[index % slotSpeeds.length]!));
};
