/** One stream of the log stand-in, held in memory and cut by count and age. */

/** One record as the log answers with it. */
export type LogRecord = {
	offset: number;
	at: number;
	value: unknown;
};

/** Records from an offset on, with the bounds of what is retained. */
export type LogPage = {
	records: LogRecord[];
	first: number;
	next: number;
};

/** How much a stream keeps. */
export type Retention = {
	maxRecords: number;
	maxAgeMs: number;
};

/** A stream with retention. */
export type RetainedStream = {
	append: (value: unknown) => number;
	read: (from: number, limit: number) => LogPage;
	/** Resolves once a record at or above the offset exists, the deadline passes or `wakeReaders` is called. */
	waitFor: (offset: number, deadline: number) => Promise<void>;
	wakeReaders: () => void;
};

/** An empty stream. */
export const createRetainedStream = (retention: () => Retention): RetainedStream => {
	let records: LogRecord[] = [];
	let next = 0;
	const readers = new Set<() => void>();

	const wakeReaders = () => {
		for (const wake of readers) {
			wake();
		}
	};

	const applyRetention = () => {
		const {maxRecords, maxAgeMs} = retention();
		const horizon = Date.now() - maxAgeMs;
		const excess = records.length - maxRecords;
		const firstYoung = records.findIndex(record => record.at >= horizon);
		const expired = firstYoung === -1 ? records.length : firstYoung;
		const dropped = Math.max(excess, expired);
		if (dropped > 0) {
			records = records.slice(dropped);
		}
	};

	return {
		append(value) {
			const offset = next;
			next++;
			records.push({offset, at: Date.now(), value});
			applyRetention();
			wakeReaders();
			return offset;
		},
		read(from, limit) {
			applyRetention();
			const first = records[0]?.offset ?? next;
			const start = Math.max(0, from - first);
			return {records: records.slice(start, start + limit), first, next};
		},
		async waitFor(offset, deadline) {
			if (next > offset) {
				return;
			}

			await new Promise<void>(resolve => {
				const finish = () => {
					clearTimeout(timer);
					readers.delete(finish);
					resolve();
				};

				const timer = setTimeout(finish, Math.max(0, deadline - Date.now()));
				readers.add(finish);
			});
		},
		wakeReaders,
	};
};
