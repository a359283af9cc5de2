/** Jobs as they are submitted, and their state in a dispatcher. */
import {mergeCrashes, type CrashRecord} from './crash.js';
import {type Outcome} from './outcome.js';
import {type Run} from './minion.js';

/** A step of a job: a number of equal tasks, the resources of each, and where they may run. */
export type Step = {
	/** Number of tasks. */
	count: number;
	/** CPU of each task in thousandths of a core. */
	millicores: number;
	memoryMb: number;
	accelerators: number;
	/** Rough run time of a task on a minion of nominal speed, in milliseconds. */
	estimateMs: number;
	/** Indexes of earlier steps whose tasks must all have completed first. */
	dependsOn: readonly number[];
	/** A label that the minion must have. */
	requiredLabel?: string;
	/** The rack that holds the data; tasks take longer on any other. */
	preferredRack?: string;
	/** Maximum number of tasks of the step that may run on one minion at the same time. */
	maxPerMinion?: number;
};

/** A submitted job with the declarations that apply to it. Times are milliseconds of the host's monotonic clock. */
export type JobRequest = {
	/** The caller's id for the job. */
	id: string;
	/** The work that the tasks execute; opaque to the dispatcher. */
	payload: string;
	steps: readonly Step[];
	/** Name of the route that accepted the job. */
	route: string;
	/** The upstream whose minions run the tasks. */
	upstream: string;
	/** 0 is the most urgent. */
	priority: number;
	/** Number of failed runs of one task after which the job fails. */
	maxAttempts: number;
	/** When the job must complete to meet its objective, calculated from the estimated run times. */
	objectiveDeadline: number;
	/** When the caller stops waiting. */
	deadline: number;
	/** How many times the job was submitted to a dispatcher before. Run numbers start above those of earlier submissions. */
	submission: number;
	/** Whether a task of the job may have run, or may be running, for another dispatcher. */
	mayHaveRun: boolean;
	/** Names of the tasks that have completed for a previous dispatcher. */
	doneTasks?: readonly string[];
	/** Crashes of minions under the tasks of the job for previous dispatchers, by the name of the task. */
	crashes?: Readonly<Record<string, CrashRecord>>;
	/** Submissions to other dispatchers whose runs may still be alive; left out by earlier builds. */
	previousSubmissions?: readonly PreviousSubmission[];
	/** Name of the cell in which the job belongs, if it was submitted to another one; left out by earlier builds. */
	homeCell?: string;
	/**
	 * Whether the first of the named submissions may be a copy of a job that runs elsewhere, as its dispatcher had not heard of all others;
	 * left out if not, and by earlier builds.
	 */
	hasUnknownHistory?: boolean;
};

/** A submission of a job to a dispatcher that no longer has the job. */
export type PreviousSubmission = {
	/** Fencing token of the claim of that dispatcher. */
	claim: number;
	/** When all its runs of the job have ended at the latest, in milliseconds of the host's monotonic clock. */
	leaseEndsAt: number;
	/** Ids of the minions on which each task may be running, by the name of the task; undefined if the dispatcher was lost. */
	minionsByTask?: Readonly<Record<string, readonly string[]>>;
};

/** States of a task. */
export const taskState = {
	/** A step that it depends on is not complete. */
	blocked: 'blocked',
	/** Ready to be placed on a minion. */
	waiting: 'waiting',
	running: 'running',
	done: 'done',
} as const;

/** A value of `taskState`. */
export type TaskState = (typeof taskState)[keyof typeof taskState];

/** One task of a job, with its current run and its failures. */
export type Task = {
	name: string;
	job: Job;
	stepIndex: number;
	step: Step;
	state: TaskState;
	/** Number of the latest run; the next run gets a higher one. */
	lastRunNumber: number;
	/** Number of failed runs. */
	failures: number;
	/** The current run, if any. */
	run?: Run;
	/** Ids of the minions that refused this task, or on which a run of it failed or stalled; used only if no other fits. */
	avoidedMinions: Set<string>;
	/** Crashes of minions under the task; undefined if there was none. */
	crashes: CrashRecord | undefined;
	/** Until when a task that has probably crashed a minion waits for several empty ones; undefined before it has found too few. */
	spareMinionsDeadline?: number;
};

/** A job that a dispatcher has accepted. */
export type Job = {
	request: JobRequest;
	/** Milliseconds of the host's monotonic clock. */
	arrivedAt: number;
	tasks: Task[];
	/** Whether a task may have run: a start was requested, or another dispatcher may have started one. */
	mayHaveRun: boolean;
	/**
	 * Whether a submission names no earlier one, or only such that named none either. The host with the caller's first connection may have
	 * been lost, and runs be alive.
	 */
	hasUnknownHistory: boolean;
	/** Whether several submissions have named histories; the host of one doesn't know those of the others. */
	hasSeveralHistories: boolean;
	/** Whether this dispatcher has placed a task of the job. */
	hasStarted: boolean;
	/** Whether the job has an outcome. */
	isSettled: boolean;
	/** The submissions of the job, one for each host that holds a caller's connection for it. */
	submissions: Submission[];
};

