/** The runs on a dispatcher's minions: what was ordered, what minions tell of it, and what is stopped. */
import {
	enterRun, factorOf, kindOf, registerMinion, removeRun, type Book,
} from './book.js';
import {taskState, type Job, type Task} from './job.js';
import {
	runKey, runState, type Minion, type MinionRecord, type Run,
} from './minion.js';
import {roomOf} from './placement.js';
import {learn} from './slowness.js';

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

/** What the runs need of the outside, and what they tell. */
export type RunPorts = {
	/** The steady clock, in milliseconds. */
	now: () => number;
	/** Sends the order to start; the answer comes back through `noteStart`. */
	orderStart: (run: Run, task: Task) => void;
	/** Sends the order to stop until it is confirmed through `noteStop`. */
	orderStop: (run: Run) => void;
	/** Reports a decision for the log. */
	report: (event: string, fields: Record<string, unknown>) => void;
	/** The task of this name, if its job is in the dispatcher's hands. */
	findTask: (name: string) => Task | undefined;
	/** A task has ended well. */
	noteDone: (task: Task) => void;
	/** A task has failed as often as it may. */
	noteFailed: (task: Task, reason: string) => void;
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

/** Ticks that have to pass as well: after a pause of this process the jobs of that time are still to be taken in. */
const adoptionTicks = 8;

/** Ends of earlier dispatchers' runs kept for jobs that come back. */
const maxForeignEnds = 2000;

/** All runs, entered in the book as long as they may take room. */
export class Runs {
	private readonly book: Book;
	private readonly ports: RunPorts;
	private readonly leaseMs: number;
	private readonly tookOverAt: number;
	/** Tasks that ended well under an earlier dispatcher and whose job has not come back. */
	private readonly foreignDone = new Set<string>();

	constructor(book: Book, ports: RunPorts, leaseMs: number) {
		this.book = book;
		this.ports = ports;
		this.leaseMs = leaseMs;
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
	}

	/** Orders a run of a task that waits. */
	begin(task: Task, minion: Minion, expectedMs: number): void {
		task.lastRun += 1;
		task.state = taskState.running;
		task.job.mayHaveRun = true;
		task.job.hasBegun = true;
		const run = enterRun(this.book, minion, {
			task: task.name,
			number: task.lastRun,
			owner: task,
			room: roomOf(task),
			state: runState.starting,
			expectedMs,
			now: this.ports.now(),
		});
		task.run = run;
		this.ports.orderStart(run, task);
	}

	/** Takes in what a minion told under this dispatcher's token. */
	noteReport(minion: Minion, report: MinionReport): void {
		for (const end of report.ended) {
			this.noteEnd(minion, end);
		}

		if (!minion.isSynced || !minion.isReachable) {
			minion.isSynced = true;
			minion.isReachable = true;
			this.book.roomChanges += 1;
		}

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
			if (!listed.has(key) && isOver(run, report.askedAt)) {
				this.interrupt(run);
			}
		}
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
	}

	/** No lease can be left on the minion: what was confirmed to run there has ended. */
	noteLapsed(minion: Minion): void {
		minion.isSynced = false;
		for (const run of minion.runs.values()) {
			if (run.state === runState.running || (run.state === runState.stopping && run.confirmedAt !== undefined)) {
				this.interrupt(run);
			}
		}
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

	/** Looks for runs that stand still and for runs that nobody asks for. */
	tick(now: number): void {
		for (const minion of this.book.minions.values()) {
			for (const run of minion.runs.values()) {
				this.checkRun(run, now);
			}
		}
	}

	/** Gives a job that comes back the runs and ends that it had under earlier dispatchers. */
	adopt(job: Job): void {
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
					giveRun(run, task, task.step.estimateMs * factorOf(this.book, run.minion));
				}
			}
		}
	}

	/** Whether all runs of earlier dispatchers are known, or dead for want of a lease. */
	knowsEarlierRuns(now: number): boolean {
		if (now >= this.tookOverAt + this.leaseMs + adoptionMs) {
			return true;
		}

		return this.book.minions.size > 0 && !this.hasUnsynced();
	}

	/** Whether some minions have not told yet what runs on them. */
	hasUnsynced(): boolean {
		for (const minion of this.book.minions.values()) {
			if (!minion.isSynced) {
				return true;
			}
		}

		return false;
	}

	/** Leaves a run to nobody and stops it. */
	abandon(run: Run): void {
		run.owner = undefined;
		this.stop(run);
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
			this.ports.noteDone(owner);
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
			this.ports.noteFailed(task, `a task failed ${task.failures} times, last on ${minion.record.id}`);
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
		const task = this.ports.findTask(name);
		if (task?.state === taskState.waiting) {
			this.ports.noteDone(task);
			return;
		}

		this.foreignDone.add(name);
		if (this.foreignDone.size > maxForeignEnds) {
			const [oldest] = this.foreignDone;
			this.foreignDone.delete(oldest!);
		}
	}

	private noteForeignRun(minion: Minion, task: string, number: number): void {
		const run = enterRun(this.book, minion, {
			task, number, owner: undefined, expectedMs: 0, now: this.ports.now(), state: runState.running,
		});
		const wanted = this.ports.findTask(task);
		if (wanted?.state === taskState.waiting) {
			wanted.lastRun = Math.max(wanted.lastRun, number);
			giveRun(run, wanted, wanted.step.estimateMs);
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
			run.unaskedTicks += 1;
			if (now > run.orderedAt + adoptionMs && run.unaskedTicks > adoptionTicks) {
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
}

/** Makes a run of an earlier dispatcher one of a task that waits. */
const giveRun = (run: Run, task: Task, expectedMs: number): void => {
	run.owner = task;
	run.room = roomOf(task);
	run.expectedMs = expectedMs;
	task.run = run;
	task.state = taskState.running;
};

/** Whether a run that its minion doesn't list has ended for certain. */
const isOver = (run: Run, askedAt: number): boolean => {
	const certainSince = run.state === runState.running ? run.confirmedAt : run.stopConfirmedAt;
	return certainSince !== undefined && certainSince < askedAt;
};
