/** Stand-in for a minion. It runs tasks under a lease and does not enforce its capacity; the checker reports overload. */
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {type Checker} from './checker.js';
import {
	jsonResponse, startStandInServer, type StandInResponse, type StandInRequest, type StandInServer,
} from './http.js';

/** Identity and behavior of a minion. */
export type MinionStandInOptions = {
	id: string;
	zone: string;
	upstream: string;
	checker: Checker;
	/** Capacity in thousandths of a core. */
	capacity: number;
	/** Run time of a task in milliseconds; if negative, the task fails after its absolute value. */
	workMs: (task: string) => number;
	/** Whether a task crashes the minion soon after its start; none does by default. */
	isDeadly?: (task: string) => boolean;
	/** Longest lease, in milliseconds. */
	leaseMs: number;
	/** Its steady clock, in milliseconds; by default that of the process. */
	now?: () => number;
	/** Address at which to listen; a free port of 127.0.0.1 by default. */
	at?: {ip: string; port: number};
};

/** A running minion. */
export type MinionStandIn = StandInServer & {
	id: string;
	/** Creates its registry entry, as JSON for the store. */
	createRegistryEntry: (state?: 'ready' | 'draining') => string;
	/**
	 * Sets the fraction of start requests that get no response and are carried out later; `draw` returns uniform numbers in
	 * [0, 1).
	 */
	delayStarts: (share: number, draw: () => number) => void;
	/**
	 * Holds back the next request that renews the lease; it gets no response. Resolves, once it has arrived, with a function that carries it
	 * out, with its lease counted from then.
	 */
	holdBackRenewal: () => Promise<() => void>;
	/** Sets the time by which each answer is delayed, in milliseconds; requests take effect without delay. */
	delayAnswers: (delayMs: number) => void;
	/** Simulates a crash and restart: all runs are lost, and a new incarnation starts. */
	crash: () => void;
	/** Changes the capacity that its next registry entry shows, in thousandths of a core. */
	setCapacity: (millicores: number) => void;
	/** Changes the capacity that starts are checked against; hosts learn of a smaller one with a delay. */
	setCheckedCapacity: (millicores: number) => void;
	/** Whether the minion has crashed and does not listen again yet. */
	isDown: () => boolean;
	runningTasks: () => string[];
	/** The highest fencing token that the current incarnation has received; 0 before the first. */
	highestToken: () => number;
	/** The longest lease that a request has asked for, in milliseconds of its clock. */
	longestRequestedLeaseMs: () => number;
};

type ActiveRun = {task: string; run: number; timer: NodeJS.Timeout; fails: boolean};

type StartRequest = {task: string; run: number; fencing_token?: number; deadline_ms: number};

type HoldRequest = {fencing_token?: number; ack_cursor?: number; deadline_ms?: number; wait_ms?: number};

const status = {
	ok: 200, badRequest: 400, notFound: 404, conflict: 409, misdirected: 421,
} as const;

/** Memory that the registry entry declares, in megabytes. */
const memoryMb = 65_536;
/** Delay between a stop request and the end of its run, in milliseconds. */
const stopDelayMs = 10;
const leaseCheckIntervalMs = 20;
/** Delay between the start of a deadly task and the crash, in milliseconds. */
const deadlyDelayMs = 10;
/** Time after which a minion that a task has crashed listens again, in milliseconds. */
const downMs = 600;
/** Range of the delay of delayed start requests, in milliseconds. */
const startDelayMs = {least: 600, most: 2500} as const;

