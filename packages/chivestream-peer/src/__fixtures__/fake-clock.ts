/** Clock for tests whose time passes only through `advance`. */
import {type Clock} from 'chivestream-core';

type Entry = {callback: () => void};

export type FakeClock = Clock & {
	/** Advances the time, runs due callbacks in order and lets promises settle between them. */
	advance: (lengthMs: number) => Promise<void>;
};

const settle = async (): Promise<void> => new Promise(resolve => {
	setImmediate(resolve);
});

/** Creates a clock that advances in whole milliseconds. */
export const createFakeClock = (startAt = 1_000_000): FakeClock => {
	const entries = new Map<number, Set<Entry>>();
	let time = startAt;

	const runDue = async () => {
		for (let due = entries.get(time); due !== undefined; due = entries.get(time)) {
			entries.delete(time);
			for (const {callback} of due) {
				callback();
			}

			await settle();
		}
	};

	return {
		now: () => time,
		at(deadline, callback) {
			const due = Math.max(time, Math.ceil(deadline));
			const entry = {callback};
			const sameTime = entries.get(due) ?? new Set();
			entries.set(due, sameTime.add(entry));
			return {
				cancel() {
					sameTime.delete(entry);
				},
			};
		},
		async advance(lengthMs) {
			const limit = time + Math.ceil(lengthMs);
			await settle();
			await runDue();
			while (time < limit) {
				time += 1;
				await runDue();
			}
		},
	};
};
