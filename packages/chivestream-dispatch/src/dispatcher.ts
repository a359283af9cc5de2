/** Accepts jobs, places their tasks on minions and reports the outcome of each job. */
import {type Random} from 'chivestream-core';
import {cannotFinishInTime, isPredictedLate, retryAfterMs} from './admission.js';
import {
	UnplaceableSizes, hasWaitingTasks, parallelTasks, waitingWorkMs, workAheadMs,
} from './backlog.js';
import {
	createMinionPool, expectedSlowness, freeTasks, largestCapacities, type MinionPool,
} from './minion-pool.js';
import {
	crashesOf, createJob, isComplete, jobIdOfTask, jobLeaseEndsAt, mergeHistories, taskState, unblockTasks, type Job, type JobRequest, type Submission, type Task,
} from './job.js';
import {
	type Minion, type MinionRecord, type Resources, type Run,
} from './minion.js';
import {Isolation} from './isolation.js';
import {outcomeKind, unaccepted, type Outcome} from './outcome.js';
import {
	fitsWithin, isUsable, placeTask, type PoolView,
} from './placement.js';
import {
	Runs, type MinionReport, type RunDependencies, type StartAnswer,
} from './runs.js';
import {isGivenUp, type CrashEvidence} from './crash.js';
import {JobsElsewhere, type CellJobs} from './jobs-elsewhere.js';
import {
	grantLease, isLeaseSufficient, jobLeaseMs, leaseExpiryMs, leaseLengths, type LeaseLengths,
} from './lease.js';
import {compareWaitingJobs} from './job-order.js';

/** Free capacity of another cell, as last published by it. */
export type CellCapacity = {
	/** Name of the cell, unique across all zones. */
	cell: string;
	/** Number of tasks of mean size that can start at once. */
	freeTasks: number;
};

/** The platform's bound on the length of leases, and the run time factor of tasks outside their preferred rack. */
export type DispatchBounds = {
	/** Longest lease that a minion grants, in milliseconds of the minion's clock. */
	leaseMs: number;
	/** Factor by which the expected run time of a task is multiplied outside its preferred rack. */
	farFactor: number;
};

/** Dependencies and callbacks of a dispatcher. */
export type DispatchDependencies = Pick<RunDependencies, 'now' | 'requestStart' | 'requestStop' | 'report' | 'claim' | 'isRegistryComplete' | 'knowsMinionsOfClaim'> & {
	/** Random numbers from 0 to 1, to spread retries. */
	random: Random;
	/** Free capacity of other cells, nearest first. The dispatcher lowers `freeTasks` of the returned object when it redirects a job there. */
	otherCells: () => CellCapacity[];
};

/** Scheduling decisions of a dispatcher that can be overridden. */
export type DispatchPolicy = {
	/** Creates a comparator that sorts jobs waiting at time `now` into the order of placement. */
	compare: (now: number) => (one: Job, other: Job) => number;
	/** Whether to refuse a job that can't start before `startAt`. */
	isTooLate: (job: Job, startAt: number) => boolean;
};

/** Default policy: a job that has not started is refused once it is predicted to miss its objective. */
export const defaultPolicy: DispatchPolicy = {
	compare: compareWaitingJobs,
	isTooLate: isPredictedLate,
};

/** Ends a submission of a job; has no effect once the job has an outcome, or after a later submission of the same host. */
export type Withdrawal = {
	/** The caller has left: the job goes on only for other hosts that submitted it. */
	cancel: () => void;
	/** The host was lost and may submit the job elsewhere: the job ends for all hosts. */
	drop: () => void;
};

/** Who submits a job, and the lease under which it may run. */
export type Submitter = Pick<Submission, 'origin' | 'leaseEndsAt'>;

/** A submitter whose lease does not end. */
const permanentSubmitter: Submitter = {leaseEndsAt: () => Infinity};

const callerHasLeft: Outcome = {kind: outcomeKind.abandoned, reason: 'the caller has left'};

const noWithdrawal: Withdrawal = {
	cancel() {
		// The submission has an outcome.
	},
	drop() {
		// The submission has an outcome.
	},
};

/** Assumed mean size of a task before the first job is submitted, in thousandths of a core. */
const defaultTaskMillicores = 1000;

/** How long a job waits for a longer lease, in milliseconds: several times what the answer of its host takes. */
const maxLeaseWaitMs = 300;

