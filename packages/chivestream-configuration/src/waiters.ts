/** Waits for a condition on state that changes step by step. */
import {type Clock} from 'chivestream-core';

/** Callers that wait for a condition. */
export type Waiters = {
	/** Looks at every condition again. */
	notify: () => void;
	/** Whether the condition came true before the deadline. */
	until: (condition: () => boolean, deadline: number) => Promise<boolean>;
};

/** Creates an empty set of waiters. */
export const createWaiters = (clock: Clock): Waiters => {
	const checks = new Set<() => void>();
	return {
		notify() {
			for (const check of checks) {
				check();
			}
		},
		until: async (condition, deadline) => new Promise(resolve => {
			const finish = (isMet: boolean) => {
				timer.cancel();
				checks.delete(check);
				resolve(isMet);
			};

			const check = () => {
				if (condition()) {
					finish(true);
				}
			};

			const timer = clock.at(deadline, () => {
				finish(condition());
			});
			checks.add(check);
			check();
		}),
	};
};
