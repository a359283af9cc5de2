/** A dispatcher: takes jobs, places their tasks on its minions and reports how each job ended. */
import {type Random} from 'chivestream-core';
import {isHopeless, isPredictedLate, retryAfterMs} from './admission.js';
import {
	FullSizes, hasWaiting, parallelTasks, waitingWorkMs, workAheadMs,
} from './backlog.js';
import {
	createBook, factorOf, freeTasks, type Book,
} from './book.js';
import {
	createJob, isComplete, jobIdOfTask, taskState, unblockTasks, type Job, type JobRequest, type Task,
} from './job.js';
import {type Minion, type MinionRecord, type Run} from './minion.js';
import {outcomeKind, type Outcome} from './outcome.js';
import {isUsable, placeTask, type PoolView} from './placement.js';
import {
	Runs, type MinionReport, type RunPorts, type StartAnswer,
} from './runs.js';
import {compareWaiting} from './waiting.js';

/** Room that another cell has told of. */
export type CellRoom = {
	/** Name of the cell among all zones. */
	cell: string;
	/** Tasks of ordinary size that can begin at once. */
	freeTasks: number;
};

/** Bounds that the platform sets, in milliseconds. */
export type DispatchBounds = {
	/** How long a run lives on without a renewal of its minion's lease, clocks' differences included. */
	leaseMs: number;
	/** How much longer a task takes away from its data's rack. */
	farFactor: number;
};

/** What a dispatcher needs of the outside. */
export type DispatchPorts = Pick<RunPorts, 'now' | 'orderStart' | 'orderStop' | 'report'> & {
	random: Random;
	/** Other cells that have told of free room, nearest first. */
	otherCells: () => CellRoom[];
};

/** The parts of a dispatcher's decisions that may vary. */
export type DispatchPolicy = {
	/** Orders the jobs that wait at a time. */
	compare: (now: number) => (one: Job, other: Job) => number;
	/** Whether a job that can begin at a time, and not before, is refused. */
	isTooLate: (job: Job, beginAt: number) => boolean;
};

/** The product's policy: a job that is predicted to miss its objective is refused while it has not begun. */
export const defaultPolicy: DispatchPolicy = {
	compare: compareWaiting,
	isTooLate: isPredictedLate,
};

/** How long a new dispatcher gets to know its minions, in milliseconds; it refuses only hopeless jobs meanwhile. */
const gatheringMs = 600;

/** Size of an ordinary task before any has come, in thousandths of a core. */
const defaultTaskMillicores = 1000;

/** Share of each new task's size in the mean size. */
const sizeShare = 0.05;

/** A dispatcher for the minions of one cell. */
export class Dispatcher {
	readonly book: Book = createBook();
	readonly jobs = new Map<string, Job>();
	private readonly ports: DispatchPorts;
	private readonly bounds: DispatchBounds;
	private readonly policy: DispatchPolicy;
	private readonly runs: Runs;
	private readonly full = new FullSizes();
	private readonly tookOverAt: number;
	private taskMillicores = 0;
	private isLeaving = false;

	constructor(ports: DispatchPorts, bounds: DispatchBounds, policy: DispatchPolicy = defaultPolicy) {
		this.ports = ports;
		this.policy = policy;
		this.bounds = bounds;
		this.tookOverAt = ports.now();
		this.runs = new Runs(this.book, {
			...ports,
			findTask: name => this.jobs.get(jobIdOfTask(name))?.tasks.find(task => task.name === name),
			noteDone: task => {
				task.state = taskState.done;
				unblockTasks(task.job);
				this.settleIfComplete(task.job);
			},
			noteFailed: ({job}, reason) => {
				this.end(job, {kind: outcomeKind.failed, reason});
			},
		}, bounds.leaseMs);
	}

	/** Takes in the registered minions; those that are missing get no new work. */
	setMinions(records: readonly MinionRecord[]): void {
		this.runs.setMinions(records);
		this.schedule();
	}

	/** Takes a job. The outcome is reported exactly once. */
	submit(request: JobRequest, settle: (outcome: Outcome) => void): void {
		const now = this.ports.now();
		if (this.isLeaving) {
			settle({kind: outcomeKind.released, doneTasks: []});
			return;
		}

		const previous = this.jobs.get(request.id);
		if (previous !== undefined) {
			// The same job by another way: it goes on, and its outcome goes to both callers.
			const settlePrevious = previous.settle;
			previous.settle = outcome => {
				settlePrevious(outcome);
				settle(outcome);
			};

			return;
		}

		const job = createJob(request, now, settle);
		this.jobs.set(request.id, job);
		this.runs.adopt(job);
		unblockTasks(job);
		if (this.settleIfComplete(job)) {
			return;
		}

		this.noteSize(job);
		this.schedule();
		if (!job.isSettled && !job.hasBegun) {
			const aheadMs = workAheadMs(job, this.jobs.values(), this.policy.compare(now));
			this.redirectOrRefuse(job, {now, aheadMs, parallel: this.parallelism()});
		}
	}

