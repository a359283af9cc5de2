/** Starts, tracks and stops the runs on the minions of a dispatcher. */
import {
	addRun, expectedSlowness, slownessOfKind, registerMinion, removeRun, type MinionPool,
} from './minion-pool.js';
import {
	mustRunAlone, runNumberBefore, taskState, type Job, type PreviousSubmission, type Task,
} from './job.js';
import {
	crashEvidence, CrashRecords, describeRun, hasCrashed, incarnationKey, isGivenUp, mergeCrashes, recordsOfCrash, type CrashEvidence,
} from './crash.js';
import {leaseExpiryMs, type LeaseLengths} from './lease.js';
import {
	allResources, latestRecord, runKey, runState, type Minion, type MinionRecord, type Run,
} from './minion.js';
import {taskResources} from './placement.js';
import {endProbation, noteFailure, resetFailures} from './quarantine.js';
import {recordRunTime} from './slowness.js';

/** How a run ended, as reported by its minion. */
export const endKind = {
	done: 'done',
	failed: 'failed',
	/** Stopped on request, or killed because the lease has expired. The task may run again. */
	interrupted: 'interrupted',
} as const;

/** An ended run in the report of a minion. */
export type RunEnd = {
	task: string;
	number: number;
	kind: (typeof endKind)[keyof typeof endKind];
};

/** A minion's reply to a poll of its runs. */
export type MinionReport = {
	/** When the poll was sent, in milliseconds of the monotonic clock. Runs requested later may be missing. */
	polledAt: number;
	/** Current runs, with their progress in percent. */
	running: ReadonlyArray<{task: string; number: number; progress: number}>;
	/** Ended runs that no earlier poll has acknowledged. */
	ended: readonly RunEnd[];
};

/** Answers to a start request. */
export const startAnswer = {
	started: 'started',
	/** The run was not started; the start may be requested again. */
	refused: 'refused',
	/** The run was not started, because the minion has had a run of the task with this or a higher number. */
	superseded: 'superseded',
	/** The run was not started, because the minion has received a later request of this dispatcher that fences off this one. */
	fencedOff: 'fenced-off',
	/** No answer was received; the run may still start. */
	unknown: 'unknown',
} as const;

/** A value of `startAnswer`. */
export type StartAnswer = (typeof startAnswer)[keyof typeof startAnswer];

/** Dependencies and callbacks of `Runs`. */
export type RunDependencies = {
	/** The monotonic clock, in milliseconds. */
	now: () => number;
	/** Sends a start request; its answer is passed to `handleStartAnswer`. */
	requestStart: (run: Run, task: Task) => void;
	/** Sends a stop request, and repeats it until the stop is confirmed with `Dispatcher.markStopConfirmed`. */
	requestStop: (run: Run) => void;
	/** Writes a log event. */
	report: (event: string, fields: Record<string, unknown>) => void;
	/** Fencing token of the claim under which this dispatcher runs jobs. */
	claim: number;
	/** Whether every minion that may run tasks is registered. After an outage of the registry some are missing for a while. */
	isRegistryComplete: () => boolean;
	/** Whether the dispatcher with this claim has sent its minions to this host, and was heard of until a time as in `now`. */
	knowsMinionsOfClaim: (claim: number, until: number) => boolean;
	/** Finds a task by name among the current jobs. */
	findTask: (name: string) => Task | undefined;
	/** Called when a task has completed. */
	onTaskDone: (task: Task) => void;
	/** Called when a task has failed as often as its route allows, or has crashed too many minions. */
	onTaskFailed: (task: Task, reason: string) => void;
};

/** A run without progress is stalled after this many times its expected run time. */
const stalledFactor = 3;

/** Minimum time without progress after which a run is stalled, in milliseconds. */
const stalledMinMs = 400;

/** How long an inherited run may wait for its job to be resubmitted before it is stopped, in milliseconds. */
const inheritedRunGraceMs = 350;

/**
 * Number of ticks that must pass as well. After a pause of this process the time is over at once, but jobs that were
 * resubmitted during the pause are not processed yet.
 */
const inheritedRunGraceTicks = 5;

/** Maximum number of tasks completed for previous dispatchers that are kept for resubmitted jobs. */
const maxInheritedDoneTasks = 2000;

