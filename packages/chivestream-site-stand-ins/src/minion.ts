/** A stand-in for a minion: runs tasks under a lease as it is told, and guards nothing. */
import {performance} from 'node:perf_hooks';
import {type Checker} from './checker.js';
import {
	json, listenStandIn, type StandInAnswer, type StandInRequest, type StandInServer,
} from './http.js';

/** What a minion is and how it behaves. */
export type MinionOptions = {
	id: string;
	zone: string;
	upstream: string;
	checker: Checker;
	/** Thousandths of a core. */
	capacity: number;
	/** How long a task takes, in milliseconds; negative where it fails after so long. */
	workMs: (task: string) => number;
	/** Longest lease, in milliseconds. */
	leaseMs: number;
	at?: {ip: string; port: number};
};

/** A running minion. */
export type MinionStandIn = StandInServer & {
	id: string;
	/** The entry that it writes into the store. */
	entry: (state?: 'ready' | 'draining') => string;
	/** From now on such a share of the starts gets no answer and is carried out later; `draw` is uniform in [0, 1). */
	delayStarts: (share: number, draw: () => number) => void;
	/** Ends everything and begins a new lifetime. */
	crash: () => void;
	runningTasks: () => string[];
};

type Active = {task: string; run: number; timer: NodeJS.Timeout; fails: boolean};

type Start = {task: string; run: number; fencing_token?: number; deadline_ms: number};

const status = {
	ok: 200, badRequest: 400, notFound: 404, conflict: 409, misdirected: 421,
} as const;

const memoryMb = 65_536;
const stopMs = 10;
const leaseCheckMs = 20;
const lateMs = {least: 600, most: 2500} as const;

/** Starts a minion; whoever starts it writes its entry into the store. */
export const startMinion = async (options: MinionOptions): Promise<MinionStandIn> => {
	const {id, checker} = options;
	let bornAt = Date.now();
	let clockStart = performance.now();
	let token = 0;
	let leaseUntil = 0;
	let lastEnd = 0;
	let active = new Map<string, Active>();
	let ended: Array<[number, string, number, string, string]> = [];
	let highest = new Map<string, number>();
	let waiters = new Set<() => void>();
	let lateShare = 0;
	let drawLate = () => 1;

	const clock = () => Math.round(performance.now() - clockStart);

	const finish = (key: string, how: string) => {
		const found = active.get(key);
		if (found === undefined) {
			return;
		}

		clearTimeout(found.timer);
		active.delete(key);
		checker.noteEnd(id, found.task, found.run);
		highest.set(found.task, Math.max(found.run, highest.get(found.task) ?? 0));
		lastEnd += 1;
		ended.push([lastEnd, found.task, found.run, how, '']);
		for (const wake of waiters) {
			wake();
		}
	};

	const leaseTimer = setInterval(() => {
		if (clock() > leaseUntil) {
			for (const key of active.keys()) {
				finish(key, 'lapsed');
			}
		}
	}, leaseCheckMs);

	const extendLease = (deadline: number | undefined) => {
		if (deadline !== undefined) {
			leaseUntil = Math.max(leaseUntil, Math.min(deadline, clock() + options.leaseMs));
		}
	};

	const refuse = (reason: string): StandInAnswer => json(status.conflict, {clock_ms: clock(), reason});

	const start = ({task, run, fencing_token: given = 0, deadline_ms: deadline}: Start): StandInAnswer => {
		if (given < token) {
			return refuse('fence');
		}

		token = given;
		if (run <= (highest.get(task) ?? 0)) {
			return refuse('old');
		}

		if (deadline < clock()) {
			return refuse('late');
		}

		extendLease(deadline);
		const key = `${task}/${run}`;
		if (!active.has(key)) {
			const workMs = options.workMs(task);
			checker.noteStart(id, options.capacity, task, run);
			active.set(key, {
				task,
				run,
				fails: workMs < 0,
				timer: setTimeout(() => {
					finish(key, workMs < 0 ? 'failed' : 'done');
				}, Math.abs(workMs)),
			});
		}

		return json(status.ok, {clock_ms: clock()});
	};

	const hold = async (order: {fencing_token?: number; ack_cursor?: number; deadline_ms?: number; wait_ms?: number}): Promise<StandInAnswer> => {
		if ((order.fencing_token ?? 0) < token) {
			return refuse('fence');
		}

		token = order.fencing_token ?? 0;
		extendLease(order.deadline_ms);
		ended = ended.filter(([number]) => number > (order.ack_cursor ?? 0));
		if (ended.length === 0 && (order.wait_ms ?? 0) > 0) {
			await new Promise<void>(resolve => {
				const done = () => {
					clearTimeout(timer);
					waiters.delete(done);
					resolve();
				};

				const timer = setTimeout(done, order.wait_ms);
				waiters.add(done);
			});
		}

		return json(status.ok, {
			clock_ms: clock(),
			born: bornAt,
			running: [...active.values()].map(({task, run}) => [task, run, '', 50]),
			ended,
		});
	};

	const stop = ({task, run, fencing_token: given = 0}: {task: string; run: number; fencing_token?: number}): StandInAnswer => {
		if (given < token) {
			return refuse('fence');
		}

		token = given;
		highest.set(task, Math.max(run, highest.get(task) ?? 0));
		setTimeout(() => {
			finish(`${task}/${run}`, 'stopped');
		}, stopMs);
		return json(status.ok, {clock_ms: clock()});
	};

	const handle = async ({path, headers, body}: StandInRequest): Promise<StandInAnswer> => {
		const expected = headers['chivestream-expected-instance'];
		if (expected !== undefined && expected !== id) {
			return json(status.misdirected, {});
		}

		// Only the system under test sends orders, and a malformed one ends in an error here.
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
		const order = JSON.parse(new TextDecoder().decode(body)) as never;
		switch (path) {
			case '/api/run-start': {
				if (drawLate() < lateShare) {
					setTimeout(() => {
						start(order);
					}, lateMs.least + (drawLate() * (lateMs.most - lateMs.least)));
					return undefined;
				}

				return start(order);
			}

			case '/api/run-stop': {
				return stop(order);
			}

			case '/api/hold': {
				return hold(order);
			}

			default: {
				return json(status.notFound, {});
			}
		}
	};

	const server = await listenStandIn(handle, options.at);
	let sequence = 0;
	return {
		...server,
		id,
		entry(state = 'ready') {
			sequence += 1;
			return JSON.stringify({
				service: options.upstream,
				address: server.address,
				zone: options.zone,
				version: 'v1',
				slots: 8,
				state,
				cold_left_ms: 0,
				capacity: {cpu: options.capacity, mem_mb: memoryMb, gpu: 0},
				labels: ['a', 'r1-1'],
				clock_ms: clock(),
				born: bornAt,
				sequence,
			});
		},
		delayStarts(share, draw) {
			lateShare = share;
			drawLate = draw;
		},
		crash() {
			for (const found of active.values()) {
				clearTimeout(found.timer);
				checker.noteEnd(id, found.task, found.run);
			}

			active = new Map();
			ended = [];
			highest = new Map();
			waiters = new Set();
			token = 0;
			leaseUntil = 0;
			lastEnd = 0;
			bornAt = Math.max(bornAt + 1, Date.now());
			clockStart = performance.now();
		},
		runningTasks: () => [...active.values()].map(({task}) => task),
		async close() {
			clearInterval(leaseTimer);
			await server.close();
		},
	};
};