/** Weight of each newly submitted step in the moving mean of the task size. */
const newSizeWeight = 0.05;

/**
 * The dispatcher of one cell. The host passes events to its methods, and it sends start and stop requests through the callbacks
 * in `dependencies`.
 */
export class Dispatcher {
	readonly pool: MinionPool = createMinionPool();
	readonly jobs = new Map<string, Job>();
	private readonly dependencies: DispatchDependencies;
	private readonly bounds: DispatchBounds;
	private readonly leaseLengths: LeaseLengths;
	private readonly policy: DispatchPolicy;
	private readonly runs: Runs;
	private readonly unplaceableSizes = new UnplaceableSizes();
	/** The largest amounts that a minion of each upstream offers, as last registered. */
	private largestCapacities: ReadonlyMap<string, Resources> = new Map();
	private readonly isolation = new Isolation();
	/** The jobs that this dispatcher or an earlier one of the cell has redirected. */
	private readonly jobsElsewhere = new JobsElsewhere();
	/** Moving mean of the CPU size of submitted tasks; 0 before the first job. */
	private observedMeanMillicores = 0;
	/** Whether this dispatcher has released its jobs and is shutting down. */
	private isLeaving = false;

	constructor(dependencies: DispatchDependencies, bounds: DispatchBounds, policy: DispatchPolicy = defaultPolicy) {
		this.dependencies = dependencies;
		this.policy = policy;
		this.bounds = bounds;
		this.leaseLengths = leaseLengths(bounds.leaseMs);
		this.runs = new Runs(this.pool, {
			...dependencies,
			findTask: name => this.jobs.get(jobIdOfTask(name))?.tasks.find(task => task.name === name),
			onTaskDone: task => {
				task.state = taskState.done;
				unblockTasks(task.job);
				this.settleIfComplete(task.job);
			},
			onTaskFailed: ({job}, reason) => {
				this.settleJob(job, {kind: outcomeKind.failed, reason});
			},
		}, this.leaseLengths);
	}

	/** Updates the minions from the registry; see `Runs.setMinions`. */
	setMinions(records: readonly MinionRecord[], unregistered: readonly MinionRecord[] = []): void {
		this.runs.setMinions(records, unregistered);
		this.largestCapacities = largestCapacities(this.pool);
		this.schedule();
	}

	/**
	 * Submits a job. `settle` receives its outcome exactly once; it may be called before `submit` returns. If another host has already
	 * submitted the job, it continues, and both submitters receive its outcome. `onTaskCrashed` receives the crashes under each task, for the
	 * submission to the next dispatcher if this one is lost. No task of the job runs after the lease of any submitter.
	 */
	submit(
		request: JobRequest,
		settle: Submission['settle'],
		onTaskCrashed: Submission['onTaskCrashed'] = () => undefined,
		submitter: Submitter = permanentSubmitter,
	): Withdrawal {
		const now = this.dependencies.now();
		if (this.isLeaving) {
			settle(unaccepted);
			return noWithdrawal;
		}

		const submission: Submission = {
			...submitter, number: request.submission, settle, onTaskCrashed,
		};

		const existing = this.jobs.get(request.id);
		if (existing !== undefined) {
			return this.join(existing, request, submission);
		}

		// A caller sends a job again at once if its connection breaks while it sends the request.
		const redirection = request.submission === 0 ? this.follow(request.id, now) : undefined;
		if (redirection !== undefined) {
			settle(redirection);
			return noWithdrawal;
		}

		const job = createJob(request, now, submission);
		this.jobs.set(request.id, job);
		this.jobsElsewhere.recordReturn(job, now);
		if (this.jobsElsewhere.mayRun(job, now)) {
			this.dependencies.report('copy-held', {job: request.id, submission: request.submission, claim: this.dependencies.claim});
		}

		// For a resubmitted job, keeps the tasks that completed or are still running for a previous dispatcher.
		this.runs.restoreTasks(job);
		unblockTasks(job);
		if (this.settleIfComplete(job)) {
			return noWithdrawal;
		}

		if (job.tasks.some(task => isGivenUp(task.crashes))) {
			this.settleJob(job, {kind: outcomeKind.failed, reason: 'a task has crashed too many minions before'});
			return noWithdrawal;
		}

		this.recordTaskSizes(job);
		this.schedule();
		if (!job.isSettled && !job.hasStarted && !this.awaitsLease(job, now)) {
			const aheadMs = workAheadMs(job, this.jobs.values(), this.policy.compare(now));
			this.redirectOrRefuse(job, {now, aheadMs, parallelTaskCount: this.parallelTaskCount()});
		}

		return this.withdrawalOf(job, submission);
	}

