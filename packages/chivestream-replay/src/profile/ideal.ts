/** The ideal response time of each job, from the trace alone: no scheduler can be faster. */
import {type Deployment, type JobEvent} from './trace.js';

/** Speeds of all slots of a deployment, fastest first. */
export const slotSpeeds = ({minions}: Deployment): number[] =>
	minions.flatMap(({slots, speed}) => Array.from({length: slots}, () => speed)).toSorted((left, right) => right - left);

/**
Least time in which all tasks of a job can end on empty slots: the k longest tasks need at least their work over the
speed of the k fastest slots, for every k, and all tasks at least all work over all speed.
*/
export const shortestRunMs = (workMs: readonly number[], speeds: readonly number[]): number => {
	const sorted = workMs.toSorted((left, right) => right - left);
	let work = 0;
	let speed = 0;
	let bound = 0;
	for (const [index, taskMs] of sorted.entries()) {
		work += taskMs;
		speed += speeds[index] ?? 0;
		bound = Math.max(bound, work / speed);
	}

	return bound;
};

/** A job's ideal response time in milliseconds: the way to an entry host, on to a minion of its zone, the run and the way back. */
export const idealMs = (job: JobEvent, deployment: Deployment, speeds: readonly number[]): number => {
	const {caller, withinZone} = deployment.oneWayMs;
	return (2 * (caller + withinZone)) + shortestRunMs(job.tasks.map(({workMs}) => workMs), speeds);
};
