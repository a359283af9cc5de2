/** Jobs as callers submit them and as a dispatcher keeps them while they run. */
import {type Outcome} from './outcome.js';
import {type Run} from './minion.js';

/** What one task of a step needs and where it may run. */
export type Step = {
	/** Number of tasks. */
	count: number;
	/** Thousandths of a core that each task takes. */
	millicores: number;
	memoryMb: number;
	accelerators: number;
	/** Rough run time of a task on a minion of nominal speed, in milliseconds. */
	estimateMs: number;
	/** Numbers of earlier steps whose tasks must all have ended well. */
	dependsOn: readonly number[];
	/** A label that the minion must carry. */
	requiredLabel?: string;
	/** The rack where the data lies; tasks take longer on any other. */
	preferredRack?: string;
	/** Most tasks of the step that may run on one minion. */
	maxPerMinion?: number;
};

/** A job with the declarations that apply to it. Times are of the host's steady clock, in milliseconds. */
export type JobRequest = {
	/** The caller's id of the job. */
	id: string;
	/** What the tasks execute; opaque to the dispatcher. */
	payload: string;
	steps: readonly Step[];
	/** Name of the route that took the job. */
	route: string;
	/** The upstream whose minions run the tasks. */
	upstream: string;
	/** 0 is the most urgent. */
	priority: number;
	/** Runs of one task that may fail before the job fails. */
	maxAttempts: number;
	/** When the job's objective ends, if its tasks take what they are estimated to take. */
	objectiveDeadline: number;
	/** When the caller stops waiting. */
	deadline: number;
	/** How often the job was handed to a dispatcher before; run numbers start above those of earlier submissions. */
	submission: number;
	/** Whether a task of the job may have run, or may be running, under another dispatcher. */
	mayHaveRun: boolean;
	/** Tasks that have ended well under an earlier dispatcher. */
	doneTasks?: readonly string[];
};

/** Where a task stands. */
export const taskState = {
	/** Waits for tasks of earlier steps. */
	blocked: 'blocked',
	waiting: 'waiting',
	running: 'running',
	done: 'done',
} as const;

/** One of the states of a task. */
export type TaskState = (typeof taskState)[keyof typeof taskState];

/** One task of a job. */
export type Task = {
	name: string;
	job: Job;
	stepIndex: number;
	step: Step;
	state: TaskState;
	/** Number of the last run; the next has a higher one. */
	lastRun: number;
	failures: number;
	run?: Run;
	/** Minions on which a run of this task failed or stood still. */
	avoided: Set<string>;
};

/** A job in the hands of a dispatcher. */
export type Job = {
	request: JobRequest;
	arrivedAt: number;
	tasks: Task[];
	/** Whether an order was sent that a minion may have carried out. */
	mayHaveRun: boolean;
	/** Whether a task of the job has been placed. */
	hasBegun: boolean;
	/** Set once the job has its outcome. */
	isSettled: boolean;
	/** Reports the outcome to whoever submitted the job. */
	settle: (outcome: Outcome) => void;
};

/** Highest run number that one submission of a job may use, so that the next one starts above it. */
const runsPerSubmission = 32;

/** The name of a task on its minion: job, occurrence (always the first), step and index. */
export const taskName = (jobId: string, stepIndex: number, index: number): string => `${jobId}.0.${stepIndex}.${index}`;

/** The id of the job that a task's name begins with. */
export const jobIdOfTask = (name: string): string => name.slice(0, name.indexOf('.'));

/** Creates the job with all its tasks. */
export const createJob = (request: JobRequest, arrivedAt: number, settle: (outcome: Outcome) => void): Job => {
	const job: Job = {
		request, arrivedAt, tasks: [], mayHaveRun: request.mayHaveRun, hasBegun: false, isSettled: false, settle,
	};
	for (const [stepIndex, step] of request.steps.entries()) {
		for (let index = 0; index < step.count; index += 1) {
			job.tasks.push({
				name: taskName(request.id, stepIndex, index),
				job,
				stepIndex,
				step,
				state: step.dependsOn.length === 0 ? taskState.waiting : taskState.blocked,
				lastRun: request.submission * runsPerSubmission,
				failures: 0,
				avoided: new Set(),
			});
		}
	}

	return job;
};

/** Whether all tasks of the job have ended well. */
export const isComplete = (job: Job): boolean => job.tasks.every(task => task.state === taskState.done);

/** Makes the tasks wait whose earlier steps have all ended well. */
export const unblockTasks = (job: Job): void => {
	const openSteps = new Set(job.tasks.filter(task => task.state !== taskState.done).map(task => task.stepIndex));
	for (const task of job.tasks) {
		if (task.state === taskState.blocked && task.step.dependsOn.every(index => !openSteps.has(index))) {
			task.state = taskState.waiting;
		}
	}
};

/** The longest estimate along the steps from each step to the end of the job, in milliseconds. */
export const longestChainMs = (steps: readonly Step[]): number => {
	const ends: number[] = [];
	for (const [index, step] of steps.entries()) {
		const begin = Math.max(0, ...step.dependsOn.map(earlier => ends[earlier] ?? 0));
		ends[index] = begin + step.estimateMs;
	}

	return Math.max(0, ...ends);
};