	/** Cancels a job whose caller has disconnected, and stops its runs. */
	cancel(id: string): void {
		const job = this.jobs.get(id);
		if (job !== undefined) {
			this.settleJob(job, callerHasLeft);
			this.schedule();
		}
	}

	/**
	 * Cancels a job at a caller's request: settles it for all its submitters, and stops its runs, also those of a previous dispatcher
	 * whose job has not been resubmitted. Returns whether there was a job or a run.
	 */
	cancelJob(id: string): boolean {
		const job = this.jobs.get(id);
		if (job !== undefined) {
			this.settleJob(job, {kind: outcomeKind.cancelled});
		}

		let hasRuns = false;
		for (const [name, runs] of this.pool.runsByTask) {
			if (jobIdOfTask(name) === id) {
				hasRuns = true;
				for (const run of runs) {
					this.runs.unassignAndStop(run);
				}
			}
		}

		this.schedule();
		return job !== undefined || hasRuns;
	}

	/** Applies a minion's report that carries this dispatcher's fencing token. */
	handleReport(minion: Minion, report: MinionReport): void {
		this.runs.handleReport(minion, report);
		this.schedule();
	}

	/** Applies the answer to a start request. */
	handleStartAnswer(run: Run, answer: StartAnswer): void {
		this.runs.handleStartAnswer(run, answer);
		this.schedule();
	}

	/** Marks that the minion has confirmed that the run will stop or can no longer start. */
	markStopConfirmed(run: Run): void {
		run.stopConfirmedAt = this.dependencies.now();
	}

	/** Marks a minion as unreachable after it did not answer a request. It gets no new work until its next report. */
	markUnreachable(minion: Minion): void {
		minion.isReachable = false;
	}

	/** Handles the expiry of the lease on a minion: every run whose start the minion had confirmed has ended. */
	handleLeaseExpiry(minion: Minion): void {
		this.runs.handleLeaseExpiry(minion);
		this.schedule();
	}

	/** Handles the crash of a minion's current incarnation. */
	handleCrash(minion: Minion, evidence: CrashEvidence): void {
		this.runs.handleCrash(minion, evidence);
		this.schedule();
	}

	/** Length of the lease that a minion may be granted now, in milliseconds of its clock; undefined if it must not be extended. */
	grantLease(minion: Minion): number | undefined {
		return grantLease(minion, this.leaseLengths, this.dependencies.now());
	}

	/** Places the tasks that have waited for the lease on their job, after a host has extended it. */
	resume(): void {
		this.schedule();
	}

	/** Whether other dispatchers are to name the jobs of this cell that they hold: an earlier dispatcher may have redirected them, and its runs
	 * may be alive. */
	asksForJobs(): boolean {
		return !this.runs.areInheritedLeasesOver(this.dependencies.now());
	}

	/** Waits until the dispatchers of other cells have named the jobs of this cell that they hold; only the first call has an effect. */
	awaitJobsElsewhere(cells: Iterable<string>, answersDueAt: number): void {
		this.jobsElsewhere.ask(cells, answersDueAt);
	}

	/** Stops waiting for the answers of all cells but these. */
	retainAskedCells(cells: ReadonlySet<string>): void {
		this.reportUnanswered(this.jobsElsewhere.retain(cells), 'no dispatcher in reach');
		this.schedule();
	}

	/** Handles the answer of the dispatchers of cells: copies of these jobs follow them, unless a task may have run here. */
	handleJobsElsewhere(jobs: readonly CellJobs[]): void {
		const now = this.dependencies.now();
		for (const {cell, ids} of jobs) {
			this.jobsElsewhere.recordAnswer(cell);
			for (const id of ids) {
				this.recordRedirection(id, {cell, origin: undefined, hasCopies: false}, now);
				const job = this.jobs.get(id);
				const isCopy = job?.request.submission === 0 && !job.mayHaveRun && (job.request.previousSubmissions ?? []).length === 0;
				const redirection = isCopy ? this.follow(id, now) : undefined;
				if (redirection !== undefined) {
					this.settleJob(job!, redirection);
				}
			}
		}

		this.schedule();
	}

