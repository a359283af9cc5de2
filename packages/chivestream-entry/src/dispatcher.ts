/**
Runs the jobs whose home is this host: queues their tasks with the scheduler, starts an attempt for each assignment
that the scheduler returns, and resolves each job with its whole answer. Only this module starts attempts.
*/
import {
	attemptOutcome,
	createFailedAnswer,
	Failure,
	failureCode,
	notRunCounts,
	taskState,
	type AttemptResult,
	type Clock,
	type Job,
	type JobAnswer,
	type Task,
	type Timer,
} from 'chivestream-core';
import {type Assignment, type QueuedTask, type Scheduler} from 'chivestream-placement';
import {
	createJobRun, endTask, recordFailure, finishRun, type JobRun, type RunningAttempt,
} from './job-run.js';

/** Runs one attempt on a minion or worker. */
export type AttemptRunner = (assignment: Assignment, task: Task, signal: AbortSignal) => Promise<AttemptResult>;

/** Counters of a dispatcher since its creation. */
export type DispatchCounts = {
	/** Attempts started. */
	started: number;
	/** Attempts that did not start on their target and whose task was queued again. */
	retried: number;
	/** Attempts that ended after their job had ended. */
	late: number;
	/** Jobs received, refused ones included. */
	jobs: number;
};

/** Runs the jobs of one host. */
export type Dispatcher = {
	/** Runs a job and resolves with its answer, at the latest at its deadline. The caller ensures that a key runs only once. */
	run: (job: Job) => Promise<JobAnswer>;
	/** Removes a job's waiting tasks; running ones end normally, or are aborted if `isForced`. Returns false if no such job runs. */
	cancel: (key: string, isForced: boolean) => boolean;
	/** Starts every waiting task for which a slot is free; called whenever slots or declarations change. */
	startQueuedTasks: () => void;
	/** Jobs that have not been answered yet. */
	runs: () => IterableIterator<JobRun>;
	/** Number of running attempts, those of ended jobs included. */
	attempts: () => number;
	counts: () => DispatchCounts;
};

/** Dependencies and callbacks of a dispatcher. */
export type DispatcherOptions = {
	clock: Clock;
	scheduler: Scheduler;
	runAttempt: AttemptRunner;
	/** Called with each job that was admitted, when it is answered. */
	onFinished: (run: JobRun, answer: JobAnswer) => void;
	/** Called when tasks wait that no slot of this host can take now. */
	onUnmetDemand: () => void;
};

const defaultDeclaredMs = 200;
const attemptGraceMs = 10_000;
const expiryPeriodMs = 20;

const createQueuedTask = (job: Job, task: Task, taskIndex: number, now: number): QueuedTask => ({
	key: job.key,
	taskIndex,
	attempt: 1,
	team: job.team,
	upstream: job.upstream,
	deadline: job.deadline,
	enqueuedAt: now,
	declaredMs: task.declaredMs ?? defaultDeclaredMs,
	cores: task.cores ?? 0,
	memoryMb: task.memoryMb ?? 0,
	accelerators: task.accelerators ?? 0,
});

const describeAttempt = ({targetId, isWorker, startedAt, task}: Assignment): RunningAttempt => ({
	targetId, isWorker, startedAt, declaredMs: task.declaredMs,
});

