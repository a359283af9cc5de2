/** A fake clock that runs what is due in order of time, in a single process. */
import {type Clock} from 'chivestream-core';
import {createHeap} from 'chivestream-placement';

type Due = {
	at: number;
	sequence: number;
	run: () => void;
};

/** Events on a fake clock. */
export type EventQueue = Clock & {
	/** Runs all events until none is left or the next is later than the limit. */
	runUntil: (limit: number) => void;
};

/** A queue whose clock starts at 0. Events of the same time run in the order in which they were scheduled. */
export const createEventQueue = (): EventQueue => {
	const due = createHeap<Due>((left, right) => left.at === right.at ? left.sequence < right.sequence : left.at < right.at);
	let now = 0;
	let sequence = 0;
	return {
		now: () => now,
		at(deadline, callback) {
			const node = due.push({at: Math.max(now, deadline), sequence: sequence++, run: callback});
			return {
				cancel() {
					due.remove(node);
				},
			};
		},
		runUntil(limit) {
			for (let next = due.peek(); next && next.at <= limit; next = due.peek()) {
				due.pop();
				now = next.at;
				next.run();
			}
		},
	};
};