	/**
	 * Ids of the jobs here that belong in another cell, and of those of which only runs are known, whose cell is not known; undefined before
	 * the minions have reported their runs.
	 */
	jobsOfCell(cell: string): string[] | undefined {
		if (!this.runs.hasAskedMinions(this.dependencies.now())) {
			return undefined;
		}

		const ids = [...this.jobs.values()].filter(({request}) => request.homeCell === cell).map(({request}) => request.id);
		const ofRuns = [...this.pool.runsByTask.keys()].map(name => jobIdOfTask(name)).filter(id => !this.jobs.has(id));
		return [...new Set([...ids, ...ofRuns])];
	}

	/** Handles a new session with a minion at another address; answers to earlier requests are lost. */
	handleNewSession(minion: Minion): void {
		this.runs.handleNewSession(minion);
	}

	/** Records when a minion's incarnation started, as reported by the registry or the minion. */
	recordIncarnation(minion: Minion, bornAt: number): void {
		this.runs.recordIncarnation(minion, bornAt);
	}

	/** Removes a minion that has been unregistered for a long time. Its unfinished tasks can then be placed again. */
	removeMinion(minion: Minion): void {
		this.runs.removeMinion(minion);
	}

	/**
	 * Applies changes that depend on time alone; called regularly. Stops stalled runs and runs that no longer belong to
	 * a task, places waiting tasks, and ends jobs that can no longer be served.
	 */
	tick(): void {
		const now = this.dependencies.now();
		this.runs.tick(now);
		this.reportUnanswered(this.jobsElsewhere.expire(now), 'no answer in time');
		// A quarantine may have ended since the last tick, so tasks that found no minion are tried again.
		this.pool.capacityRevision += 1;
		this.schedule();
		this.endUnservableJobs(now);
	}

	/** Releases all jobs and accepts no more. Runs continue, and the cell's next dispatcher takes them over. */
	release(): void {
		this.isLeaving = true;
		const now = this.dependencies.now();
		for (const job of this.jobs.values()) {
			job.isSettled = true;
			const doneTasks = job.tasks.filter(task => task.state === taskState.done).map(task => task.name);
			const crashes = crashesOf(job);
			const minionsByTask = this.minionsByTask(job, now);
			settleAll(job, {
				kind: outcomeKind.released,
				doneTasks,
				...(minionsByTask !== undefined && {minionsByTask}),
				...(crashes !== undefined && {crashes}),
				...(this.mayRunElsewhere(job, now) && {hasUnknownHistory: true}),
			});
		}

		this.jobs.clear();
	}

	/** Number of tasks of mean size that could start now in addition to the waiting tasks. */
	spareTaskCount(): number {
		const now = this.dependencies.now();
		let spare = 0;
		for (const minion of this.pool.minions.values()) {
			if (isUsable(minion, now) && minion !== this.isolation.reservation?.minion) {
				spare += freeTasks(minion, this.meanTaskMillicores());
			}
		}

		return Math.max(0, spare - this.waitingTaskCount());
	}

	/** Number of tasks that are ready but not placed. */
	waitingTaskCount(): number {
		let count = 0;
		for (const job of this.jobs.values()) {
			for (const task of job.tasks) {
				count += task.state === taskState.waiting ? 1 : 0;
			}
		}

		return count;
	}

	/** Adds a submission to a job that was submitted before. */
	private join(job: Job, request: JobRequest, submission: Submission): Withdrawal {
		const replaced = submission.origin === undefined ? undefined : job.submissions.find(({origin}) => origin === submission.origin);
		if (replaced !== undefined && replaced.number > submission.number) {
			// It was overtaken by the next submission of the host, which no longer waits for it.
			submission.settle({kind: outcomeKind.released, doneTasks: [], minionsByTask: {}});
			return noWithdrawal;
		}

		job.submissions = [...job.submissions.filter(other => other !== replaced), submission];
		if (request.homeCell !== undefined) {
			job.request = {...job.request, homeCell: request.homeCell};
		}

		this.dependencies.report('job-submitted-again', {
			job: request.id, submission: request.submission, claim: this.dependencies.claim, origins: job.submissions.map(({origin}) => origin),
		});
		// The direct successor of a submission to this dispatcher names no other dispatcher.
		if (replaced === undefined || submission.number > replaced.number + 1) {
			this.addHistory(job, request);
		}

		this.schedule();
		return job.isSettled ? noWithdrawal : this.withdrawalOf(job, submission);
	}

