/** A clock that moves only when told to. */
import {type Clock} from 'chivestream-core';

type Entry = {deadline: number; order: number; callback: () => void};

export type FakeClock = Clock & {
	/** Moves on, running what falls due in order, and lets promises settle in between. */
	advance: (lengthMs: number) => Promise<void>;
};

const settle = async (): Promise<void> => new Promise(resolve => {
	setImmediate(resolve);
});

export const createFakeClock = (startAt = 1_000_000): FakeClock => {
	const entries = new Set<Entry>();
	let time = startAt;
	let order = 0;

	const takeDue = (limit: number): Entry[] => {
		let earliest = Infinity;
		for (const {deadline} of entries) {
			earliest = Math.min(earliest, deadline);
		}

		if (earliest > limit) {
			return [];
		}

		time = Math.max(time, earliest);
		const due = [...entries].filter(({deadline}) => deadline <= time);
		for (const entry of due) {
			entries.delete(entry);
		}

		return due.toSorted((left, right) => left.deadline - right.deadline || left.order - right.order);
	};

	return {
		now: () => time,
		at(deadline, callback) {
			order += 1;
			const entry = {deadline, order, callback};
			entries.add(entry);
			return {
				cancel() {
					entries.delete(entry);
				},
			};
		},
		async advance(lengthMs) {
			const limit = time + lengthMs;
			await settle();
			for (let due = takeDue(limit); due.length > 0; due = takeDue(limit)) {
				for (const {callback} of due) {
					callback();
				}

				await settle();
			}

			time = limit;
		},
	};
};
