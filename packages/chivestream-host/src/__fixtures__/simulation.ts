/** A simulated clock, and processes that can be paused or killed between any two of their events. */
import {AsyncLocalStorage} from 'node:async_hooks';
import {type Random} from 'chivestream-core';

/** A process of the simulation; its timers and messages run only while it is alive and not paused. */
export type SimulatedProcess = {
	name: string;
	isAlive: boolean;
	/** When the current pause ends; in the past if there is none. */
	pausedUntil: number;
	/** By how much its time of day is ahead, in milliseconds. */
	clockStepMs: number;
	/** For how long its machine has been suspended, in milliseconds: its steady clock doesn't count that time. */
	suspendedMs: number;
	/** Undefined until the process is slow for the first time. */
	slowness: Slowness | undefined;
};

/** How late a process handles its events, in the order in which they become due. */
type Slowness = {
	until: number;
	/** Greatest lag, in milliseconds. */
	mostMs: number;
	lagMs: number;
	/** When the lag is drawn anew. */
	lagUntil: number;
	/** When the last event that has become due is handled. */
	handledAt: number;
};

/** A new process, alive and undisturbed. */
export const createProcess = (name: string): SimulatedProcess => ({
	name, isAlive: true, pausedUntil: Number.NEGATIVE_INFINITY, clockStepMs: 0, suspendedMs: 0, slowness: undefined,
});

type Event = {
	at: number;
	order: number;
	process: SimulatedProcess;
	run: () => void;
	isDeferred: boolean;
	/** When a timer is due, on the steady clock of its process. */
	steadyAt: number | undefined;
};

/** Difference up to which two times on a steady clock are taken for equal, in milliseconds. */
const steadyToleranceMs = 0.001;

/** What is outside of all hosts. */
const environment = createProcess('environment');

const realSetImmediate = setImmediate;

/** Lets all promises that are ready continue. */
const settlePromises = async () => new Promise<void>(resolve => {
	realSetImmediate(resolve);
});

/** Largest deviation of a timer from its time, in milliseconds: timers fire late and in varying order. */
const timerJitterMs = 2;

/** For how long the lag of a slow process stays the same, in milliseconds. */
const lagLengthMs = 250;

/** Runs events in the order of their times. Those that became due during a pause of their process run after it in random order. */
export class Simulation {
	/** The time on the simulated clock, in milliseconds. */
	time = 0;
	private readonly random: Random;
	private readonly context = new AsyncLocalStorage<SimulatedProcess>();
	/** A binary heap, the next event first. */
	private readonly events: Event[] = [];
	private lastOrder = 0;

	constructor(random: Random) {
		this.random = random;
	}

	/** The process that runs now. */
	currentProcess(): SimulatedProcess {
		const process = this.context.getStore();
		if (process === undefined) {
			throw new Error('no simulated process runs now');
		}

		return process;
	}

	/** By how much the time of day is ahead in the process that runs now, in milliseconds. */
	clockStepMs(): number {
		return this.context.getStore()?.clockStepMs ?? 0;
	}

	/** The steady clock of the process that runs now, in milliseconds. */
	steadyTime(): number {
		return this.time - (this.context.getStore()?.suspendedMs ?? 0);
	}

	/** Suspends the machine of a process: it stands still, and so does its steady clock. */
	suspend(process: SimulatedProcess, lengthMs: number): void {
		const endsAt = this.time + lengthMs;
		process.suspendedMs += Math.max(0, endsAt - Math.max(this.time, process.pausedUntil));
		process.pausedUntil = Math.max(process.pausedUntil, endsAt);
	}

	/** Makes a process handle its events late, by up to `mostMs`, for a time. */
	slowDown(process: SimulatedProcess, mostMs: number, lengthMs: number): void {
		process.slowness = {
			until: this.time + lengthMs, mostMs, lagMs: 0, lagUntil: this.time, handledAt: Math.max(this.time, process.slowness?.handledAt ?? 0),
		};
	}

	/** Runs a function as a process, which owns the timers that it sets. */
	runAs<Value>(process: SimulatedProcess, run: () => Value): Value {
		return this.context.run(process, run);
	}