	/** Adds what a further submission says about earlier dispatchers of a job. */
	private addHistory(job: Job, request: JobRequest): void {
		job.hasUnknownHistory ||= !request.mayHaveRun || request.hasUnknownHistory === true;
		if (!request.mayHaveRun) {
			return;
		}

		job.mayHaveRun = true;
		job.hasSeveralHistories = true;
		job.request = mergeHistories(job.request, request);
		this.runs.restoreTasks(job);
		unblockTasks(job);
		if (!this.settleIfComplete(job) && job.tasks.some(task => isGivenUp(task.crashes))) {
			this.settleJob(job, {kind: outcomeKind.failed, reason: 'a task has crashed too many minions before'});
		}
	}

	private withdrawalOf(job: Job, submission: Submission): Withdrawal {
		return {
			cancel: () => {
				if (job.isSettled || !job.submissions.includes(submission)) {
					return;
				}

				if (job.submissions.length === 1) {
					this.cancel(job.request.id);
				} else {
					job.submissions = job.submissions.filter(other => other !== submission);
					submission.settle(callerHasLeft);
					this.schedule();
				}
			},
			drop: () => {
				if (!job.isSettled && job.submissions.includes(submission)) {
					this.settleJob(job, {kind: outcomeKind.abandoned, reason: `the host ${submission.origin ?? ''} that submitted the job was lost`});
					this.schedule();
				}
			},
		};
	}

	private recordRedirection(id: string, redirection: {cell: string; origin: string | undefined; hasCopies: boolean}, now: number): void {
		this.jobsElsewhere.record(id, redirection, {now, until: this.copiesFollowUntil(now)});
	}

	/** Until when a job that is sent to another cell now may be running there without its host, in milliseconds of the monotonic clock. */
	private copiesFollowUntil(now: number): number {
		return now + jobLeaseMs(this.bounds.leaseMs);
	}

	/** Logs the cells that count from now on as holding no job of this cell, though their dispatchers have not said so. */
	private reportUnanswered(cells: readonly string[], reason: string): void {
		if (cells.length > 0) {
			this.dependencies.report('jobs-elsewhere-unknown', {cells, reason, claim: this.dependencies.claim});
		}
	}

	/** The outcome of a copy of a job whose first copy went to another cell; undefined if that went to none. */
	private follow(job: string, now: number): Outcome | undefined {
		const cell = this.jobsElsewhere.follow(job, {now, until: this.copiesFollowUntil(now)});
		if (cell === undefined) {
			return undefined;
		}

		this.dependencies.report('copy-redirected', {job, cell, claim: this.dependencies.claim});
		return {kind: outcomeKind.redirected, cell, mayRunForMs: jobLeaseMs(this.bounds.leaseMs)};
	}

	/** Whether a job without a history is unknown to all minions and other dispatchers that could be asked, and so has not run. */
	private hasAskedAll(now: number): boolean {
		return this.runs.hasAskedMinions(now) && this.jobsElsewhere.isKnown(now);
	}

	/**
	 * Whether a copy of a job may be running in another cell, to which this dispatcher or an earlier one has sent it. A job that has been
	 * submitted before is held here until then instead of being sent after that copy. So no job goes to and fro between cells that each take the
	 * other for its place.
	 */
	private mayRunElsewhere(job: Job, now: number): boolean {
		return (job.hasUnknownHistory && !this.jobsElsewhere.isKnown(now)) || this.jobsElsewhere.mayRun(job, now);
	}

	/**
	 * Whether the lease on a job is too short for some minions, and its host is about to extend it. A job that waits for longer than a message takes,
	 * or while no minion takes tasks anyway, counts as one without room.
	 */
	private awaitsLease(job: Job, now: number): boolean {
		return this.hasShortLease(job, now) && now < job.arrivedAt + maxLeaseWaitMs
			&& [...this.pool.minions.values()].some(minion => isUsable(minion, now));
	}

	private hasShortLease(job: Job, now: number): boolean {
		return jobLeaseEndsAt(job) < now + leaseExpiryMs(this.leaseLengths.usualMs);
	}