	/** The caller has left: stops what runs and forgets the job. */
	cancel(id: string): void {
		const job = this.jobs.get(id);
		if (job !== undefined) {
			this.end(job, {kind: outcomeKind.abandoned, reason: 'the caller has left'});
			this.schedule();
		}
	}

	/** Takes in what a minion told under this dispatcher's token. */
	noteReport(minion: Minion, report: MinionReport): void {
		this.runs.noteReport(minion, report);
		this.schedule();
	}

	/** Takes in the answer to an order to start. */
	noteStart(run: Run, answer: StartAnswer): void {
		this.runs.noteStart(run, answer);
		this.schedule();
	}

	/** The minion has confirmed that the run is stopped or will never start. */
	noteStop(run: Run): void {
		run.stopConfirmedAt = this.ports.now();
	}

	/** A call to the minion got no answer. */
	noteUnreachable(minion: Minion): void {
		minion.isReachable = false;
	}

	/** No lease can be left on the minion: what was confirmed to run there has ended. */
	noteLapsed(minion: Minion): void {
		this.runs.noteLapsed(minion);
		this.schedule();
	}

	/** A minion's entry or answer has told when its lifetime began. */
	noteLifetime(minion: Minion, bornAt: number): void {
		this.runs.noteLifetime(minion, bornAt);
	}

	/** A minion that has been gone for long is forgotten with all that ran there. */
	forget(minion: Minion): void {
		this.runs.forget(minion);
	}

	/** Looks for what time alone has changed: jobs that can't be served any more, runs that stand still or that nobody asks for. */
	tick(): void {
		const now = this.ports.now();
		this.runs.tick(now);
		// Minions come out of quarantine with time.
		this.book.roomChanges += 1;
		this.schedule();
		this.checkJobs(now);
	}

	/** Gives all jobs back: the next dispatcher of the cell takes over what runs. */
	release(): void {
		this.isLeaving = true;
		for (const job of this.jobs.values()) {
			job.isSettled = true;
			const doneTasks = job.tasks.filter(task => task.state === taskState.done).map(task => task.name);
			job.settle({kind: outcomeKind.released, doneTasks});
		}

		this.jobs.clear();
	}

	/** Tasks of ordinary size that could begin now, after those that wait. */
	spareTasks(): number {
		const now = this.ports.now();
		let spare = 0;
		for (const minion of this.book.minions.values()) {
			if (isUsable(minion, now)) {
				spare += freeTasks(minion, this.meanTaskMillicores());
			}
		}

		return Math.max(0, spare - this.waitingTasks());
	}

	/** Tasks that wait for room. */
	waitingTasks(): number {
		let count = 0;
		for (const job of this.jobs.values()) {
			for (const task of job.tasks) {
				count += task.state === taskState.waiting ? 1 : 0;
			}
		}

		return count;
	}

	private meanTaskMillicores(): number {
		return this.taskMillicores === 0 ? defaultTaskMillicores : this.taskMillicores;
	}

	private noteSize(job: Job): void {
		for (const step of job.request.steps) {
			this.taskMillicores = this.taskMillicores === 0
				? step.millicores
				: this.taskMillicores + ((step.millicores - this.taskMillicores) * sizeShare);
		}
	}

	/** Places the tasks that wait, the jobs that go first before the others. */
	private schedule(): void {
		if (this.isLeaving) {
			return;
		}

		this.full.refresh(this.book.roomChanges);
		const canBegin = (task: Task) => task.state === taskState.waiting && !this.full.has(task);
		const waiting: Job[] = [];
		for (const job of this.jobs.values()) {
			if (job.tasks.some(task => canBegin(task))) {
				waiting.push(job);
			}
		}

		if (waiting.length === 0) {
			return;
		}

		const now = this.ports.now();
		const knowsEarlier = this.runs.knowsEarlierRuns(now);
		const view: PoolView = {now, farFactor: this.bounds.farFactor, factorOf: minion => factorOf(this.book, minion)};
		waiting.sort(this.policy.compare(now));
		for (const job of waiting) {
			if (!knowsEarlier && job.request.mayHaveRun) {
				continue;
			}

			for (const task of job.tasks) {
				if (canBegin(task) && !this.book.runsByTask.has(task.name)) {
					this.place(task, view);
				}
			}
		}
	}