	/** Runs a function after a delay, as `process`, by default outside of all hosts. Returns a function that cancels it. */
	schedule(delayMs: number, run: () => void, process: SimulatedProcess = environment): () => void {
		return this.scheduleEvent(delayMs, run, process);
	}

	/** Sets a timer of the process that runs now. */
	setTimer(run: () => void, delayMs: number): () => void {
		const process = this.currentProcess();
		const lateMs = Math.max(0, delayMs) + (this.random() * timerJitterMs);
		return this.scheduleEvent(lateMs, run, process, this.time - process.suspendedMs + lateMs);
	}

	/** Resolves after a delay. */
	async sleep(delayMs: number): Promise<void> {
		return new Promise(resolve => {
			this.setTimer(resolve, delayMs);
		});
	}

	/** Runs all events up to a time. */
	async runUntil(time: number): Promise<void> {
		await settlePromises();
		for (let next = this.events[0]; next !== undefined && next.at <= time; next = this.events[0]) {
			this.pop();
			this.time = Math.max(this.time, next.at);
			const {process, run} = next;
			if (process.isAlive && process.pausedUntil > this.time) {
				next.at = process.pausedUntil;
				next.order = this.random() * this.lastOrder;
				this.push(next);
				continue;
			} else if (process.isAlive && next.steadyAt !== undefined && next.steadyAt + process.suspendedMs > this.time + steadyToleranceMs) {
				// A timer of a machine that was suspended.
				next.at = next.steadyAt + process.suspendedMs;
				this.push(next);
				continue;
			} else if (process.isAlive && !next.isDeferred && this.isBehind(process)) {
				this.defer(next);
				continue;
			} else if (process.isAlive) {
				this.context.run(process, run);
			}

			// eslint-disable-next-line no-await-in-loop -- events run one after the other
			await settlePromises();
		}

		this.time = time;
	}

	private scheduleEvent(delayMs: number, run: () => void, process: SimulatedProcess, steadyAt?: number): () => void {
		this.lastOrder += 1;
		const event: Event = {
			at: this.time + delayMs, order: this.lastOrder, process, run, isDeferred: false, steadyAt,
		};
		this.push(event);
		return () => {
			event.run = () => undefined;
		};
	}

	private isBehind({slowness}: SimulatedProcess): boolean {
		return slowness !== undefined && this.time < Math.max(slowness.until, slowness.handledAt);
	}

	/** Puts an event of a slow process after those that have become due before it. */
	private defer(event: Event): void {
		const slowness = event.process.slowness!;
		if (this.time >= slowness.until) {
			slowness.lagMs = 0;
		} else if (this.time >= slowness.lagUntil) {
			slowness.lagMs = this.random() * slowness.mostMs;
			slowness.lagUntil = this.time + lagLengthMs;
		}

		slowness.handledAt = Math.max(slowness.handledAt, this.time + slowness.lagMs);
		this.lastOrder += 1;
		event.at = slowness.handledAt;
		event.order = this.lastOrder;
		event.isDeferred = true;
		this.push(event);
	}

	/** Adds an event to the binary heap. */
	private push(event: Event): void {
		const {events} = this;
		let index = events.push(event) - 1;
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (!isBefore(event, events[parent]!)) {
				break;
			}

			events[index] = events[parent]!;
			index = parent;
		}

		events[index] = event;
	}

	/** Removes the first event from the binary heap. */
	private pop(): void {
		const {events} = this;
		const last = events.pop()!;
		if (events.length === 0) {
			return;
		}

		let index = 0;
		for (;;) {
			let child = (2 * index) + 1;
			if (child + 1 < events.length && isBefore(events[child + 1]!, events[child]!)) {
				child += 1;
			}

			if (child >= events.length || !isBefore(events[child]!, last)) {
				break;
			}

			events[index] = events[child]!;
			index = child;
		}

		events[index] = last;
	}
}

const isBefore = (one: Event, other: Event): boolean => one.at < other.at || (one.at === other.at && one.order < other.order);