	/** Ids of the minions on which each task of a job may be running; undefined if others may run some that have not reported them yet. */
	private minionsByTask(job: Job, now: number): Record<string, string[]> | undefined {
		// A submitter with another history, or with none, relies on this list alone.
		const isShared = job.hasUnknownHistory || job.hasSeveralHistories || job.submissions.length > 1;
		if (this.mayRunElsewhere(job, now)) {
			return undefined;
		}

		if (isShared && !(this.jobsElsewhere.isKnown(now) && job.tasks.every(task => this.runs.hasObservedRuns(task, now)))) {
			return undefined;
		}

		return Object.fromEntries(job.tasks.flatMap(({name}) => {
			const runs = this.pool.runsByTask.get(name);
			return runs === undefined ? [] : [[name, [...runs].map(run => run.minion.record.id)] as const];
		}));
	}

	private meanTaskMillicores(): number {
		return this.observedMeanMillicores === 0 ? defaultTaskMillicores : this.observedMeanMillicores;
	}

	private recordTaskSizes(job: Job): void {
		for (const step of job.request.steps) {
			this.observedMeanMillicores = this.observedMeanMillicores === 0
				? step.millicores
				: this.observedMeanMillicores + ((step.millicores - this.observedMeanMillicores) * newSizeWeight);
		}
	}

	/** Places waiting tasks, job by job in the order of the policy. */
	private schedule(): void {
		if (this.isLeaving) {
			return;
		}

		const now = this.dependencies.now();
		if (this.isolation.release(now)) {
			this.pool.capacityRevision += 1;
		}

		this.unplaceableSizes.refresh(this.pool.capacityRevision);
		const isPlaceable = (task: Task) => task.state === taskState.waiting && !this.unplaceableSizes.has(task);
		const waiting: Job[] = [];
		for (const job of this.jobs.values()) {
			if (job.tasks.some(task => isPlaceable(task))) {
				waiting.push(job);
			}
		}

		if (waiting.length === 0) {
			return;
		}

		const view: PoolView = {
			now,
			farFactor: this.bounds.farFactor,
			expectedSlowness: minion => expectedSlowness(this.pool, minion),
			isLeaseSufficient: (minion, task) => isLeaseSufficient(minion, jobLeaseEndsAt(task.job), this.leaseLengths, now),
			reservation: this.isolation.reservation,
		};
		waiting.sort(this.policy.compare(now));
		for (const job of waiting) {
			// Its caller may have sent the job to another host by now.
			if (now > job.request.deadline) {
				continue;
			}

			if (this.mayRunElsewhere(job, now)) {
				continue;
			}

			for (const task of job.tasks) {
				if (isPlaceable(task) && !this.pool.runsByTask.has(task.name) && this.runs.hasObservedRuns(task, now)) {
					this.place(task, view);
				}
			}
		}
	}

	private place(task: Task, view: PoolView): void {
		if (!this.isolation.mayStart(task, this.pool.minions.values(), view.now)) {
			return;
		}

		const placement = placeTask(task, this.pool.minions.values(), view);
		if (placement !== undefined) {
			this.runs.startRun(task, placement.minion, placement.expectedMs);
			return;
		}

		if (this.hasShortLease(task.job, view.now)) {
			return;
		}

		this.unplaceableSizes.add(task);
		this.isolation.reserve(task, this.pool.minions.values(), view.now);
		view.reservation = this.isolation.reservation;
	}

	/** Ends the jobs that can no longer be served here: refuses, redirects or abandons them, in the order of placement. */
	private endUnservableJobs(now: number): void {
		const waiting: Job[] = [];
		for (const job of this.jobs.values()) {
			if (now > job.request.deadline) {
				this.abandonOrRefuse(job, 'the deadline has passed');
			} else if (hasWaitingTasks(job)) {
				waiting.push(job);
			}
		}

		waiting.sort(this.policy.compare(now));
		const parallelTaskCount = this.parallelTaskCount();
		let aheadMs = 0;
		for (const job of waiting) {
			if (!job.hasStarted && !this.awaitsLease(job, now) && !this.mayHaveRun(job, now)) {
				this.redirectOrRefuse(job, {now, aheadMs, parallelTaskCount});
			} else if (cannotFinishInTime(job, now)) {
				this.abandonOrRefuse(job, 'its waiting tasks can\'t end in time');
			}

			aheadMs += job.isSettled ? 0 : waitingWorkMs(job);
		}
	}

