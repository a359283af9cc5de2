/** Runs attempts on minions: one connection pool per minion, and three outcomes per attempt. */
import {
	attemptOutcome,
	Failure,
	failureCode,
	formatAttempt,
	type AttemptIdentity,
	type AttemptResult,
	type FailureCode,
	type Minion,
} from 'chivestream-core';
import {Pool} from 'undici';
import {exchange, type BrokenExchange, type ExchangeEnd} from './exchange.js';

/** One attempt to run a task on a minion. */
export type MinionAttempt = {
	identity: AttemptIdentity;
	/** `ip:port` of the minion. */
	address: string;
	minionId: string;
	payload: unknown;
	declaredMs: number;
	/** HTTP statuses by which the minion says that the task did not start. */
	notStartedStatuses: readonly number[];
	/** Aborted when the attempt is of no more use. */
	signal: AbortSignal;
};

/** Runs attempts on minions. */
export type MinionClient = {
	run: (attempt: MinionAttempt) => Promise<AttemptResult>;
	/** Takes the declared minions: a connection for each slot, and none to minions that are no longer declared. */
	declare: (minions: ReadonlyArray<Pick<Minion, 'address' | 'slots'>>) => Promise<void>;
	/** Waits for running exchanges, then closes every connection. */
	close: () => Promise<void>;
};

/** Bounds of a minion client. */
export type MinionClientOptions = {
	/** Connections to a minion of which no slots are declared. */
	connections: number;
	connectTimeoutMs: number;
	maxResponseBytes: number;
};

/** Bounds that suit minions of 8 slots. */
export const defaultMinionClientOptions: MinionClientOptions = {
	connections: 8,
	connectTimeoutMs: 1000,
	maxResponseBytes: 1_048_576,
};

// Longer than any attempt lasts: the attempt's own signal ends it.
const noTimeoutMs = 0;
const attemptHeader = 'chivestream-attempt';
const okStatus = 200;
const step = 'run-task';

const parseBody = (body: string): {isParsed: true; value: unknown} | {isParsed: false} => {
	try {
		return {isParsed: true, value: JSON.parse(body) as unknown};
	} catch {
		return {isParsed: false};
	}
};

const unknown = (message: string, peer: string, cause?: Error): AttemptResult => ({
	outcome: attemptOutcome.unknown,
	failure: new Failure(failureCode.taskUnknown, message, {step, peer}, {cause}),
});

const notStarted = (code: FailureCode, message: string, peer: string, cause?: Error): AttemptResult => ({
	outcome: attemptOutcome.notStarted,
	failure: new Failure(code, message, {step, peer}, {cause}),
});

const judgeBroken = ({isWritten, isAborted, error}: BrokenExchange, peer: string): AttemptResult => {
	if (isWritten) {
		return unknown(`the connection broke after the task was sent: ${error.message}`, peer, error);
	}

	const code = isAborted ? failureCode.cancelled : failureCode.connectionFailed;
	return notStarted(code, `the task was not sent: ${error.message}`, peer, error);
};

/** The outcome of an attempt from how its exchange ended. */
export const judgeExchange = (end: ExchangeEnd, attempt: Pick<MinionAttempt, 'identity' | 'minionId' | 'notStartedStatuses'>): AttemptResult => {
	const peer = attempt.minionId;
	if (end.kind === 'broken') {
		return judgeBroken(end, peer);
	}

	if (attempt.notStartedStatuses.includes(end.status)) {
		return notStarted(failureCode.overloaded, `refused with status ${end.status}`, peer);
	}

	if (end.headers[attemptHeader] !== formatAttempt(attempt.identity)) {
		return unknown('the answer belongs to another attempt', peer);
	}

	const parsed = parseBody(end.body);
	if (end.status !== okStatus || !parsed.isParsed) {
		const failure = new Failure(failureCode.taskFailed, `ran and failed with status ${end.status}`, {step, peer});
		return {outcome: attemptOutcome.answered, isSuccess: false, failure};
	}

	return {outcome: attemptOutcome.answered, isSuccess: true, result: parsed.value};
};

/** A client that holds one pool of keep-alive connections per minion and never sends an attempt twice. */
export const createMinionClient = (options: MinionClientOptions = defaultMinionClientOptions): MinionClient => {
	const pools = new Map<string, Pool>();
	const slotsByAddress = new Map<string, number>();

	const findPool = (address: string): Pool => {
		const known = pools.get(address);
		if (known) {
			return known;
		}

		const pool = new Pool(`http://${address}`, {
			// Fewer connections than slots would make a task wait for a slot that is free.
			connections: slotsByAddress.get(address) ?? options.connections,
			pipelining: 1,
			connect: {timeout: options.connectTimeoutMs},
			headersTimeout: noTimeoutMs,
			bodyTimeout: noTimeoutMs,
		});
		pools.set(address, pool);
		return pool;
	};

	return {
		async run(attempt) {
			const end = await exchange(findPool(attempt.address), {
				path: '/tasks',
				method: 'POST',
				headers: {
					'content-type': 'application/json',
					[attemptHeader]: formatAttempt(attempt.identity),
					'chivestream-declared-ms': String(attempt.declaredMs),
				},
				body: JSON.stringify(attempt.payload ?? null),
				maxResponseBytes: options.maxResponseBytes,
				signal: attempt.signal,
			});
			return judgeExchange(end, attempt);
		},
		async declare(minions) {
			const previous = new Map(slotsByAddress);
			slotsByAddress.clear();
			for (const {address, slots} of minions) {
				slotsByAddress.set(address, slots);
			}

			const obsolete = [...pools].filter(([address]) => slotsByAddress.get(address) !== previous.get(address));
			for (const [address] of obsolete) {
				pools.delete(address);
			}

			await Promise.all(obsolete.map(async ([, pool]) => pool.close()));
		},
		async close() {
			await Promise.all([...pools.values()].map(async pool => pool.close()));
			pools.clear();
		},
	};
};
