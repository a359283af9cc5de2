/** A clock that moves only when told to, for runs that give the same outcome every time. */
import {type Clock} from 'chivestream-core';

type Entry = {deadline: number; order: number; callback: () => void; isCancelled: boolean};

/** A clock that a test or a replay moves on. */
export type FakeClock = Clock & {
	/** Moves on to a time, running what falls due in order, and lets promises settle in between. */
	advanceTo: (time: number) => Promise<void>;
	/** Moves on by a length of time in milliseconds. */
	advance: (lengthMs: number) => Promise<void>;
	/** Moves on until a promise has settled. */
	runUntil: <Value>(promise: Promise<Value>) => Promise<Value>;
};

const defaultStart = 1_790_000_000_000;

/** Resolves after every promise that can settle without the clock has settled. */
const settlePromises = async (): Promise<void> => new Promise(resolve => {
	setImmediate(resolve);
});

const comesBefore = (left: Entry, right: Entry): boolean =>
	left.deadline === right.deadline ? left.order < right.order : left.deadline < right.deadline;

/** Index at which an entry keeps the list in order. */
const findPlace = (entries: readonly Entry[], entry: Entry): number => {
	let low = 0;
	let high = entries.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if (comesBefore(entries[middle]!, entry)) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return low;
};

/** A clock that stands at the given time. */
export const createFakeClock = (startAt = defaultStart): FakeClock => {
	const entries: Entry[] = [];
	let time = startAt;
	let order = 0;

	const runNext = async () => {
		const entry = entries.shift()!;
		if (entry.isCancelled) {
			return;
		}

		time = Math.max(time, entry.deadline);
		entry.callback();
		await settlePromises();
	};

	const advanceTo = async (limit: number) => {
		await settlePromises();
		while (entries.length > 0 && entries[0]!.deadline <= limit) {
			await runNext(); // eslint-disable-line no-await-in-loop -- what falls due runs in order
		}

		time = Math.max(time, limit);
	};

	return {
		now: () => time,
		at(deadline, callback) {
			order += 1;
			const entry: Entry = {
				deadline: Math.max(deadline, time), order, callback, isCancelled: false,
			};
			entries.splice(findPlace(entries, entry), 0, entry);
			return {
				cancel() {
					entry.isCancelled = true;
				},
			};
		},
		advanceTo,
		advance: async lengthMs => advanceTo(time + lengthMs),
		async runUntil(promise) {
			const progress = {isSettled: false};
			void promise.catch(() => undefined).then(() => {
				progress.isSettled = true;
			});
			await settlePromises();
			while (!progress.isSettled) {
				if (entries.length === 0) {
					throw new Error('the promise waits for something that the clock does not bring');
				}

				await runNext(); // eslint-disable-line no-await-in-loop -- what falls due runs in order
			}

			return promise;
		},
	};
};
