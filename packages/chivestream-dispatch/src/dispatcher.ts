/** A dispatcher: takes jobs, orders runs of their tasks on its minions and reports how each job ended. */
import {type Random} from 'chivestream-core';
import {isHopeless, retryAfterMs} from './admission.js';
import {
	createBook, enterRun, factorOf, freeTasks, kindOf, registerMinion, removeRun, type Book,
} from './book.js';
import {
	createJob, isComplete, jobIdOfTask, taskState, unblockTasks, type Job, type JobRequest, type Task,
} from './job.js';
import {
	runKey, runState, type Minion, type MinionRecord, type Run,
} from './minion.js';
import {outcomeKind, type Outcome} from './outcome.js';
import {
	isCountedOn, isUsable, placeTask, roomOf, type PoolView,
} from './placement.js';
import {learn} from './slowness.js';
import {compareWaiting, latestStart} from './waiting.js';

/** How a run ended, as its minion lists it. */
export const endKind = {
	done: 'done',
	failed: 'failed',
	/** Stopped, or killed for want of a lease: the task may run again. */
	interrupted: 'interrupted',
} as const;

/** One ended run of a minion's list. */
export type RunEnd = {
	task: string;
	number: number;
	kind: (typeof endKind)[keyof typeof endKind];
};

/** What a minion tells of its runs. */
export type MinionReport = {
	/** When the question was sent: what was ordered later may be missing. */
	askedAt: number;
	running: ReadonlyArray<{task: string; number: number; progress: number}>;
	ended: readonly RunEnd[];
};

/** How an order to start a run was answered. */
export const startAnswer = {
	started: 'started',
	/** Nothing was done, and the minion may be asked again. */
	refused: 'refused',
	/** Nothing was done: a run of this or a higher number has been there. */
	superseded: 'superseded',
	/** No answer: the order may still be carried out. */
	unknown: 'unknown',
} as const;

/** One of the answers to an order to start. */
export type StartAnswer = (typeof startAnswer)[keyof typeof startAnswer];