/** Manages the runs in a pool of minions, including runs inherited from the cell's previous dispatchers. */
export class Runs {
	private readonly pool: MinionPool;
	private readonly dependencies: RunDependencies;
	private readonly leaseLengths: LeaseLengths;
	private readonly startedAt: number;
	/** Names of tasks completed for a previous dispatcher whose job has not been resubmitted. */
	private readonly inheritedDoneTasks = new Set<string>();
	private readonly crashes = new CrashRecords();

	constructor(pool: MinionPool, dependencies: RunDependencies, leaseLengths: LeaseLengths) {
		this.pool = pool;
		this.dependencies = dependencies;
		this.leaseLengths = leaseLengths;
		this.startedAt = dependencies.now();
	}

	/**
	 * Applies the current registry. Minions missing from it get no new work, and are removed if they have reported that they have no runs.
	 * Unregistered minions that may have runs of a previous dispatcher are added.
	 */
	setMinions(records: readonly MinionRecord[], unregistered: readonly MinionRecord[] = []): void {
		const ids = new Set(records.map(record => record.id));
		for (const record of records) {
			// Two tables may cross: one that this host has read, and an earlier one that another host has passed on.
			const latest = latestRecord(this.pool.minions.get(record.id)?.record, record);
			this.recordIncarnation(registerMinion(this.pool, latest), latest.bornAt);
		}

		for (const record of unregistered) {
			if (!this.pool.minions.has(record.id)) {
				registerMinion(this.pool, record);
			}
		}

		for (const minion of this.pool.minions.values()) {
			if (!ids.has(minion.record.id)) {
				minion.isUnregistered = true;
				if (minion.runs.size === 0 && hasReported(minion)) {
					this.pool.minions.delete(minion.record.id);
				}
			}
		}
	}

	/** Adds a run of a waiting task and requests its start. */
	startRun(task: Task, minion: Minion, expectedMs: number): void {
		task.lastRunNumber += 1;
		task.state = taskState.running;
		task.job.mayHaveRun = true;
		task.job.hasStarted = true;
		const run = addRun(this.pool, minion, {
			task: task.name,
			number: task.lastRunNumber,
			assignedTask: task,
			resources: mustRunAlone(task) ? allResources : taskResources(task),
			state: runState.starting,
			expectedMs,
			now: this.dependencies.now(),
		});
		task.run = run;
		this.dependencies.requestStart(run, task);
	}

	/** Applies a report that a minion sent under this dispatcher's fencing token. */
	handleReport(minion: Minion, report: MinionReport): void {
		for (const end of report.ended) {
			this.handleRunEnd(minion, end);
		}

		if (!hasReported(minion)) {
			// The previous dispatcher may have renewed the lease until this report fenced it off.
			minion.leaseEndsAt = this.dependencies.now() + leaseExpiryMs(this.leaseLengths.longestMs);
		}

		if (!minion.isSynced || !minion.isReachable) {
			minion.isSynced = true;
			minion.isReachable = true;
			this.pool.capacityRevision += 1;
		}

		minion.reportedAt = this.dependencies.now();
		minion.runsLostInSilence = [];
		const listedKeys = new Set<string>();
		for (const {task, number, progress} of report.running) {
			const key = runKey(task, number);
			listedKeys.add(key);
			const run = minion.runs.get(key);
			if (run === undefined) {
				this.addInheritedRun(minion, task, number);
			} else {
				this.recordProgress(run, progress);
			}
		}

		for (const [key, run] of minion.runs) {
			if (!listedKeys.has(key) && hasEnded(run, report.polledAt)) {
				this.requeue(run);
			}
		}
	}

