/** The dispatcher of a cell while this host has the claim to it, with a task for each minion. */
import {type Random} from 'chivestream-core';
import {
	Dispatcher, type MinionRecord, type CellCapacity,
} from 'chivestream-dispatch';
import {type Report} from './host-log.js';
import {runMinionTask, type MinionTask} from './minion-task.js';

/** What a dispatch service needs. */
export type DispatchServiceOptions = {
	token: number;
	leaseMs: number;
	farFactor: number;
	now: () => number;
	random: Random;
	report: Report;
	otherCells: () => CellCapacity[];
	noteFenced: () => void;
};

/** A minion that is gone for so long takes no more orders, in milliseconds. */
const forgetGoneMs = 20_000;

type RunningTask = MinionTask & {controller: AbortController; goneAt: number | undefined};

/** The dispatcher and its minions' tasks. */
export class DispatchService {
	readonly dispatcher: Dispatcher;
	readonly token: number;
	private readonly options: DispatchServiceOptions;
	private readonly tasks = new Map<string, RunningTask>();

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

	/** Takes in the registered minions of the cell. */
	setMinions(records: readonly MinionRecord[]): void {
		this.dispatcher.setMinions(records);
		for (const [id, minion] of this.dispatcher.pool.minions) {
			const known = this.tasks.get(id);
			if (known?.address !== minion.record.address) {
				known?.controller.abort();
				this.startTask(id);
			}
		}
	}

	/** Looks for what has changed with time. */
	tick(): void {
		this.dispatcher.tick();
		const now = this.options.now();
		for (const [id, task] of this.tasks) {
			const minion = this.dispatcher.pool.minions.get(id);
			task.goneAt = minion?.isUnregistered === false ? undefined : task.goneAt ?? now;
			if (minion === undefined || (task.goneAt !== undefined && now > task.goneAt + forgetGoneMs)) {
				task.controller.abort();
				this.tasks.delete(id);
				if (minion !== undefined) {
					this.dispatcher.removeMinion(minion);
				}
			}
		}
	}

	/** Gives the jobs back and orders nothing more; what runs is left to the next dispatcher. */
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
		const {token, leaseMs, now, report, noteFenced} = this.options;
		const task = runMinionTask({
			minion, dispatcher: this.dispatcher, token, leaseMs, now, report, noteFenced, signal: controller.signal,
		});
		this.tasks.set(id, {...task, controller, goneAt: undefined});
	}
}
