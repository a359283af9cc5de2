/**
Claims of opaque keys. A host that is given a key that names no home appends a claim to the log before it starts
anything; the first claim in log order wins. Claims that wait together share one append.
*/
import {
	Failure,
	failureCode,
	waitUntil,
	type Clock,
	type Logger,
} from 'chivestream-core';
import {type Stream, type StreamRecord} from 'chivestream-log';
import {Err, Ok, type Result} from 'ts-results-es';
import {z} from 'zod';

/** The incarnation that may run a key. */
export type Claimant = {
	hostId: string;
	incarnation: string;
};

/** Whether two claimants are the same run of a host. */
export const isSameRun = (left: Claimant, right: Claimant): boolean =>
	left.hostId === right.hostId && left.incarnation === right.incarnation;

/** Claims keys through the log. */
export type Claims = {
	/** The claimant of a key: this host or the one whose claim came first. */
	claim: (key: string, deadline: number) => Promise<Result<Claimant, Failure>>;
	/** The claimant of a key as far as this host has read. */
	claimantOf: (key: string) => Claimant | undefined;
	/** Keys made before this time may have been claimed by records that the log no longer holds. */
	blindBefore: () => number;
	/** Claims held in memory. */
	size: () => number;
	/** Reads the log until the signal aborts. */
	follow: (signal: AbortSignal) => Promise<void>;
};

/** What claims need. */
export type ClaimsOptions = {
	self: Claimant;
	stream: Stream;
	clock: Clock;
	logger: Logger;
	/** How long a claim is remembered by the log's time. */
	retentionMs: number;
};

const claimRecord = z.object({
	hostId: z.string(),
	incarnation: z.string(),
	keys: z.array(z.string()),
});

type HeldClaim = Claimant & {at: number};

type Waiter = (claimant: Result<Claimant, Failure>) => void;

const pageLimit = 1000;
const pollMs = 5000;
const retryPauseMs = 200;
const maxKeysPerAppend = 2000;
const step = 'claim-key';
const peer = 'log';

/** Claims over one stream of the log. */
export const createClaims = ({self, stream, clock, logger, retentionMs}: ClaimsOptions): Claims => {
	const held = new Map<string, HeldClaim>();
	const waiters = new Map<string, Set<Waiter>>();
	let pending = new Set<string>();
	let isAppending = false;
	let nextOffset = 0;
	let blindBefore = 0;

	const notify = (key: string, result: Result<Claimant, Failure>) => {
		const waiting = waiters.get(key);
		waiters.delete(key);
		for (const waiter of waiting ?? []) {
			waiter(result);
		}
	};

	const applyRecord = (record: StreamRecord) => {
		const parsed = claimRecord.safeParse(record.value);
		if (!parsed.success) {
			logger.warn('ignoring a malformed claim', {step, peer, offset: record.offset});
			return;
		}

		const {hostId, incarnation, keys} = parsed.data;
		for (const key of keys) {
			if (!held.has(key)) {
				held.set(key, {hostId, incarnation, at: record.at});
			}

			const claimant = held.get(key);
			if (claimant) {
				notify(key, Ok({hostId: claimant.hostId, incarnation: claimant.incarnation}));
			}
		}
	};

	const dropExpired = (logNow: number) => {
		for (const [key, claim] of held) {
			if (claim.at + retentionMs > logNow) {
				break;
			}

			held.delete(key);
		}
	};

	const appendPending = async () => {
		if (isAppending) {
			return;
		}

		isAppending = true;
		while (pending.size > 0) {
			const keys = [...pending].slice(0, maxKeysPerAppend);
			pending = new Set([...pending].slice(keys.length));
			// An append that failed may have taken effect: reading the stream settles it either way.
			const appended = await stream.append({...self, keys}); // eslint-disable-line no-await-in-loop -- one append at a time groups the claims that arrive meanwhile
			if (appended.isErr()) {
				logger.warn('claim append failed', {step, peer, reason: appended.error.message});
			}
		}

		isAppending = false;
	};

	const readOnce = async () => {
		const page = await stream.read({from: nextOffset, limit: pageLimit, waitDeadline: clock.now() + pollMs});
		if (page.isErr()) {
			await waitUntil(clock, clock.now() + retryPauseMs);
			return;
		}

		const {records, first} = page.value;
		if (first > nextOffset) {
			blindBefore = records[0]?.at ?? clock.now();
		}

		for (const record of records) {
			applyRecord(record);
		}

		nextOffset = Math.max(nextOffset, first, (records.at(-1)?.offset ?? -1) + 1);
		const lastAt = records.at(-1)?.at;
		if (lastAt !== undefined) {
			dropExpired(lastAt);
		}
	};

	const waitForClaim = async (key: string, deadline: number): Promise<Result<Claimant, Failure>> => new Promise(resolve => {
		const waiter: Waiter = result => {
			timer.cancel();
			resolve(result);
		};

		const timer = clock.at(deadline, () => {
			waiters.get(key)?.delete(waiter);
			pending.delete(key);
			resolve(Err(new Failure(failureCode.logUnavailable, 'the log did not confirm the claim in time', {step, peer})));
		});
		const waiting = waiters.get(key) ?? new Set();
		waiting.add(waiter);
		waiters.set(key, waiting);
	});

	return {
		async claim(key, deadline) {
			const known = held.get(key);
			if (known) {
				return Ok({hostId: known.hostId, incarnation: known.incarnation});
			}

			const confirmed = waitForClaim(key, deadline);
			pending.add(key);
			void appendPending();
			return confirmed;
		},
		claimantOf: key => held.get(key),
		blindBefore: () => blindBefore,
		size: () => held.size,
		async follow(signal) {
			while (!signal.aborted) {
				await readOnce(); // eslint-disable-line no-await-in-loop -- pages follow each other
			}
		},
	};
};