	/** Applies the answer to a start request. */
	handleStartAnswer(run: Run, answer: StartAnswer): void {
		if (run.state !== runState.starting || run.minion.runs.get(runKey(run.task, run.number)) !== run) {
			return;
		}

		if (answer === startAnswer.started) {
			run.state = runState.running;
			run.startConfirmedAt = this.dependencies.now();
			if (run.assignedTask === undefined) {
				this.stop(run);
			}

			return;
		}

		if (answer === startAnswer.unknown) {
			run.state = runState.unknown;
			run.minion.isReachable = false;
			this.dependencies.report('start-unanswered', {task: run.task, run: run.number, minion: run.minion.record.id});
			this.dependencies.requestStop(run);
			return;
		}

		const {assignedTask} = run;
		removeRun(this.pool, run);
		if (assignedTask !== undefined) {
			assignedTask.state = taskState.waiting;
			if (answer === startAnswer.superseded) {
				assignedTask.lastRunNumber += 1;
			} else if (answer === startAnswer.refused) {
				this.recordFailure(run.minion);
				assignedTask.avoidedMinions.add(run.minion.record.id);
			}
		}
	}

	/** Handles the expiry of the lease on a minion: every run whose start the minion had confirmed has ended. */
	handleLeaseExpiry(minion: Minion): void {
		const runs = this.endConfirmedRuns(minion);
		minion.runsLostInSilence.push(...runs);
		if (runs.length > 0) {
			const now = this.dependencies.now();
			this.dependencies.report('lease-expired', {
				minion: minion.record.id,
				expiredMs: Math.round(now - minion.leaseEndsAt),
				silentMs: Math.round(now - minion.reportedAt),
				runs: runs.map(run => describeRun(run, now)),
			});
		}
	}

	/** Handles the crash of a minion's current incarnation; further evidence of the same crash has no effect. */
	handleCrash(minion: Minion, evidence: CrashEvidence): void {
		if (hasCrashed(minion)) {
			return;
		}

		const incarnation = incarnationKey(minion);
		minion.crashedIncarnation = incarnation;
		const now = this.dependencies.now();
		const runs = [...minion.runsLostInSilence, ...minion.runs.values()];
		minion.runsLostInSilence = [];
		this.dependencies.report('minion-crashed', {
			minion: minion.record.id,
			bornAt: minion.bornAt,
			evidence,
			isDraining: minion.record.isDraining,
			runs: runs.map(run => describeRun(run, now)),
		});
		// A draining minion leaves as planned.
		if (!minion.record.isDraining) {
			this.recordCrash(incarnation, runs);
		}

		if (evidence !== crashEvidence.restarted) {
			this.endConfirmedRuns(minion);
		}
	}

	/**
	 * Records when a minion's incarnation started. The registry and the minion itself report the same incarnation at different
	 * times, so only a later start counts. Earlier runs don't survive a restart, but the new incarnation may already carry out
	 * the latest start requests. The runs therefore stay in the pool until the minion's next report.
	 */
	recordIncarnation(minion: Minion, bornAt: number): void {
		if (bornAt <= minion.bornAt) {
			return;
		}

		if (minion.bornAt === 0) {
			minion.bornAt = bornAt;
			return;
		}

		this.handleCrash(minion, crashEvidence.restarted);
		minion.bornAt = bornAt;
		this.dependencies.report('minion-reborn', {minion: minion.record.id, bornAt});
		minion.isSynced = false;
		// The new incarnation has received no token, so other dispatchers may start runs there until its first report.
		minion.reportedAt = Number.NEGATIVE_INFINITY;
		resetFailures(minion);
		for (const run of minion.runs.values()) {
			this.stopUnansweredAgain(run);
		}
	}

	/** Removes a minion that has been unregistered for long. Tasks that ran there may run again. */
	removeMinion(minion: Minion): void {
		for (const run of minion.runs.values()) {
			this.requeue(run);
		}

		this.pool.minions.delete(minion.record.id);
	}

	/** Requests the stops again whose answers are lost with the connection to a minion, as it has another address. */
	handleNewSession(minion: Minion): void {
		for (const run of minion.runs.values()) {
			if (run.state === runState.starting) {
				this.handleStartAnswer(run, startAnswer.unknown);
			} else if (run.state !== runState.running && run.stopConfirmedAt === undefined) {
				this.dependencies.requestStop(run);
			}
		}
	}

	/** Stops stalled runs, and inherited runs whose job was not resubmitted. */
	tick(now: number): void {
		for (const minion of this.pool.minions.values()) {
			for (const run of minion.runs.values()) {
				this.checkRun(run, now);
			}
		}
	}

