/** The dispatcher of a cell that this host has claimed, with a task for each minion. */
import {type Random} from 'chivestream-core';
import {
	Dispatcher, type MinionRecord, type CellCapacity,
} from 'chivestream-dispatch';
import {type Report} from './host-log.js';
import {runMinionSession, type MinionSession} from './minion-session.js';

/** Dependencies and callbacks of a dispatch service. */
export type DispatchServiceOptions = {
	/** The fencing token of the claim. */
	token: number;
	/** How long a run continues without a renewal of its minion's lease, clock differences included, in milliseconds. */
	leaseMs: number;
	/** Factor by which a task takes longer on a rack that doesn't hold its data. */
	farFactor: number;
	/** The monotonic clock, in milliseconds. */
	now: () => number;
	random: Random;
	report: Report;
	/** Free capacity of other cells, nearest first. */
	otherCells: () => CellCapacity[];
	/** Called when a minion has received a higher token. */
	onFenced: () => void;
};

/** The task of a minion ends, and its runs are dropped, when it has been unregistered for this long, in milliseconds. */
const goneMinionRetentionMs = 20_000;

type ActiveMinionTask = MinionSession & {controller: AbortController; goneAt: number | undefined};

/** Runs the dispatcher of a cell and sends its start and stop requests to the minions. */
export class DispatchService {
	readonly dispatcher: Dispatcher;
	readonly token: number;
	private readonly options: DispatchServiceOptions;
	private readonly tasks = new Map<string, ActiveMinionTask>();

	constructor(options: DispatchServiceOptions) {
		this.options = options;
		this.token = options.token;
		this.dispatcher = new Dispatcher({
			now: options.now,
			random: options.random,
			report: options.report,
			otherCells: options.otherCells,
			requestStart: (run, task) => {
				this.tasks.get(run.minion.record.id)?.start(run, task);
			},
			requestStop: run => {
				this.tasks.get(run.minion.record.id)?.stop(run);
			},
		}, {leaseMs: options.leaseMs, farFactor: options.farFactor});
	}

	/** Applies the registered minions of the cell; starts a task for each new minion or new address. */
	setMinions(records: readonly MinionRecord[]): void {
		this.dispatcher.setMinions(records);
		for (const [id, minion] of this.dispatcher.pool.minions) {
			const existing = this.tasks.get(id);
			if (existing?.address !== minion.record.address) {
				existing?.controller.abort();
				this.startTask(id);
			}
		}
	}

	/** Runs the dispatcher's time-based checks, and drops minions that have been unregistered for too long. */
	tick(): void {
		this.dispatcher.tick();
		const now = this.options.now();
		for (const [id, task] of this.tasks) {
			const minion = this.dispatcher.pool.minions.get(id);
			task.goneAt = minion?.isUnregistered === false ? undefined : task.goneAt ?? now;
			if (minion === undefined || (task.goneAt !== undefined && now > task.goneAt + goneMinionRetentionMs)) {
				task.controller.abort();
				this.tasks.delete(id);
				if (minion !== undefined) {
					this.dispatcher.removeMinion(minion);
				}
			}
		}
	}

	/** Releases the jobs and sends no more requests; running tasks are left to the next dispatcher. */
	release(): void {
		for (const task of this.tasks.values()) {
			task.controller.abort();
		}

		this.tasks.clear();
		this.dispatcher.release();
	}

	private startTask(id: string): void {
		const minion = this.dispatcher.pool.minions.get(id);
		if (minion === undefined) {
			return;
		}

		const controller = new AbortController();
		const {token, leaseMs, now, report, onFenced} = this.options;
		const task = runMinionSession({
			minion, dispatcher: this.dispatcher, token, leaseMs, now, report, onFenced, signal: controller.signal,
		});
		this.tasks.set(id, {...task, controller, goneAt: undefined});
	}
}
