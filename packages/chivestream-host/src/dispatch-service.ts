/** The dispatcher of a cell that this host has claimed, with a session for each minion. */
import {type Random} from 'chivestream-core';
import {
	Dispatcher, type Minion, type MinionRecord, type CellCapacity,
} from 'chivestream-dispatch';
import {type Report} from './host-log.js';
import {runMinionSession, type MinionSession} from './minion-session.js';
import {nextToken} from './tokens.js';

/** Dependencies and callbacks of a dispatch service. */
export type DispatchServiceOptions = {
	/** The fencing token of the claim. */
	token: number;
	/** Longest lease that a minion grants, in milliseconds of the minion's clock. */
	leaseMs: number;
	/** Factor by which the expected run time of a task is multiplied on a rack that doesn't hold its data. */
	farFactor: number;
	/** The monotonic clock, in milliseconds. */
	now: () => number;
	/** By how much this process has recently handled its events late, in milliseconds. */
	recentDelayMs: () => number;
	random: Random;
	report: Report;
	/** Whether every minion that may run tasks is registered. */
	isRegistryComplete: () => boolean;
	/** Whether the dispatcher with this claim has sent its minions to this host, and was heard of until a time. */
	knowsMinionsOfClaim: (claim: number, until: number) => boolean;
	/** Free capacity of other cells, nearest first. */
	otherCells: () => CellCapacity[];
	/** Called when an answer of a minion has been read that it sent at this time or later. */
	onAnswer: (sentAt: number) => void;
	/** Called when a minion refuses a request because another dispatcher has sent it a higher token. */
	onFenced: () => void;
};

/** How long a minion may be unregistered before its session ends and its runs are dropped, in milliseconds. */
const unregisteredMinionRetentionMs = 20_000;

/** Number of minions that are asked for an answer at once: one of them may be lost. */
const askedMinions = 2;

/** A session, the controller that ends it, and when its minion was first found unregistered; undefined while it is registered. */
type ActiveMinionSession = MinionSession & {minion: Minion; controller: AbortController; unregisteredAt: number | undefined};

/** Runs the dispatcher of a cell and sends its start and stop requests to the minions. */
export class DispatchService {
	readonly dispatcher: Dispatcher;
	readonly token: number;
	private readonly options: DispatchServiceOptions;
	private readonly sessions = new Map<string, ActiveMinionSession>();
	/** The last token of each minion whose session has ended. */
	private readonly lastTokens = new Map<string, number>();

	constructor(options: DispatchServiceOptions) {
		this.options = options;
		this.token = options.token;
		this.dispatcher = new Dispatcher({
			now: options.now,
			random: options.random,
			report: options.report,
			otherCells: options.otherCells,
			claim: options.token,
			isRegistryComplete: options.isRegistryComplete,
			knowsMinionsOfClaim: options.knowsMinionsOfClaim,
			requestStart: (run, task) => {
				this.sessions.get(run.minion.record.id)?.start(run, task);
			},
			requestStop: run => {
				this.sessions.get(run.minion.record.id)?.stop(run);
			},
		}, {leaseMs: options.leaseMs, farFactor: options.farFactor});
	}

	/** The unregistered minions on which tasks may be running. */
	unregisteredMinions(): MinionRecord[] {
		return [...this.dispatcher.pool.minions.values()]
			.filter(minion => minion.isUnregistered && (minion.runs.size > 0 || !minion.isSynced))
			.map(({record}) => record);
	}

	/** Applies the minions of the cell, see `Runs.setMinions`; starts a session for each new minion or new address. */
	setMinions(records: readonly MinionRecord[], unregistered: readonly MinionRecord[] = []): void {
		this.dispatcher.setMinions(records, unregistered);
		for (const [id, minion] of this.dispatcher.pool.minions) {
			const existing = this.sessions.get(id);
			if (existing?.address !== minion.record.address || existing.minion !== minion) {
				existing?.controller.abort();
				// Requests of the previous session may still be carried out.
				const last = existing?.token() ?? this.lastTokens.get(id);
				this.startSession(id, last === undefined ? this.token : nextToken(last));
				if (existing !== undefined) {
					this.dispatcher.handleNewSession(minion);
				}
			} else if (!minion.isSynced) {
				// A new incarnation carries out the requests to earlier ones until it has received the next token.
				existing.wake();
			}
		}
	}

	/** Asks minions that have no runs for an answer; one with runs answers soon without this. */
	askIdleMinions(): void {
		const idle = [...this.sessions.values()].filter(({minion}) => minion.isReachable && minion.runs.size === 0);
		for (const session of idle.slice(0, askedMinions)) {
			session.wake();
		}
	}

	/** Runs the dispatcher's time-based checks, and drops minions that have been unregistered for too long. */
	tick(): void {
		this.dispatcher.tick();
		const now = this.options.now();
		for (const [id, session] of this.sessions) {
			const minion = this.dispatcher.pool.minions.get(id);
			session.unregisteredAt = minion?.isUnregistered === false ? undefined : session.unregisteredAt ?? now;
			const mayBeRemoved = minion === undefined || now > minion.leaseEndsAt;
			const isGone = session.unregisteredAt !== undefined && now > session.unregisteredAt + unregisteredMinionRetentionMs;
			if (minion === undefined || (isGone && mayBeRemoved)) {
				session.controller.abort();
				this.lastTokens.set(id, session.token());
				this.sessions.delete(id);
				if (minion !== undefined) {
					this.dispatcher.removeMinion(minion);
				}
			}
		}
	}

	/** Releases the jobs and sends no more requests; running tasks are left to the next dispatcher. */
	release(): void {
		for (const session of this.sessions.values()) {
			session.controller.abort();
		}

		this.sessions.clear();
		this.dispatcher.release();
	}

	private startSession(id: string, token: number): void {
		const minion = this.dispatcher.pool.minions.get(id);
		if (minion === undefined) {
			return;
		}

		const controller = new AbortController();
		const {
			now, recentDelayMs, report, onAnswer, onFenced,
		} = this.options;
		const session = runMinionSession({
			minion, dispatcher: this.dispatcher, token, now, recentDelayMs, report, onAnswer, onFenced, signal: controller.signal,
		});
		this.sessions.set(id, {
			...session, minion, controller, unregisteredAt: undefined,
		});
	}
}