/** A dispatcher over one scheduler. */
export const createDispatcher = (options: DispatcherOptions): Dispatcher => {
	const {clock, scheduler, runAttempt} = options;
	const runs = new Map<string, JobRun>();
	const counts: DispatchCounts = {
		started: 0, retried: 0, late: 0, jobs: 0,
	};
	let attempts = 0;
	let expiryTimer: Timer | undefined;
	let wakeTimer: Timer | undefined;
	let wakeDeadline: number | undefined;

	const markNotRun = (tasks: QueuedTask[]) => {
		for (const task of tasks) {
			const run = runs.get(task.key);
			if (run) {
				endTask(run, task.taskIndex, taskState.notRun);
			}
		}
	};

	const failJob = (run: JobRun, failure: Failure) => {
		recordFailure(run, failure);
		markNotRun(scheduler.cancel(run.job.key));
	};

	const recordResult = (run: JobRun | undefined, task: QueuedTask, result: AttemptResult) => {
		if (!run || run.isFinished) {
			counts.late += 1;
			return;
		}

		if (result.outcome === attemptOutcome.answered && result.isSuccess) {
			endTask(run, task.taskIndex, taskState.completed, result.result);
			return;
		}

		const stateByOutcome = {
			[attemptOutcome.answered]: taskState.failed,
			[attemptOutcome.unknown]: taskState.unknown,
			[attemptOutcome.notStarted]: taskState.notRun,
		};
		// Records the reason first, because ending the last task creates the answer from it.
		failJob(run, result.failure);
		endTask(run, task.taskIndex, stateByOutcome[result.outcome]);
	};

	const retryTask = (run: JobRun | undefined, task: QueuedTask) => {
		counts.retried += 1;
		if (run?.canStartTasks) {
			run.states[task.taskIndex] = taskState.queued;
			return;
		}

		// The job ended meanwhile, so the task that the scheduler queued again must not start.
		markNotRun(scheduler.cancel(task.key));
	};

	const startAttempt = async (assignment: Assignment) => {
		const {task} = assignment;
		const run = runs.get(task.key);
		const jobTask = run?.job.tasks[task.taskIndex];
		if (!run?.canStartTasks || !jobTask) {
			const failure = new Failure(failureCode.cancelled, 'the job has ended', {step: 'start-task', peer: assignment.targetId});
			scheduler.settle(assignment, {outcome: attemptOutcome.notStarted, failure});
			scheduler.cancel(task.key);
			return;
		}

		run.states[task.taskIndex] = taskState.running;
		run.attempts.set(task.taskIndex, describeAttempt(assignment));
		counts.started += 1;
		attempts += 1;
		const result = await runAttempt(assignment, jobTask, run.abortController.signal);
		attempts -= 1;
		run.attempts.delete(task.taskIndex);
		const {isRetried} = scheduler.settle(assignment, result);
		if (isRetried) {
			retryTask(runs.get(task.key), task);
		} else {
			recordResult(runs.get(task.key), task, result);
		}

		startQueuedTasks();
	};

	const expireTasks = () => {
		for (const task of scheduler.expire()) {
			const run = runs.get(task.key);
			if (run) {
				const failure = new Failure(failureCode.deadlineUnreachable, 'a task could not start in time', {step: 'queue-task', peer: task.upstream});
				failJob(run, failure);
				endTask(run, task.taskIndex, taskState.notRun);
			}
		}
	};

	const hasQueuedTasks = () => scheduler.load().some(({queued}) => queued > 0);

	const scheduleExpiry = () => {
		if (expiryTimer !== undefined || !hasQueuedTasks()) {
			return;
		}

		expiryTimer = clock.at(clock.now() + expiryPeriodMs, () => {
			expiryTimer = undefined;
			expireTasks();
			startQueuedTasks();
		});
	};

	/** Sets a timer for the time at which the scheduler may bind a waiting task without any other event. */
	const scheduleWake = () => {
		const deadline = scheduler.wakeAt();
		if (deadline === undefined || deadline === wakeDeadline) {
			return;
		}

		wakeTimer?.cancel();
		wakeDeadline = deadline;
		wakeTimer = clock.at(deadline, () => {
			wakeDeadline = undefined;
			startQueuedTasks();
		});
	};

	const startQueuedTasks = () => {
		for (let assignment = scheduler.next(); assignment; assignment = scheduler.next()) {
			void startAttempt(assignment);
		}

		if (hasQueuedTasks()) {
			options.onUnmetDemand();
			scheduleExpiry();
			scheduleWake();
		}
	};

	/** Aborts attempts that run long after the deadline of their job, because their slots would otherwise never be freed. */
	const abortOverdueAttempts = (run: JobRun) => {
		if (run.attempts.size > 0) {
			clock.at(run.job.deadline + attemptGraceMs, () => {
				run.abortController.abort(new Error('no answer long after the deadline'));
			});
		}
	};

	const finishAtDeadline = (run: JobRun) => {
		const failure = new Failure(failureCode.deadlinePassed, 'the deadline passed before all tasks had ended', {step: 'run-job', peer: run.job.upstream});
		failJob(run, failure);
		finishRun(run);
		abortOverdueAttempts(run);
	};

	return {
		async run(job) {
			counts.jobs += 1;
			const admission = scheduler.admit(job);
			if (admission.isErr()) {
				return createFailedAnswer(job.key, admission.error, true, notRunCounts(job.tasks.length));
			}

			return new Promise(resolve => {
				const now = clock.now();
				const run = createJobRun(job, now, answer => {
					timer.cancel();
					runs.delete(job.key);
					options.onFinished(run, answer);
					resolve(answer);
				});
				const timer = clock.at(job.deadline, () => {
					finishAtDeadline(run);
				});
				runs.set(job.key, run);
				scheduler.enqueue(job.tasks.map((task, taskIndex) => createQueuedTask(job, task, taskIndex, now)));
				startQueuedTasks();
			});
		},
		cancel(key, isForced) {
			const run = runs.get(key);
			if (!run) {
				return false;
			}

			failJob(run, new Failure(failureCode.cancelled, 'cancelled on request', {step: 'cancel-job', peer: run.job.upstream}));
			if (isForced) {
				run.abortController.abort(new Error('stopped on request'));
			}

			startQueuedTasks();
			return true;
		},
		startQueuedTasks,
		runs: () => runs.values(),
		attempts: () => attempts,
		counts: () => ({...counts}),
	};
};
