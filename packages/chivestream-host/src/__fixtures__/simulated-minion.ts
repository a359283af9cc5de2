/** A minion of a simulated site: its runs, their lease, and the tokens that it has seen. */
import {
	endKind, startAnswer, type MinionRecord, type RunEnd,
} from 'chivestream-dispatch';
import {
	refusal, type HoldReply, type HoldRequest, type Refusal, type StartRequest, type StartResult,
} from 'chivestream-platform';
import {Err, Ok, type Result} from 'ts-results-es';
import {type Simulation} from './simulation.js';

/** Records the runs on all minions. */
export type RunObserver = {
	recordStart: (minion: string, task: string, number: number, token: number) => void;
	recordEnd: (minion: string, task: string, number: number) => void;
};

/** Settings of a minion. */
export type SimulatedMinionOptions = {
	simulation: Simulation;
	record: MinionRecord;
	/** Longest lease that it grants, in milliseconds of its clock. */
	leaseMs: number;
	/** Speed of its clock, as a multiple of the simulated one. */
	clockRate: number;
	/** How long a task takes, in milliseconds. */
	workMs: (task: string) => number;
	observer: RunObserver;
	/** Unix time of the start of the simulation, in milliseconds. */
	epochMs: number;
};

/** How long the stop of a run takes, in milliseconds. */
const stopMs = 40;

type ActiveRun = {task: string; number: number};

const keyOf = (task: string, number: number): string => `${task}/${number}`;

/** Carries out the requests of dispatchers as the platform's protocol says. */
export class SimulatedMinion {
	readonly record: MinionRecord;
	isUp = true;
	private readonly options: SimulatedMinionOptions;
	private address: string;
	private bornAt: number;
	private startedAt: number;
	private token = 0;
	private leaseDeadline = 0;
	private lastCursor = 0;
	private runs = new Map<string, ActiveRun>();
	private ended: Array<RunEnd & {cursor: number}> = [];
	private highestRuns = new Map<string, number>();
	private readonly waiters = new Set<() => void>();

	constructor(options: SimulatedMinionOptions) {
		this.options = options;
		this.record = options.record;
		this.address = options.record.address;
		this.startedAt = options.simulation.time;
		this.bornAt = options.epochMs + options.simulation.time;
	}

	/** Its entry in the store. */
	entry(): MinionRecord {
		return {...this.record, address: this.address, bornAt: this.bornAt};
	}

	start({task, number, leaseDeadline, token}: StartRequest): StartResult {
		if (token < this.token) {
			return {answer: startAnswer.refused, refusal: refusal.fenced, minionTime: this.clock()};
		}

		this.token = token;
		const key = keyOf(task, number);
		if (!this.runs.has(key) && number <= (this.highestRuns.get(task) ?? 0)) {
			this.extendLease(leaseDeadline);
			return {answer: startAnswer.superseded, minionTime: this.clock()};
		}

		if (leaseDeadline <= this.clock()) {
			return {answer: startAnswer.refused, refusal: refusal.other, minionTime: this.clock()};
		}

		this.extendLease(leaseDeadline);
		if (!this.runs.has(key)) {
			this.runs.set(key, {task, number});
			this.options.observer.recordStart(this.record.id, task, number, token);
			const {bornAt} = this;
			this.options.simulation.schedule(this.options.workMs(task), () => {
				if (this.bornAt === bornAt) {
					this.finish(key, endKind.done);
				}
			});
		}

		return {answer: startAnswer.started, minionTime: this.clock()};
	}

	/** Returns whether it has confirmed the stop. */
	stop(task: string, number: number, token: number): boolean {
		if (token < this.token) {
			return false;
		}

		this.token = token;
		this.highestRuns.set(task, Math.max(number, this.highestRuns.get(task) ?? 0));
		const {bornAt} = this;
		this.options.simulation.schedule(stopMs, () => {
			if (this.bornAt === bornAt) {
				this.finish(keyOf(task, number), endKind.interrupted);
			}
		});
		return true;
	}

	/** Calls back with the reply: at once, when a run ends, or after the wait that was asked for. */
	hold({leaseDeadline, token, acknowledgedCursor, waitMs}: HoldRequest, answer: (reply: Result<HoldReply, Refusal>) => void): void {
		if (token < this.token) {
			answer(new Err(refusal.fenced));
			return;
		}

		this.token = token;
		if (leaseDeadline !== undefined) {
			this.extendLease(leaseDeadline);
		}

		this.ended = this.ended.filter(({cursor}) => cursor > acknowledgedCursor);
		const reply = () => {
			answer(new Ok({
				minionTime: this.clock(),
				bornAt: this.bornAt,
				running: [...this.runs.values()].map(run => ({...run, progress: 50})),
				ended: [...this.ended],
			}));
		};

		if (this.ended.length > 0 || waitMs === 0) {
			reply();
			return;
		}

		const finish = () => {
			if (this.waiters.delete(finish)) {
				reply();
			}
		};

		this.waiters.add(finish);
		this.options.simulation.schedule(waitMs, finish);
	}

	/** Ends its life; it knows nothing of it when it starts again. */
	crash(): void {
		this.isUp = false;
		for (const {task, number} of this.runs.values()) {
			this.options.observer.recordEnd(this.record.id, task, number);
		}

		this.runs = new Map();
		this.ended = [];
		this.highestRuns = new Map();
		this.waiters.clear();
		this.token = 0;
		this.leaseDeadline = 0;
		this.lastCursor = 0;
	}

	restart(address: string = this.address): void {
		this.address = address;
		this.startedAt = this.options.simulation.time;
		this.bornAt = Math.max(this.bornAt + 1, this.options.epochMs + this.options.simulation.time);
		this.isUp = true;
	}

	private clock(): number {
		return Math.round((this.options.simulation.time - this.startedAt) * this.options.clockRate);
	}

	private extendLease(deadline: number): void {
		this.leaseDeadline = Math.max(this.leaseDeadline, Math.min(deadline, this.clock() + this.options.leaseMs));
		const {bornAt} = this;
		// The clock counts whole milliseconds.
		this.options.simulation.schedule(((this.leaseDeadline - this.clock()) / this.options.clockRate) + 2, () => {
			if (this.bornAt === bornAt && this.clock() > this.leaseDeadline) {
				for (const key of this.runs.keys()) {
					this.finish(key, endKind.interrupted);
				}
			}
		});
	}

	private finish(key: string, kind: RunEnd['kind']): void {
		const run = this.runs.get(key);
		if (run === undefined) {
			return;
		}

		this.runs.delete(key);
		this.highestRuns.set(run.task, Math.max(run.number, this.highestRuns.get(run.task) ?? 0));
		this.options.observer.recordEnd(this.record.id, run.task, run.number);
		this.lastCursor += 1;
		this.ended.push({...run, kind, cursor: this.lastCursor});
		for (const wake of this.waiters) {
			wake();
		}
	}
}
