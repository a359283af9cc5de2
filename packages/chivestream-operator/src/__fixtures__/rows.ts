/** Rows for tests. */
import {type JobRow} from '../tables/rows.js';

/** Creates a job row with the given fields and defaults for the others. */
export const createJobRow = (fields: Partial<JobRow>): JobRow => ({
	key: 'key',
	team: 'day-a',
	upstream: 'lens',
	host: 'e1',
	zone: 'a',
	state: 'running',
	age: 0,
	deadline: 0,
	progressDeadline: 0,
	tasks: 1,
	queued: 0,
	running: 1,
	completed: 0,
	failed: 0,
	minions: [],
	workers: [],
	...fields,
});
