/** One stream of the log in memory, on a clock passed as an argument, with the log's faults at the caller's will. */
import {
	Failure, failureCode, waitUntil, type Clock,
} from 'chivestream-core';
import {type Stream, type StreamPage, type StreamRecord} from 'chivestream-log';
import {Err, Ok, type Result} from 'ts-results-es';

/** Faults of the log; each may change while it runs. */
export type StreamFaults = {
	/** Until when the log answers nothing. */
	outageUntil: number;
	/** How long a request takes, in milliseconds. */
	latencyMs: number;
	/** Whether the next append takes effect without its answer. */
	losesAnswer: () => boolean;
};

/** The stream as the log holds it; `connect` gives each reader its own link. */
export type MemoryStream = {
	faults: StreamFaults;
	records: () => readonly StreamRecord[];
	/** Drops the records below an offset, as retention does. */
	dropBelow: (offset: number) => void;
	/** A link of one entry host; it gives no answer while `isCut`. */
	connect: (isCut?: () => boolean) => Stream;
};

const requestTimeoutMs = 2000;

/** An empty stream. */
export const createMemoryStream = (clock: Clock): MemoryStream => {
	const records: StreamRecord[] = [];
	const readers = new Set<() => void>();
	let first = 0;
	const faults: StreamFaults = {outageUntil: 0, latencyMs: 4, losesAnswer: () => false};

	const fail = async (step: string): Promise<Result<never, Failure>> => {
		await waitUntil(clock, clock.now() + requestTimeoutMs);
		return Err(new Failure(failureCode.logUnavailable, 'the log gave no answer', {step, peer: 'log'}));
	};

	const isOut = () => clock.now() < faults.outageUntil;

	const readPage = (from: number, limit: number): StreamPage => {
		const start = Math.max(from, first);
		return {records: records.slice(start, start + limit), first, next: records.length};
	};

	const waitForRecord = async (deadline: number): Promise<void> => new Promise(resolve => {
		const wake = () => {
			readers.delete(wake);
			timer.cancel();
			resolve();
		};

		const timer = clock.at(deadline, wake);
		readers.add(wake);
	});

	const connect = (isCut = () => false): Stream => ({
		async append(value) {
			await waitUntil(clock, clock.now() + (faults.latencyMs / 2));
			if (isOut() || isCut()) {
				return fail('append');
			}

			const offset = records.length;
			records.push({offset, at: clock.now(), value: structuredClone(value)});
			for (const wake of readers) {
				wake();
			}

			await waitUntil(clock, clock.now() + (faults.latencyMs / 2));
			return isCut() || faults.losesAnswer() ? fail('append') : Ok(offset);
		},
		async read({from, limit, waitDeadline}) {
			await waitUntil(clock, clock.now() + (faults.latencyMs / 2));
			if (isOut() || isCut()) {
				return fail('read');
			}

			if (from >= records.length && waitDeadline > clock.now()) {
				await waitForRecord(waitDeadline);
			}

			await waitUntil(clock, clock.now() + (faults.latencyMs / 2));
			return isOut() || isCut() ? fail('read') : Ok(readPage(from, limit));
		},
	});

	return {
		faults,
		records: () => records,
		dropBelow(offset) {
			first = Math.max(first, Math.min(offset, records.length));
		},
		connect,
	};
};