	/** Restores the tasks of a resubmitted job that completed or still run for previous dispatchers, and the crashes under them. */
	restoreTasks(job: Job): void {
		for (const task of job.tasks) {
			task.crashes = mergeCrashes(job.request.crashes?.[task.name], this.crashes.get(task.name));
			task.lastRunNumber = Math.max(task.lastRunNumber, runNumberBefore(job.request.submission));
			if (task.state === taskState.done) {
				continue;
			}

			if (this.inheritedDoneTasks.has(task.name) || job.request.doneTasks?.includes(task.name)) {
				const {run} = task;
				task.run = undefined;
				task.state = taskState.done;
				job.mayHaveRun = true;
				if (run?.assignedTask === task) {
					this.unassignAndStop(run);
				}

				continue;
			}

			if (task.state === taskState.running) {
				continue;
			}

			for (const run of this.pool.runsByTask.get(task.name) ?? []) {
				job.mayHaveRun = true;
				task.lastRunNumber = Math.max(task.lastRunNumber, run.number);
				if (run.assignedTask === undefined && run.state === runState.running) {
					assignRun(run, task, task.step.estimateMs * expectedSlowness(this.pool, run.minion));
				}
			}
		}

		if (job.request.mayHaveRun) {
			this.dependencies.report('job-taken-over', {
				job: job.request.id,
				submission: job.request.submission,
				claim: this.dependencies.claim,
				previousClaims: job.request.previousSubmissions?.map(({claim}) => claim),
				done: job.tasks.filter(({state}) => state === taskState.done).length,
				running: job.tasks.filter(({state}) => state === taskState.running).length,
				unplaced: job.tasks.filter(task => isUnplaced(task)).length,
				unobserved: job.tasks.filter(task => isUnplaced(task) && !this.hasObservedRuns(task, this.dependencies.now())).length,
			});
		}
	}

	/**
	 * Whether no run of a task is alive that other dispatchers have started and this one does not know: its minion has reported to this
	 * dispatcher, or the lease on the job has expired.
	 */
	hasObservedRuns({name, job}: Task, now: number): boolean {
		if (job.hasUnknownHistory && !this.hasAskedMinions(now)) {
			return false;
		}

		const {mayHaveRun, previousSubmissions} = job.request;
		if (!mayHaveRun) {
			return true;
		}

		if (previousSubmissions === undefined) {
			return this.hasObservedInheritedRuns(now);
		}

		return previousSubmissions.every(previous => previous.claim === this.dependencies.claim
			|| now >= previous.leaseEndsAt || this.hasObservedRunsOf(previous, name));
	}

	/**
	 * Whether each minion has reported its runs or has not answered, or the runs of earlier dispatchers have ended. Before that, a job that
	 * names no previous submission may be running: its caller sends a copy if the connection breaks, and the host that held it may be the
	 * dispatcher that was lost. Jobs don't wait for the lease of a silent minion, which is unlikely to have been given a run just before.
	 */
	hasAskedMinions(now: number): boolean {
		if (this.areInheritedLeasesOver(now)) {
			return true;
		}

		return this.pool.minions.size > 0 && [...this.pool.minions.values()].every(minion => hasReported(minion) || !minion.isReachable);
	}

	/** Whether every inherited run has been reported, or has ended because its lease has expired. */
	hasObservedInheritedRuns(now: number): boolean {
		if (this.areInheritedLeasesOver(now)) {
			return true;
		}

		return this.dependencies.isRegistryComplete() && this.pool.minions.size > 0 && !this.hasUnsyncedMinions();
	}

	/** Whether the longest lease has ended that an earlier dispatcher may have granted. */
	areInheritedLeasesOver(now: number): boolean {
		// It sent its last renewal before this one started, or has dropped its jobs since.
		return now >= this.startedAt + leaseExpiryMs(this.leaseLengths.longestMs);
	}

	/** Whether some minions have not reported their runs yet. */
	hasUnsyncedMinions(): boolean {
		for (const minion of this.pool.minions.values()) {
			if (!minion.isSynced) {
				return true;
			}
		}

		return false;
	}

	/** Clears the assigned task of a run, and stops the run if the minion has started it. */
	unassignAndStop(run: Run): void {
		run.assignedTask = undefined;
		this.stop(run);
	}

