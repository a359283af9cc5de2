/** Runs attempts on minions. Each minion has a connection pool, and each attempt has one of three outcomes. */
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
	/** HTTP statuses with which the minion reports that the task did not start. */
	notStartedStatuses: readonly number[];
	/** Aborted when the result of the attempt is no longer needed. */
	signal: AbortSignal;
};

/** Runs attempts on minions over HTTP. */
export type MinionClient = {
	/** Sends the attempt once. The result includes the failure if the exchange breaks. */
	run: (attempt: MinionAttempt) => Promise<AttemptResult>;
	/**
	Replaces the declared minions. Each gets up to one connection per slot. Closes the pools of minions that are no longer declared
	or whose number of slots changed.
	*/
	setDeclaredMinions: (minions: ReadonlyArray<Pick<Minion, 'address' | 'slots'>>) => Promise<void>;
	/** Waits for running exchanges, then closes every connection. */
	close: () => Promise<void>;
};

/** Connection limits of a minion client. */
export type MinionClientOptions = {
	/** Maximum number of connections to a minion whose slots are not declared. */
	connections: number;
	connectTimeoutMs: number;
	maxResponseBytes: number;
};

/** Limits for minions with 8 slots. */
export const defaultMinionClientOptions: MinionClientOptions = {
	connections: 8,
	connectTimeoutMs: 1000,
	maxResponseBytes: 1_048_576,
};

// 0 turns undici's timeouts off because the signal of the attempt ends the exchange.
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

const unknownResult = (message: string, peer: string, cause?: Error): AttemptResult => ({
	outcome: attemptOutcome.unknown,
	failure: new Failure(failureCode.taskUnknown, message, {step, peer}, {cause}),
});

const notStartedResult = (code: FailureCode, message: string, peer: string, cause?: Error): AttemptResult => ({
	outcome: attemptOutcome.notStarted,
	failure: new Failure(code, message, {step, peer}, {cause}),
});

const classifyBrokenExchange = ({isWritten, isAborted, error}: BrokenExchange, peer: string): AttemptResult => {
	if (isWritten) {
		return unknownResult(`the connection broke after the task was sent: ${error.message}`, peer, error);
	}

	const code = isAborted ? failureCode.cancelled : failureCode.connectionFailed;
	return notStartedResult(code, `the task was not sent: ${error.message}`, peer, error);
};

/**
Determines the outcome of an attempt from the end of its HTTP exchange. The task did not start if nothing was sent or if the
status is one of `notStartedStatuses`. The outcome is unknown if the exchange broke after the task was sent or if the response
does not carry the header of this attempt, because the task may have run.
*/
export const classifyExchange = (end: ExchangeEnd, attempt: Pick<MinionAttempt, 'identity' | 'minionId' | 'notStartedStatuses'>): AttemptResult => {
	const peer = attempt.minionId;
	if (end.kind === 'broken') {
		return classifyBrokenExchange(end, peer);
	}

	if (attempt.notStartedStatuses.includes(end.status)) {
		return notStartedResult(failureCode.overloaded, `refused with status ${end.status}`, peer);
	}

	if (end.headers[attemptHeader] !== formatAttempt(attempt.identity)) {
		return unknownResult('the answer belongs to another attempt', peer);
	}

	const parsed = parseBody(end.body);
	if (end.status !== okStatus || !parsed.isParsed) {
		const failure = new Failure(failureCode.taskFailed, `ran and failed with status ${end.status}`, {step, peer});
		return {outcome: attemptOutcome.answered, isSuccess: false, failure};
	}

	return {outcome: attemptOutcome.answered, isSuccess: true, result: parsed.value};
};

/** Creates a client that keeps one pool of keep-alive connections per minion and never sends an attempt twice. */
export const createMinionClient = (options: MinionClientOptions = defaultMinionClientOptions): MinionClient => {
	const pools = new Map<string, Pool>();
	const slotsByAddress = new Map<string, number>();

	const getOrCreatePool = (address: string): Pool => {
		const existing = pools.get(address);
		if (existing) {
			return existing;
		}

		const pool = new Pool(`http://${address}`, {
			// With fewer connections than slots, a task would wait although a slot is free.
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
			const end = await exchange(getOrCreatePool(attempt.address), {
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
			return classifyExchange(end, attempt);
		},
		async setDeclaredMinions(minions) {
			const previous = new Map(slotsByAddress);
			slotsByAddress.clear();
			for (const {address, slots} of minions) {
				slotsByAddress.set(address, slots);
			}

			const obsoletePools = [...pools].filter(([address]) => slotsByAddress.get(address) !== previous.get(address));
			for (const [address] of obsoletePools) {
				pools.delete(address);
			}

			await Promise.all(obsoletePools.map(async ([, pool]) => pool.close()));
		},
		async close() {
			await Promise.all([...pools.values()].map(async pool => pool.close()));
			pools.clear();
		},
	};
};