/** A submission of a job to a dispatcher. */
export type Submission = {
	/** The host that submitted the job; a later submission of the same host replaces it. Undefined if no other follows. */
	origin?: string;
	/** As in `JobRequest.submission`. */
	number: number;
	/** Receives the outcome; called once, unless the submission was replaced. */
	settle: (outcome: Outcome) => void;
	/** Receives the crashes under a task whenever another one is known. */
	onTaskCrashed: (task: string, crashes: CrashRecord) => void;
	/** Until when the dispatcher may run the job, in milliseconds of the host's monotonic clock; the origin extends this. */
	leaseEndsAt: () => number;
};

/** Until when a job may run: each origin may submit it elsewhere once its own lease has ended. */
export const jobLeaseEndsAt = ({submissions}: Job): number => Math.min(...submissions.map(({leaseEndsAt}) => leaseEndsAt()));

/** Run numbers reserved for each submission of a job, so that the numbers of the next submission are higher. */
const runsPerSubmission = 32;

/** The run number after which the runs of a submission are counted. */
export const runNumberBefore = (submission: number): number => submission * runsPerSubmission;

/** Name of a task on its minion: job id, occurrence (always 0), step index and task index. */
export const taskName = (jobId: string, stepIndex: number, index: number): string => `${jobId}.0.${stepIndex}.${index}`;

/** The known crashes under the tasks of a job, by the name of the task; undefined if there was none. */
export const crashesOf = (job: Job): Record<string, CrashRecord> | undefined => {
	const entries = job.tasks.flatMap(({name, crashes}) => crashes === undefined ? [] : [[name, crashes] as const]);
	return entries.length === 0 ? undefined : Object.fromEntries(entries);
};

/** Whether the task runs only alone on a minion, because it is a likely cause of a crash. */
export const mustRunAlone = (task: Task): boolean => task.crashes?.isSuspect ?? false;

/** Whether the task has probably crashed a minion, and the next one that it starts on may be lost as well. */
export const isLikelyDeadly = (task: Task): boolean => task.crashes?.isOnlySuspect ?? false;

/** Extracts the job id from the name of a task. */
export const jobIdOfTask = (name: string): string => name.slice(0, name.indexOf('.'));

/** Creates a job with its tasks; tasks of steps without dependencies can be placed at once. */
export const createJob = (request: JobRequest, arrivedAt: number, submission: Submission): Job => {
	const job: Job = {
		request,
		arrivedAt,
		tasks: [],
		mayHaveRun: request.mayHaveRun,
		hasUnknownHistory: !request.mayHaveRun || request.hasUnknownHistory === true,
		hasSeveralHistories: false,
		hasStarted: false,
		isSettled: false,
		submissions: [submission],
	};
	for (const [stepIndex, step] of request.steps.entries()) {
		for (let index = 0; index < step.count; index += 1) {
			job.tasks.push({
				name: taskName(request.id, stepIndex, index),
				job,
				stepIndex,
				step,
				state: step.dependsOn.length === 0 ? taskState.waiting : taskState.blocked,
				lastRunNumber: runNumberBefore(request.submission),
				failures: 0,
				avoidedMinions: new Set(),
				crashes: undefined,
			});
		}
	}

	return job;
};

/** Adds the history of a further submission of a job to the request of the first one. */
export const mergeHistories = (job: JobRequest, other: JobRequest): JobRequest => {
	const requests = [job, other];
	const previousSubmissions = requests.flatMap(request => request.previousSubmissions ?? []);
	const isKnown = previousSubmissions.length > 0 || other.previousSubmissions !== undefined;
	const {previousSubmissions: _, ...rest} = job;
	const crashes = {...job.crashes};
	for (const [task, record] of Object.entries(other.crashes ?? {})) {
		crashes[task] = mergeCrashes(crashes[task], record)!;
	}

	return {
		...rest,
		submission: Math.max(job.submission, other.submission),
		mayHaveRun: true,
		doneTasks: requests.flatMap(({doneTasks = []}) => doneTasks),
		crashes,
		...(isKnown && {previousSubmissions}),
	};
};

/** Whether all tasks of the job have completed. */
export const isComplete = (job: Job): boolean => job.tasks.every(task => task.state === taskState.done);

/** Makes blocked tasks ready for placement if all steps that they depend on are complete. */
export const unblockTasks = (job: Job): void => {
	const incompleteSteps = new Set(job.tasks.filter(task => task.state !== taskState.done).map(task => task.stepIndex));
	for (const task of job.tasks) {
		if (task.state === taskState.blocked && task.step.dependsOn.every(index => !incompleteSteps.has(index))) {
			task.state = taskState.waiting;
		}
	}
};

/** Estimated run time of the longest chain of dependent steps, in milliseconds: the least time that the job takes. */
export const criticalPathMs = (steps: readonly Step[]): number => {
	const stepEndsMs: number[] = [];
	for (const [index, step] of steps.entries()) {
		const startMs = Math.max(0, ...step.dependsOn.map(dependency => stepEndsMs[dependency] ?? 0));
		stepEndsMs[index] = startMs + step.estimateMs;
	}

	return Math.max(0, ...stepEndsMs);
};