/** Room that another zone has told of. */
export type ZoneRoom = {
	zone: string;
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
export type DispatchPorts = {
	/** The steady clock, in milliseconds. */
	now: () => number;
	random: Random;
	/** Sends the order to start; the answer comes back through `noteStart`. */
	orderStart: (run: Run, task: Task) => void;
	/** Sends the order to stop until it is confirmed through `noteStop`. */
	orderStop: (run: Run) => void;
	/** Other zones that have told of free room, nearest first. */
	otherZones: () => ZoneRoom[];
	/** Reports a decision for the log. */
	report: (event: string, fields: Record<string, unknown>) => void;
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
	isTooLate: (job, beginAt) => beginAt > latestStart(job),
};

/** Failures in a row on one minion that put it aside. */
const quarantineFailures = 2;

/** How long a failing minion is put aside at first, and at most, in milliseconds. */
const quarantineMs = {first: 1000, most: 8000} as const;

/** A run counts as standing still after this many times its expected run time. */
const stalledFactor = 3;

/** Least time before a run counts as standing still, in milliseconds. */
const stalledMinMs = 400;

/** How long runs of an earlier dispatcher may go on before they are stopped, in milliseconds. */
const adoptionMs = 600;

/** How long a new dispatcher gets to know its minions, in milliseconds; it refuses only hopeless jobs meanwhile. */
const gatheringMs = 600;

/** Ends of earlier dispatchers' runs kept for jobs that come back. */
const maxForeignEnds = 2000;

/** Size of an ordinary task before any has come, in thousandths of a core. */
const defaultTaskMillicores = 1000;

/** Share of each new task's size in the mean size. */
const sizeShare = 0.05;

/** A dispatcher for the minions of one zone. */
export class Dispatcher {
	readonly book: Book = createBook();
	readonly jobs = new Map<string, Job>();
	private readonly ports: DispatchPorts;
	private readonly bounds: DispatchBounds;
	private readonly policy: DispatchPolicy;
	private readonly foreignDone = new Set<string>();
	private readonly tookOverAt: number;
	private taskMillicores = 0;
	private isLeaving = false;

	constructor(ports: DispatchPorts, bounds: DispatchBounds, policy: DispatchPolicy = defaultPolicy) {
		this.ports = ports;
		this.policy = policy;
		this.bounds = bounds;
		this.tookOverAt = ports.now();
	}

	/** Takes in the registered minions; those that are missing get no new work. */
	setMinions(records: readonly MinionRecord[]): void {
		const ids = new Set(records.map(record => record.id));
		for (const record of records) {
			this.noteLifetime(registerMinion(this.book, record), record.bornAt);
		}

		for (const minion of this.book.minions.values()) {
			if (!ids.has(minion.record.id)) {
				minion.isGone = true;
				if (minion.runs.size === 0) {
					this.book.minions.delete(minion.record.id);
				}
			}
		}

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
		this.adopt(job);
		if (this.settleIfComplete(job)) {
			return;
		}

		this.noteSize(job);
		this.schedule();
		if (!job.isSettled && !job.hasBegun) {
			this.redirectOrRefuse(job);
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
		for (const end of report.ended) {
			this.noteEnd(minion, end);
		}

		minion.isSynced = true;
		minion.isReachable = true;
		minion.reportedAt = this.ports.now();

		const listed = new Set<string>();
		for (const {task, number, progress} of report.running) {
			const key = runKey(task, number);
			listed.add(key);
			const run = minion.runs.get(key);
			if (run === undefined) {
				this.noteForeignRun(minion, task, number);
			} else {
				this.noteProgress(run, progress);
			}
		}

		for (const [key, run] of minion.runs) {
			if (!listed.has(key) && this.isOver(run, report.askedAt)) {
				this.interrupt(run);
			}
		}

		this.schedule();
	}

	/** Takes in the answer to an order to start. */
	noteStart(run: Run, answer: StartAnswer): void {
		if (run.state !== runState.starting || run.minion.runs.get(runKey(run.task, run.number)) !== run) {
			return;
		}

		if (answer === startAnswer.started) {
			run.state = runState.running;
			run.confirmedAt = this.ports.now();
			if (run.owner === undefined) {
				this.stop(run);
			}

			return;
		}

		if (answer === startAnswer.unknown) {
			run.state = runState.unknown;
			run.minion.isReachable = false;
			this.ports.report('start-unanswered', {task: run.task, run: run.number, minion: run.minion.record.id});
			this.ports.orderStop(run);
			return;
		}

		const {owner} = run;
		removeRun(this.book, run);
		if (owner !== undefined) {
			owner.state = taskState.waiting;
			if (answer === startAnswer.superseded) {
				owner.lastRun += 1;
			} else {
				this.noteFailure(run.minion);
				owner.avoided.add(run.minion.record.id);
			}
		}

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
		minion.isSynced = false;
		for (const run of minion.runs.values()) {
			if (run.state === runState.running || (run.state === runState.stopping && run.confirmedAt !== undefined)) {
				this.interrupt(run);
			}
		}

		this.schedule();
	}

	/**
	 * A minion's entry or answer has told when its lifetime began; the two tell of one lifetime at different times. Nothing of
	 * before runs in a new one, but orders of the last moment may: the minion's next report tells which.
	 */
	noteLifetime(minion: Minion, bornAt: number): void {
		if (bornAt <= minion.bornAt) {
			return;
		}

		const isFirst = minion.bornAt === 0;
		minion.bornAt = bornAt;
		if (isFirst) {
			return;
		}

		this.ports.report('minion-reborn', {minion: minion.record.id, bornAt});
		minion.isSynced = false;
		minion.failuresInRow = 0;
		minion.quarantinedUntil = 0;
	}

	/** A minion that has been gone for long is forgotten with all that ran there. */
	forget(minion: Minion): void {
		for (const run of minion.runs.values()) {
			this.interrupt(run);
		}

		this.book.minions.delete(minion.record.id);
	}

	/** Looks for jobs that can't be served any more, runs that stand still and runs that nobody asks for. */
	tick(): void {
		const now = this.ports.now();
		for (const minion of this.book.minions.values()) {
			for (const run of minion.runs.values()) {
				this.checkRun(run, now);
			}
		}

		this.schedule();
		for (const job of this.jobs.values()) {
			this.checkJob(job, now);
		}
	}

	/** Gives all jobs back: the next dispatcher of the zone takes over what runs. */
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

	/** Runs and ends of earlier dispatchers that belong to a job which comes back. */
	private adopt(job: Job): void {
		for (const task of job.tasks) {
			if (this.foreignDone.has(task.name) || job.request.doneTasks?.includes(task.name)) {
				task.state = taskState.done;
				job.mayHaveRun = true;
				continue;
			}

			for (const run of this.book.runsByTask.get(task.name) ?? []) {
				job.mayHaveRun = true;
				task.lastRun = Math.max(task.lastRun, run.number);
				if (run.owner === undefined && run.state === runState.running) {
					run.owner = task;
					run.room = roomOf(task);
					run.expectedMs = task.step.estimateMs * factorOf(this.book, run.minion);
					task.run = run;
					task.state = taskState.running;
				}
			}
		}

		unblockTasks(job);
	}

	/** Whether all runs of earlier dispatchers are known, or dead for want of a lease. */
	private knowsEarlierRuns(now: number): boolean {
		if (now >= this.tookOverAt + this.bounds.leaseMs + adoptionMs) {
			return true;
		}

		for (const minion of this.book.minions.values()) {
			if (!minion.isSynced) {
				return false;
			}
		}

		return this.book.minions.size > 0;
	}

	private schedule(): void {
		if (this.isLeaving) {
			return;
		}

		const now = this.ports.now();
		const knowsEarlier = this.knowsEarlierRuns(now);
		const waiting = [...this.jobs.values()]
			.filter(job => (knowsEarlier || !job.request.mayHaveRun) && job.tasks.some(task => task.state === taskState.waiting))
			.sort(this.policy.compare(now));
		const view: PoolView = {now, farFactor: this.bounds.farFactor, factorOf: minion => factorOf(this.book, minion)};
		for (const job of waiting) {
			for (const task of job.tasks) {
				if (task.state === taskState.waiting && !this.book.runsByTask.has(task.name)) {
					this.place(task, view);
				}
			}
		}
	}

	private place(task: Task, view: PoolView): void {
		const placement = placeTask(task, this.book.minions.values(), view);
		if (placement === undefined) {
			return;
		}

		task.lastRun += 1;
		task.state = taskState.running;
		task.job.mayHaveRun = true;
		task.job.hasBegun = true;
		const run = enterRun(this.book, placement.minion, {
			task: task.name,
			number: task.lastRun,
			owner: task,
			room: roomOf(task),
			state: runState.starting,
			expectedMs: placement.expectedMs,
			now: view.now,
		});
		task.run = run;
		this.ports.orderStart(run, task);
	}

	private noteEnd(minion: Minion, end: RunEnd): void {
		const run = minion.runs.get(runKey(end.task, end.number));
		if (run === undefined) {
			if (end.kind === endKind.done && !minion.isSynced) {
				this.noteForeignDone(end.task);
			}

			return;
		}

		if (end.kind === endKind.interrupted) {
			this.interrupt(run);
			return;
		}

		const {owner} = run;
		const now = this.ports.now();
		removeRun(this.book, run);
		if (end.kind === endKind.done) {
			minion.failuresInRow = 0;
			minion.isOnProbation = false;
			minion.quarantineMs = 0;
			if (owner === undefined) {
				this.noteForeignDone(end.task);
				return;
			}

			const ranMs = now - (run.confirmedAt ?? run.orderedAt);
			learn(minion.slowness, ranMs, owner.step.estimateMs);
			learn(kindOf(this.book, minion), ranMs, owner.step.estimateMs);
			owner.state = taskState.done;
			unblockTasks(owner.job);
			this.settleIfComplete(owner.job);
			return;
		}

		this.noteFailure(minion);
		if (owner !== undefined) {
			this.retryFailed(owner, minion);
		}
	}

	private retryFailed(task: Task, minion: Minion): void {
		task.failures += 1;
		task.avoided.add(minion.record.id);
		task.state = taskState.waiting;
		if (task.failures >= task.job.request.maxAttempts) {
			const reason = `a task failed ${task.failures} times, last on ${minion.record.id}`;
			this.end(task.job, {kind: outcomeKind.failed, reason});
		}
	}

	private noteFailure(minion: Minion): void {
		minion.failuresInRow += 1;
		if (minion.failuresInRow < quarantineFailures) {
			return;
		}

		minion.quarantineMs = Math.min(quarantineMs.most, Math.max(quarantineMs.first, minion.quarantineMs * 2));
		minion.quarantinedUntil = this.ports.now() + minion.quarantineMs;
		minion.isOnProbation = true;
		this.ports.report('minion-quarantined', {minion: minion.record.id, failures: minion.failuresInRow, forMs: minion.quarantineMs});
	}

	/** A run of an earlier dispatcher has ended well: its task is done, whether its job has come back already or comes yet. */
	private noteForeignDone(name: string): void {
		const task = this.findTask(name);
		if (task?.state === taskState.waiting) {
			task.state = taskState.done;
			unblockTasks(task.job);
			this.settleIfComplete(task.job);
			return;
		}

		this.foreignDone.add(name);
		if (this.foreignDone.size > maxForeignEnds) {
			const [oldest] = this.foreignDone;
			this.foreignDone.delete(oldest!);
		}
	}

	private findTask(name: string): Task | undefined {
		return this.jobs.get(jobIdOfTask(name))?.tasks.find(task => task.name === name);
	}

	private noteForeignRun(minion: Minion, task: string, number: number): void {
		const now = this.ports.now();
		const run = enterRun(this.book, minion, {
			task, number, owner: undefined, expectedMs: 0, now, state: runState.running,
		});
		const wanted = this.findTask(task);
		if (wanted?.state === taskState.waiting) {
			run.owner = wanted;
			run.room = roomOf(wanted);
			run.expectedMs = wanted.step.estimateMs;
			wanted.run = run;
			wanted.state = taskState.running;
			wanted.lastRun = Math.max(wanted.lastRun, number);
		}
	}

	private noteProgress(run: Run, progress: number): void {
		const now = this.ports.now();
		if (run.state === runState.starting) {
			run.state = runState.running;
			run.confirmedAt = now;
		}

		if (progress > run.progress) {
			run.progress = progress;
			run.progressedAt = now;
		}
	}

	/** Whether a run that its minion doesn't list has ended for certain. */
	private isOver(run: Run, askedAt: number): boolean {
		if (run.state === runState.running) {
			return run.confirmedAt !== undefined && run.confirmedAt < askedAt;
		}

		return run.stopConfirmedAt !== undefined && run.stopConfirmedAt < askedAt;
	}

	/** A run has ended without a verdict on its task: the task may run again. */
	private interrupt(run: Run): void {
		const {owner} = run;
		removeRun(this.book, run);
		if (owner?.state === taskState.running && !owner.job.isSettled) {
			owner.state = taskState.waiting;
		}
	}

	private stop(run: Run): void {
		if (run.state === runState.running) {
			run.state = runState.stopping;
			this.ports.orderStop(run);
		}
	}

	private checkRun(run: Run, now: number): void {
		if (run.owner === undefined) {
			if (run.state === runState.running && now > run.orderedAt + adoptionMs) {
				this.stop(run);
			}

			return;
		}

		const bound = Math.max(stalledMinMs, run.expectedMs * stalledFactor);
		// A minion that has not answered since then may have ended the run long ago.
		const isStalled = run.state === runState.running && run.minion.reportedAt > Math.max(run.orderedAt, run.progressedAt) + bound;
		if (isStalled) {
			this.ports.report('run-stalled', {
				task: run.task, run: run.number, minion: run.minion.record.id, ranMs: Math.round(now - run.orderedAt), progress: run.progress,
			});
			run.owner.avoided.add(run.minion.record.id);
			this.noteFailure(run.minion);
			this.stop(run);
		}
	}

	private checkJob(job: Job, now: number): void {
		if (job.isSettled) {
			return;
		}

		if (now > job.request.deadline) {
			this.giveUp(job, 'the deadline has passed');
			return;
		}

		if (!job.hasBegun) {
			this.redirectOrRefuse(job);
		} else if (isHopeless(job, now) && job.tasks.some(task => task.state === taskState.waiting)) {
			this.giveUp(job, 'its waiting tasks can\'t end in time');
		}
	}

	private giveUp(job: Job, reason: string): void {
		if (job.mayHaveRun) {
			this.end(job, {kind: outcomeKind.abandoned, reason});
		} else {
			this.end(job, {kind: outcomeKind.refused, reason, retryAfterMs: retryAfterMs(this.backlogMs(), this.ports.random())});
		}
	}

	/** Sends a job that has not begun to a zone with room, or refuses it when it can't end in time here. */
	private redirectOrRefuse(job: Job): void {
		if (job.mayHaveRun) {
			return;
		}

		const count = job.tasks.length;
		const zone = job.request.submission === 0 ? this.ports.otherZones().find(other => other.freeTasks >= count) : undefined;
		if (zone !== undefined) {
			zone.freeTasks -= count;
			this.end(job, {kind: outcomeKind.redirected, zone: zone.zone});
			return;
		}

		const now = this.ports.now();
		const isTooLate = this.isGathering(now) ? isHopeless(job, now) : this.policy.isTooLate(job, now + this.aheadMs(job, now));
		if (isTooLate) {
			this.giveUp(job, 'no room in time');
		}
	}

	/** Whether this dispatcher has only begun, and some minions have not told yet what runs on them. */
	private isGathering(now: number): boolean {
		if (now > this.tookOverAt + gatheringMs) {
			return false;
		}

		for (const minion of this.book.minions.values()) {
			if (!minion.isSynced) {
				return true;
			}
		}

		return this.book.minions.size === 0;
	}

	/** How long the pool needs for the tasks that wait ahead of a job, in milliseconds. */
	private aheadMs(job: Job, now: number): number {
		const compare = this.policy.compare(now);
		let workMs = 0;
		for (const other of this.jobs.values()) {
			if (other !== job && compare(other, job) < 0) {
				workMs += waitingWorkMs(other);
			}
		}

		return workMs / this.parallelism(now);
	}

	private backlogMs(): number {
		let workMs = 0;
		for (const job of this.jobs.values()) {
			workMs += waitingWorkMs(job);
		}

		return workMs / this.parallelism(this.ports.now());
	}

	/** Tasks of nominal speed that run side by side on the minions that can be counted on. */
	private parallelism(now: number): number {
		let tasks = 0;
		for (const minion of this.book.minions.values()) {
			if (isCountedOn(minion, now)) {
				tasks += Math.floor(minion.record.capacity.millicores / this.meanTaskMillicores()) / factorOf(this.book, minion);
			}
		}

		return Math.max(1, tasks);
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
				run.owner = undefined;
				task.run = undefined;
				this.stop(run);
			}
		}

		job.settle(outcome);
	}
}

/** Estimated work of a job's tasks that have not begun, in milliseconds. */
const waitingWorkMs = (job: Job): number => {
	let workMs = 0;
	for (const task of job.tasks) {
		workMs += task.state === taskState.waiting ? task.step.estimateMs : 0;
	}

	return workMs;
};