	/** Whether no run of a task is alive that one previous dispatcher has started and this one does not know. */
	private hasObservedRunsOf({claim, leaseEndsAt, minionsByTask}: PreviousSubmission, taskName: string): boolean {
		if (claim > this.dependencies.claim) {
			// The minions may have reported before that dispatcher started the task.
			return false;
		}

		if (minionsByTask !== undefined) {
			return (minionsByTask[taskName] ?? []).every(id => {
				const minion = this.pool.minions.get(id);
				return minion !== undefined && hasReported(minion);
			});
		}

		return this.dependencies.isRegistryComplete() && this.dependencies.knowsMinionsOfClaim(claim, leaseEndsAt)
			&& this.pool.minions.size > 0 && !this.hasUnsyncedMinions();
	}

	/** Requests the stop of a run again whose start got no answer: an incarnation that has not seen the stop still carries out the start. */
	private stopUnansweredAgain(run: Run): void {
		if (run.startConfirmedAt === undefined && run.stopConfirmedAt !== undefined) {
			run.stopConfirmedAt = undefined;
			this.dependencies.requestStop(run);
		}
	}

	/** Records a crash for the tasks of the runs on the minion, and gives up those that have crashed too many. */
	private recordCrash(incarnation: string, runs: readonly Run[]): void {
		for (const [name, record] of recordsOfCrash(incarnation, runs)) {
			const task = this.dependencies.findTask(name);
			if (task?.state === taskState.done) {
				// It completed on another minion before this crash was noticed.
				continue;
			}

			const crashes = this.crashes.add(name, mergeCrashes(task?.crashes, record)!);
			if (task !== undefined) {
				task.crashes = crashes;
				for (const {onTaskCrashed} of task.job.submissions) {
					onTaskCrashed(name, crashes);
				}

				if (isGivenUp(crashes)) {
					this.dependencies.onTaskFailed(task, `${crashes.incarnations.length} minions crashed under a task, last ${incarnation}`);
				}
			}
		}
	}

	private handleRunEnd(minion: Minion, end: RunEnd): void {
		const run = minion.runs.get(runKey(end.task, end.number));
		if (run === undefined) {
			if (end.kind === endKind.done && !minion.isSynced) {
				this.handleInheritedDone(end.task);
			}

			return;
		}

		if (end.kind === endKind.interrupted) {
			this.requeue(run);
			return;
		}

		const {assignedTask} = run;
		const now = this.dependencies.now();
		removeRun(this.pool, run);
		if (end.kind === endKind.done) {
			this.crashes.delete(end.task);
			endProbation(minion);
			if (assignedTask === undefined) {
				this.handleInheritedDone(end.task);
				return;
			}

			const ranMs = now - (run.startConfirmedAt ?? run.requestedAt);
			recordRunTime(minion.slowness, ranMs, assignedTask.step.estimateMs);
			recordRunTime(slownessOfKind(this.pool, minion), ranMs, assignedTask.step.estimateMs);
			this.dependencies.onTaskDone(assignedTask);
			return;
		}

		this.recordFailure(minion);
		if (assignedTask !== undefined) {
			this.retryOrFail(assignedTask, minion);
		}
	}

	private retryOrFail(task: Task, minion: Minion): void {
		task.failures += 1;
		task.avoidedMinions.add(minion.record.id);
		task.state = taskState.waiting;
		if (task.failures >= task.job.request.maxAttempts) {
			this.dependencies.onTaskFailed(task, `a task failed ${task.failures} times, last on ${minion.record.id}`);
		}
	}

	private recordFailure(minion: Minion): void {
		if (noteFailure(minion, this.dependencies.now())) {
			this.dependencies.report('minion-quarantined', {minion: minion.record.id, failures: minion.consecutiveFailures, forMs: minion.quarantineMs});
		}
	}

	/** Marks the task of an inherited run as done, or remembers it until its job is resubmitted. */
	private handleInheritedDone(name: string): void {
		const task = this.dependencies.findTask(name);
		if (task !== undefined && isUnplaced(task)) {
			task.job.mayHaveRun = true;
			this.dependencies.onTaskDone(task);
			return;
		}

		this.inheritedDoneTasks.add(name);
		if (this.inheritedDoneTasks.size > maxInheritedDoneTasks) {
			const [oldest] = this.inheritedDoneTasks;
			this.inheritedDoneTasks.delete(oldest!);
		}
	}