	/** Abandons a job of which tasks may have run, and refuses any other. */
	private abandonOrRefuse(job: Job, reason: string, aheadMs?: number): void {
		const mayHaveRun = this.mayHaveRun(job, this.dependencies.now());
		this.reportUnserved(job, mayHaveRun ? outcomeKind.abandoned : outcomeKind.refused, reason, aheadMs);
		if (mayHaveRun) {
			this.settleJob(job, {kind: outcomeKind.abandoned, reason});
		} else {
			const backlogMs = [...this.jobs.values()].reduce((sum, other) => sum + waitingWorkMs(other), 0) / this.parallelTaskCount();
			this.settleJob(job, {kind: outcomeKind.refused, reason, retryAfterMs: retryAfterMs(backlogMs, this.dependencies.random())});
		}
	}

	/**
	 * Redirects a job of which no task can have run to a cell with enough free capacity. If there is none, refuses the job if no
	 * minion here is large enough for one of its tasks, or if it can't complete in time after the work ahead of it. Only the first
	 * submission of a job is redirected.
	 */
	private redirectOrRefuse(job: Job, {now, aheadMs, parallelTaskCount}: {now: number; aheadMs: number; parallelTaskCount: number}): void {
		if (this.mayHaveRun(job, now)) {
			return;
		}

		const count = job.tasks.length;
		const otherCell = job.request.submission === 0 ? this.dependencies.otherCells().find(({freeTasks: free}) => free >= count) : undefined;
		if (otherCell !== undefined) {
			otherCell.freeTasks -= count;
			this.recordRedirection(job.request.id, {cell: otherCell.cell, origin: job.submissions[0]?.origin, hasCopies: job.submissions.length > 1}, now);
			this.settleJob(job, {kind: outcomeKind.redirected, cell: otherCell.cell});
			return;
		}

		const capacity = this.largestCapacities.get(job.request.upstream);
		if (capacity !== undefined && !fitsWithin(job, capacity)) {
			this.abandonOrRefuse(job, 'no minion is large enough for a task', aheadMs);
			return;
		}

		if (this.policy.isTooLate(job, now + (aheadMs / parallelTaskCount))) {
			this.abandonOrRefuse(job, 'no room in time', aheadMs);
		}
	}

	/** Logs that a job is abandoned or refused, with the values behind the decision. */
	private reportUnserved(job: Job, outcome: string, reason: string, aheadMs: number | undefined): void {
		const now = this.dependencies.now();
		let usableMinions = 0;
		for (const minion of this.pool.minions.values()) {
			usableMinions += isUsable(minion, now) ? 1 : 0;
		}

		this.dependencies.report('job-turned-away', {
			job: job.request.id,
			outcome,
			reason,
			heldMs: Math.round(now - job.arrivedAt),
			objectiveInMs: Math.round(job.request.objectiveDeadline - now),
			...(aheadMs !== undefined && {aheadMs: Math.round(aheadMs)}),
			parallelTasks: Math.round(this.parallelTaskCount()),
			usableMinions,
			minions: this.pool.minions.size,
		});
	}

	/** Whether a task of a job may have run, here or for a previous dispatcher whose runs are not all known yet. */
	private mayHaveRun(job: Job, now: number): boolean {
		return job.mayHaveRun || !this.hasAskedAll(now) || this.mayRunElsewhere(job, now);
	}

	/** Number of tasks of mean size that the pool can run in parallel; at least 1. */
	private parallelTaskCount(): number {
		return parallelTasks(this.pool, this.meanTaskMillicores(), this.dependencies.now());
	}

	/** Settles the job as completed if all its tasks are done; returns whether it did. */
	private settleIfComplete(job: Job): boolean {
		if (job.isSettled || !isComplete(job)) {
			return false;
		}

		this.settleJob(job, {kind: outcomeKind.completed});
		return true;
	}

	/** Removes a job, stops its runs and passes on its outcome. */
	private settleJob(job: Job, outcome: Outcome): void {
		if (job.isSettled) {
			return;
		}

		job.isSettled = true;
		this.jobs.delete(job.request.id);
		for (const task of job.tasks) {
			const {run} = task;
			if (run !== undefined) {
				task.run = undefined;
				this.runs.unassignAndStop(run);
			}
		}

		settleAll(job, outcome);
	}
}

/** Passes the outcome of a job on to all its submitters. */
const settleAll = ({submissions}: Job, outcome: Outcome): void => {
	for (const {settle} of submissions) {
		settle(outcome);
	}
};
