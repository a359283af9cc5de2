/**
 * The order in which waiting jobs are placed.
 *
 * It is made for bursts above capacity that mix urgent jobs of many tasks with long jobs of low urgency. Jobs that have
 * started come first, because their finished tasks are useless without the rest. Next are the jobs that can still meet
 * their objective, by priority and then by latest start. Jobs that will miss it come last.
 */
import {criticalPathMs, type Job} from './job.js';

/** The latest time at which a job can start and still meet its objective on minions of nominal speed. */
export const latestStart = (job: Job): number =>
	job.request.objectiveDeadline - criticalPathMs(job.request.steps);

/** Creates a comparator that sorts jobs waiting at time `now` into the order of placement. */
export const compareWaitingJobs = (now: number) => (one: Job, other: Job): number => {
	if (one.hasStarted !== other.hasStarted) {
		return one.hasStarted ? -1 : 1;
	}

	const oneStart = latestStart(one);
	const otherStart = latestStart(other);
	const isOneLate = oneStart < now;
	if (isOneLate !== (otherStart < now)) {
		return isOneLate ? 1 : -1;
	}

	return one.request.priority - other.request.priority || oneStart - otherStart;
};