	private place(task: Task, view: PoolView): void {
		const placement = placeTask(task, this.book.minions.values(), view);
		if (placement === undefined) {
			this.full.add(task);
		} else {
			this.runs.begin(task, placement.minion, placement.expectedMs);
		}
	}

	/** Gives up, refuses or redirects the jobs that can't be served here any more, in the order in which they wait. */
	private checkJobs(now: number): void {
		const waiting: Job[] = [];
		for (const job of this.jobs.values()) {
			if (now > job.request.deadline) {
				this.giveUp(job, 'the deadline has passed');
			} else if (hasWaiting(job)) {
				waiting.push(job);
			}
		}

		waiting.sort(this.policy.compare(now));
		const parallel = this.parallelism();
		let aheadMs = 0;
		for (const job of waiting) {
			if (!job.hasBegun) {
				this.redirectOrRefuse(job, {now, aheadMs, parallel});
			} else if (isHopeless(job, now)) {
				this.giveUp(job, 'its waiting tasks can\'t end in time');
			}

			aheadMs += job.isSettled ? 0 : waitingWorkMs(job);
		}
	}

	private giveUp(job: Job, reason: string, aheadMs?: number): void {
		this.reportTurnedAway(job, job.mayHaveRun ? outcomeKind.abandoned : outcomeKind.refused, reason, aheadMs);
		if (job.mayHaveRun) {
			this.end(job, {kind: outcomeKind.abandoned, reason});
		} else {
			const backlogMs = [...this.jobs.values()].reduce((sum, other) => sum + waitingWorkMs(other), 0) / this.parallelism();
			this.end(job, {kind: outcomeKind.refused, reason, retryAfterMs: retryAfterMs(backlogMs, this.ports.random())});
		}
	}

	/** Sends a job that has not begun to a cell with room, or refuses it when it can't end in time here, behind the work ahead of it. */
	private redirectOrRefuse(job: Job, {now, aheadMs, parallel}: {now: number; aheadMs: number; parallel: number}): void {
		if (job.mayHaveRun) {
			return;
		}

		const count = job.tasks.length;
		const other = job.request.submission === 0 ? this.ports.otherCells().find(({freeTasks: free}) => free >= count) : undefined;
		if (other !== undefined) {
			other.freeTasks -= count;
			this.end(job, {kind: outcomeKind.redirected, cell: other.cell});
			return;
		}

		const isTooLate = this.isGathering(now) ? isHopeless(job, now) : this.policy.isTooLate(job, now + (aheadMs / parallel));
		if (isTooLate) {
			this.giveUp(job, 'no room in time', aheadMs);
		}
	}

	/** Logs that a job is given up or refused, with what decided it. */
	private reportTurnedAway(job: Job, outcome: string, reason: string, aheadMs: number | undefined): void {
		const now = this.ports.now();
		let usableMinions = 0;
		for (const minion of this.book.minions.values()) {
			usableMinions += isUsable(minion, now) ? 1 : 0;
		}

		this.ports.report('job-turned-away', {
			job: job.request.id,
			outcome,
			reason,
			heldMs: Math.round(now - job.arrivedAt),
			objectiveInMs: Math.round(job.request.objectiveDeadline - now),
			...(aheadMs !== undefined && {aheadMs: Math.round(aheadMs)}),
			parallelTasks: Math.round(this.parallelism()),
			usableMinions,
			minions: this.book.minions.size,
		});
	}

	/** Whether this dispatcher has only begun, and some minions have not told yet what runs on them. */
	private isGathering(now: number): boolean {
		return now <= this.tookOverAt + gatheringMs && (this.book.minions.size === 0 || this.runs.hasUnsynced());
	}

	private parallelism(): number {
		return parallelTasks(this.book, this.meanTaskMillicores(), this.ports.now());
	}

	private settleIfComplete(job: Job): boolean {
		if (job.isSettled || !isComplete(job)) {
			return false;
		}

		this.end(job, {kind: outcomeKind.completed});
		return true;
	}

	private end(job: Job, outcome: Outcome): void {
		if (job.isSettled) {
			return;
		}

		job.isSettled = true;
		this.jobs.delete(job.request.id);
		for (const task of job.tasks) {
			const {run} = task;
			if (run !== undefined) {
				task.run = undefined;
				this.runs.abandon(run);
			}
		}

		job.settle(outcome);
	}
}
