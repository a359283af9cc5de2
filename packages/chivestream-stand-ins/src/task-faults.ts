/** Faults of a minion or worker stand-in, switched on and off while it runs. */
import {type Random} from 'chivestream-core';
import {z} from 'zod';

/** What goes wrong with a request for a task. */
export const taskFault = {
	none: 'none',
	/** Refuses every task with `503`. */
	refuse: 'refuse',
	/** Breaks the connection before the task starts. */
	dropBeforeStart: 'drop-before-start',
	/** Starts the task and fails it at once. */
	fail: 'fail',
	/** Starts the task and never ends it. */
	hang: 'hang',
	/** Starts the task, then breaks the connection. */
	dropAfterStart: 'drop-after-start',
	/** Answers with what belongs to another attempt. */
	crossed: 'crossed',
	/** Answers twice on the same connection. */
	duplicated: 'duplicated',
} as const;

/** One of the faults. */
export type TaskFault = (typeof taskFault)[keyof typeof taskFault];

/** Switches of a minion or worker stand-in. */
export const taskFaultsSchema = z.strictObject({
	fault: z.enum(taskFault),
	/** Probability that a request meets the fault. */
	probability: z.number().min(0).max(1),
	/** How many requests may still meet the fault. */
	remaining: z.int().min(0),
	/** Factor on run times, 10 for a straggler. */
	slowFactor: z.number().positive(),
	/** Time by which answers come after the task has ended. */
	lateMs: z.number().min(0),
});

/** State of a minion or worker stand-in's switches. */
export type TaskFaults = z.infer<typeof taskFaultsSchema>;

/** Draws the fault that the next request meets. */
export type FaultSwitch = {
	set: (change: Partial<TaskFaults>) => TaskFaults;
	draw: () => TaskFault;
	current: () => TaskFaults;
};

/** Switches without faults. Setting a fault without a limit makes it last. */
export const createFaultSwitch = (random: Random): FaultSwitch => {
	const initial: TaskFaults = {
		fault: taskFault.none, probability: 1, remaining: Number.MAX_SAFE_INTEGER, slowFactor: 1, lateMs: 0,
	};
	let faults = initial;

	return {
		set(change) {
			const {probability, remaining} = change.fault === undefined ? faults : initial;
			faults = {
				...faults, probability, remaining, ...change,
			};
			return faults;
		},
		draw() {
			if (faults.fault === taskFault.none || faults.remaining === 0) {
				return taskFault.none;
			}

			if (faults.probability < 1 && random() >= faults.probability) {
				return taskFault.none;
			}

			faults = {...faults, remaining: faults.remaining - 1};
			return faults.fault;
		},
		current: () => faults,
	};
};