	private addInheritedRun(minion: Minion, taskName: string, number: number): void {
		const run = addRun(this.pool, minion, {
			task: taskName, number, assignedTask: undefined, expectedMs: 0, now: this.dependencies.now(), state: runState.running, isInherited: true,
		});
		const task = this.dependencies.findTask(taskName);
		this.dependencies.report('run-inherited', {
			task: taskName, run: number, minion: minion.record.id, claim: this.dependencies.claim, taskState: task?.state,
		});
		if (task !== undefined && isUnplaced(task)) {
			task.lastRunNumber = Math.max(task.lastRunNumber, number);
			assignRun(run, task, task.step.estimateMs);
		}
	}

	/** Requeues the runs whose start the minion had confirmed, and returns them. A start without an answer may still be carried out. */
	private endConfirmedRuns(minion: Minion): Run[] {
		minion.isSynced = false;
		const confirmedRuns = [...minion.runs.values()].filter(({state, startConfirmedAt}) =>
			state === runState.running || (state === runState.stopping && startConfirmedAt !== undefined));
		for (const run of confirmedRuns) {
			this.requeue(run);
		}

		return confirmedRuns;
	}

	private recordProgress(run: Run, progress: number): void {
		const now = this.dependencies.now();
		if (run.state === runState.starting) {
			run.state = runState.running;
			run.startConfirmedAt = now;
		}

		if (progress > run.progress) {
			run.progress = progress;
			run.progressedAt = now;
		}
	}

	/** Removes a run that ended without a result, so that its task can be placed again. */
	private requeue(run: Run): void {
		const {assignedTask} = run;
		removeRun(this.pool, run);
		if (assignedTask?.state === taskState.running && !assignedTask.job.isSettled) {
			assignedTask.state = taskState.waiting;
		}
	}

	private stop(run: Run): void {
		if (run.state === runState.running) {
			run.state = runState.stopping;
			this.dependencies.requestStop(run);
		}
	}

	private checkRun(run: Run, now: number): void {
		if (run.assignedTask === undefined) {
			run.unassignedTicks += 1;
			if (now > run.requestedAt + inheritedRunGraceMs && run.unassignedTicks > inheritedRunGraceTicks) {
				this.stop(run);
			}

			return;
		}

		const stalledAfterMs = Math.max(stalledMinMs, run.expectedMs * stalledFactor);
		// Counts only time up to the last report: a minion that has not reported since may have ended the run long ago.
		const isStalled = run.state === runState.running && run.minion.reportedAt > Math.max(run.requestedAt, run.progressedAt) + stalledAfterMs;
		if (isStalled) {
			this.dependencies.report('run-stalled', {
				task: run.task, run: run.number, minion: run.minion.record.id, ranMs: Math.round(now - run.requestedAt), progress: run.progress,
			});
			run.assignedTask.avoidedMinions.add(run.minion.record.id);
			this.recordFailure(run.minion);
			this.stop(run);
		}
	}
}

/** Whether a minion has reported its runs to this dispatcher, and so refuses those with lower tokens. */
const hasReported = (minion: Minion): boolean => minion.reportedAt > Number.NEGATIVE_INFINITY;

/** Whether a task is neither running nor done here. A blocked one may have run elsewhere: the steps before it were complete there. */
const isUnplaced = (task: Task): boolean => task.state === taskState.waiting || task.state === taskState.blocked;

/** Assigns an inherited run to a task that is not placed. */
const assignRun = (run: Run, task: Task, expectedMs: number): void => {
	run.assignedTask = task;
	task.job.mayHaveRun = true;
	run.resources = taskResources(task);
	run.expectedMs = expectedMs;
	task.run = run;
	task.state = taskState.running;
};

/**
 * Whether a run that is missing from a report has certainly ended. The report counts only if it was polled after the
 * minion confirmed the start, or the stop of a run that is not known to be running.
 */
const hasEnded = (run: Run, polledAt: number): boolean => {
	const confirmedAt = run.state === runState.running ? run.startConfirmedAt : run.stopConfirmedAt;
	return confirmedAt !== undefined && confirmedAt < polledAt;
};
