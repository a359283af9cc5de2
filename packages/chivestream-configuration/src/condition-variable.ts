/** A condition variable: waits for conditions on state that other code changes. */
import {type Clock} from 'chivestream-core';

/** Lets callers wait until a condition holds. */
export type ConditionVariable = {
	/** Re-evaluates the condition of every waiting caller; called after each change of the state. */
	notify: () => void;
	/** Resolves to true once the condition holds, or to its value at the deadline, in milliseconds since the Unix epoch. */
	waitFor: (condition: () => boolean, deadline: number) => Promise<boolean>;
};

/** Creates a condition variable whose deadlines follow the given clock. */
export const createConditionVariable = (clock: Clock): ConditionVariable => {
	const checks = new Set<() => void>();
	return {
		notify() {
			for (const check of checks) {
				check();
			}
		},
		waitFor: async (condition, deadline) => new Promise(resolve => {
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
