/**
Claims of opaque keys, which are keys that name no home. A host that receives a job with such a key appends a claim to
the log before it starts any task, and the first claim in log order wins. Claims that arrive during an append are grouped
into the next one.
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

/** The host incarnation that may run a key. */
export type Claimant = {
	hostId: string;
	incarnation: string;
};

/** Whether two claimants are the same incarnation of the same host. */
export const isSameIncarnation = (left: Claimant, right: Claimant): boolean =>
	left.hostId === right.hostId && left.incarnation === right.incarnation;

/** Claims of opaque keys, as read from the log. */
export type Claims = {
	/**
	Claims a key for this host unless it is claimed already. Resolves with the host whose claim came first, or with a
	`logUnavailable` failure at the deadline.
	*/
	claim: (key: string, deadline: number) => Promise<Result<Claimant, Failure>>;
	/** The claimant of a key in the part of the log that this host has read. */
	findClaimant: (key: string) => Claimant | undefined;
	/** Time by the log's clock before which claims may be missing, because the log dropped them before this host read them. */
	completeSince: () => number;
	/** Number of claims held in memory. */
	size: () => number;
	/** Reads the log until the signal aborts. */
	follow: (signal: AbortSignal) => Promise<void>;
};

/** Dependencies of the claims of one host. */
export type ClaimsOptions = {
	self: Claimant;
	stream: Stream;
	clock: Clock;
	logger: Logger;
	/** How long a claim is kept in memory, measured by the times of the log's records. */
	retentionMs: number;
};

const claimRecordSchema = z.object({
	hostId: z.string(),
	incarnation: z.string(),
	keys: z.array(z.string()),
});

/** A claim, with the time at which the log recorded it. */
type ClaimEntry = Claimant & {at: number};

type ClaimCallback = (claimant: Result<Claimant, Failure>) => void;

const maxRecordsPerPage = 1000;
const readWaitMs = 5000;
const retryDelayMs = 200;
const maxKeysPerAppend = 2000;
const step = 'claim-key';
const peer = 'log';

/** Creates claims over one stream of the log; they are read only while `follow` runs. */
export const createClaims = ({self, stream, clock, logger, retentionMs}: ClaimsOptions): Claims => {
	const claimsByKey = new Map<string, ClaimEntry>();
	const callbacksByKey = new Map<string, Set<ClaimCallback>>();
	let pending = new Set<string>();
	let isAppending = false;
	let nextOffset = 0;
	let completeSince = 0;

	const notify = (key: string, result: Result<Claimant, Failure>) => {
		const callbacks = callbacksByKey.get(key);
		callbacksByKey.delete(key);
		for (const callback of callbacks ?? []) {
			callback(result);
		}
	};

	const applyRecord = (record: StreamRecord) => {
		const parsed = claimRecordSchema.safeParse(record.value);
		if (!parsed.success) {
			logger.warn('ignoring a malformed claim', {step, peer, offset: record.offset});
			return;
		}

		const {hostId, incarnation, keys} = parsed.data;
		for (const key of keys) {
			if (!claimsByKey.has(key)) {
				claimsByKey.set(key, {hostId, incarnation, at: record.at});
			}

			const claimant = claimsByKey.get(key);
			if (claimant) {
				notify(key, Ok({hostId: claimant.hostId, incarnation: claimant.incarnation}));
			}
		}
	};

	const dropExpired = (logTime: number) => {
		for (const [key, claim] of claimsByKey) {
			if (claim.at + retentionMs > logTime) {
				break;
			}

			claimsByKey.delete(key);
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
			// A failed append may still have taken effect. Reading the stream shows which claim came first in either case.
			const appended = await stream.append({...self, keys}); // eslint-disable-line no-await-in-loop -- one append at a time groups the claims that arrive meanwhile
			if (appended.isErr()) {
				logger.warn('claim append failed', {step, peer, reason: appended.error.message});
			}
		}

		isAppending = false;
	};

	const readNextPage = async () => {
		const page = await stream.read({from: nextOffset, limit: maxRecordsPerPage, waitDeadline: clock.now() + readWaitMs});
		if (page.isErr()) {
			await waitUntil(clock, clock.now() + retryDelayMs);
			return;
		}

		const {records, first} = page.value;
		if (first > nextOffset) {
			completeSince = records[0]?.at ?? clock.now();
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
		const callback: ClaimCallback = result => {
			timer.cancel();
			resolve(result);
		};

		const timer = clock.at(deadline, () => {
			callbacksByKey.get(key)?.delete(callback);
			pending.delete(key);
			resolve(Err(new Failure(failureCode.logUnavailable, 'the log did not confirm the claim in time', {step, peer})));
		});
		const callbacks = callbacksByKey.get(key) ?? new Set();
		callbacks.add(callback);
		callbacksByKey.set(key, callbacks);
	});

	return {
		async claim(key, deadline) {
			const existing = claimsByKey.get(key);
			if (existing) {
				return Ok({hostId: existing.hostId, incarnation: existing.incarnation});
			}

			const claimed = waitForClaim(key, deadline);
			pending.add(key);
			void appendPending();
			return claimed;
		},
		findClaimant: key => claimsByKey.get(key),
		completeSince: () => completeSince,
		size: () => claimsByKey.size,
		async follow(signal) {
			while (!signal.aborted) {
				await readNextPage(); // eslint-disable-line no-await-in-loop -- each page starts where the previous one ended
			}
		},
	};
};