/** Starts a minion. It does not register itself: the caller writes its registry entry into the store. */
export const startMinionStandIn = async (options: MinionStandInOptions): Promise<MinionStandIn> => {
	const {id, checker, now = () => performance.now()} = options;
	let bornAt = Date.now();
	let {capacity} = options;
	let checkedCapacity = options.capacity;
	let clockStart = now();
	let highestToken = 0;
	let leaseDeadline = 0;
	let longestRequestedLeaseMs = 0;
	let lastCursor = 0;
	let activeRuns = new Map<string, ActiveRun>();
	let ended: Array<[number, string, number, string, string]> = [];
	let highestRunByTask = new Map<string, number>();
	let waiters = new Set<() => void>();
	let delayedShare = 0;
	let drawDelay = () => 1;
	let answerDelayMs = 0;
	let passHeldRenewal: ((carryOut: () => void) => void) | undefined;

	const clock = () => Math.round(now() - clockStart);

	const finish = (key: string, endKind: string) => {
		const activeRun = activeRuns.get(key);
		if (activeRun === undefined) {
			return;
		}

		clearTimeout(activeRun.timer);
		activeRuns.delete(key);
		checker.recordEnd(id, activeRun.task, activeRun.run);
		highestRunByTask.set(activeRun.task, Math.max(activeRun.run, highestRunByTask.get(activeRun.task) ?? 0));
		lastCursor += 1;
		ended.push([lastCursor, activeRun.task, activeRun.run, endKind, '']);
		for (const notifyWaiter of waiters) {
			notifyWaiter();
		}
	};

	const leaseTimer = setInterval(() => {
		if (clock() > leaseDeadline) {
			for (const key of activeRuns.keys()) {
				finish(key, 'lapsed');
			}
		}
	}, leaseCheckIntervalMs);

	const extendLease = (deadline: number | undefined) => {
		if (deadline !== undefined) {
			longestRequestedLeaseMs = Math.max(longestRequestedLeaseMs, deadline - clock());
			leaseDeadline = Math.max(leaseDeadline, Math.min(deadline, clock() + options.leaseMs));
		}
	};

	const refuse = (reason: string): StandInResponse => jsonResponse(status.conflict, {clock_ms: clock(), reason});

	const start = ({task, run, fencing_token: requestToken = 0, deadline_ms: deadline}: StartRequest): StandInResponse => {
		if (requestToken < highestToken) {
			return refuse('fence');
		}

		highestToken = requestToken;
		if (run <= (highestRunByTask.get(task) ?? 0)) {
			return refuse('old');
		}

		if (deadline < clock()) {
			return refuse('late');
		}

		extendLease(deadline);
		const key = `${task}/${run}`;
		if (!activeRuns.has(key)) {
			if (options.isDeadly?.(task) === true) {
				setTimeout(() => {
					restart = crashUnder(task, key);
				}, deadlyDelayMs);
			}

			const workMs = options.workMs(task);
			checker.recordStart(id, checkedCapacity, task, run);
			activeRuns.set(key, {
				task,
				run,
				fails: workMs < 0,
				timer: setTimeout(() => {
					finish(key, workMs < 0 ? 'failed' : 'done');
				}, Math.abs(workMs)),
			});
		}

		return jsonResponse(status.ok, {clock_ms: clock()});
	};

	const hold = async (holdRequest: HoldRequest): Promise<StandInResponse> => {
		if ((holdRequest.fencing_token ?? 0) < highestToken) {
			return refuse('fence');
		}

		highestToken = holdRequest.fencing_token ?? 0;
		extendLease(holdRequest.deadline_ms);
		ended = ended.filter(([cursor]) => cursor > (holdRequest.ack_cursor ?? 0));
		if (ended.length === 0 && (holdRequest.wait_ms ?? 0) > 0) {
			await new Promise<void>(resolve => {
				const stopWaiting = () => {
					clearTimeout(timer);
					waiters.delete(stopWaiting);
					resolve();
				};

				const timer = setTimeout(stopWaiting, holdRequest.wait_ms);
				waiters.add(stopWaiting);
			});
		}

		return jsonResponse(status.ok, {
			clock_ms: clock(),
			born: bornAt,
			running: [...activeRuns.values()].map(({task, run}) => [task, run, '', 50]),
			ended,
		});
	};

	const stop = ({task, run, fencing_token: requestToken = 0}: {task: string; run: number; fencing_token?: number}): StandInResponse => {
		if (requestToken < highestToken) {
			return refuse('fence');
		}

		highestToken = requestToken;
		highestRunByTask.set(task, Math.max(run, highestRunByTask.get(task) ?? 0));
		setTimeout(() => {
			finish(`${task}/${run}`, 'stopped');
		}, stopDelayMs);
		return jsonResponse(status.ok, {clock_ms: clock()});
	};

	const handle = async ({path, headers, body}: StandInRequest): Promise<StandInResponse> => {
		const expected = headers['chivestream-expected-instance'];
		if (expected !== undefined && expected !== id) {
			return jsonResponse(status.misdirected, {});
		}

		// Only the system under test sends requests; a malformed one results in an error response.
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
		const parsedBody = JSON.parse(new TextDecoder().decode(body)) as never;
		switch (path) {
			case '/api/run-start': {
				if (drawDelay() < delayedShare) {
					setTimeout(() => {
						start(parsedBody);
					}, startDelayMs.least + (drawDelay() * (startDelayMs.most - startDelayMs.least)));
					return undefined;
				}

				return start(parsedBody);
			}

			case '/api/run-stop': {
				return stop(parsedBody);
			}

			case '/api/hold': {
				const request: HoldRequest = parsedBody;
				if (passHeldRenewal !== undefined && request.deadline_ms !== undefined) {
					const deadline = request.deadline_ms;
					const arrivedAt = clock();
					passHeldRenewal(() => {
						void hold({...request, deadline_ms: deadline + clock() - arrivedAt});
					});
					passHeldRenewal = undefined;
					return undefined;
				}

				return hold(request);
			}

			default: {
				return jsonResponse(status.notFound, {});
			}
		}
	};

	const handleDelayed = async (request: StandInRequest): Promise<StandInResponse> => {
		const answer = await handle(request);
		if (answerDelayMs > 0) {
			await sleep(answerDelayMs);
		}

		return answer;
	};

	let server = await startStandInServer(handleDelayed, options.at);
	const {address} = server;
	let isDown = false;
	let isClosed = false;
	/** The restart after the last crash; fails if the minion could not listen again. */
	let restart = Promise.resolve();

	const crash = () => {
		for (const activeRun of activeRuns.values()) {
			clearTimeout(activeRun.timer);
			checker.recordEnd(id, activeRun.task, activeRun.run);
		}

		activeRuns = new Map();
		ended = [];
		highestRunByTask = new Map();
		waiters = new Set();
		highestToken = 0;
		leaseDeadline = 0;
		lastCursor = 0;
		bornAt = Math.max(bornAt + 1, Date.now());
		clockStart = now();
	};

	/** Crashes under a task if the run is still active, and listens again at the same address after a while. */
	const crashUnder = async (task: string, key: string) => {
		if (isDown || isClosed || !activeRuns.has(key)) {
			return;
		}

		isDown = true;
		checker.recordCrash(task);
		crash();
		await server.close();
		await sleep(downMs);
		if (!isClosed) {
			const [ip = '', port] = address.split(':');
			server = await startStandInServer(handleDelayed, {ip, port: Number(port)});
			crash();
			isDown = false;
		}
	};

	let sequence = 0;
	return {
		address,
		setAvailability(newAvailability) {
			server.setAvailability(newAvailability);
		},
		id,
		isDown: () => isDown,
		createRegistryEntry(state = 'ready') {
			sequence += 1;
			return JSON.stringify({
				service: options.upstream,
				address,
				zone: options.zone,
				version: 'v1',
				slots: 8,
				state,
				cold_left_ms: 0,
				capacity: {cpu: capacity, mem_mb: memoryMb, gpu: 0},
				labels: ['a', 'r1-1'],
				clock_ms: clock(),
				born: bornAt,
				sequence,
			});
		},
		delayStarts(share, draw) {
			delayedShare = share;
			drawDelay = draw;
		},
		holdBackRenewal: async () => new Promise(resolve => {
			passHeldRenewal = resolve;
		}),
		delayAnswers(delayMs) {
			answerDelayMs = delayMs;
		},
		crash,
		setCapacity(millicores) {
			capacity = millicores;
		},
		setCheckedCapacity(millicores) {
			checkedCapacity = millicores;
		},
		runningTasks: () => [...activeRuns.values()].map(({task}) => task),
		highestToken: () => highestToken,
		longestRequestedLeaseMs: () => longestRequestedLeaseMs,
		async close() {
			isClosed = true;
			clearInterval(leaseTimer);
			for (const {timer} of activeRuns.values()) {
				clearTimeout(timer);
			}

			// A restart in progress still starts a server.
			await restart;
			await server.close();
		},
	};
};
