/** A value that readers see only some time after it was set. */

/** A value whose changes become visible late. */
export type LaggedValue<Value> = {
	set: (value: Value) => void;
	/** The newest value that is old enough to be seen, with the time at which it was set. */
	get: () => {at: number; value: Value};
};

/** A lagged value that starts out visible. */
export const createLaggedValue = <Value>(initial: Value, lagMs: () => number): LaggedValue<Value> => {
	const changes = [{at: Date.now(), value: initial}];
	let visible = changes[0]!;

	const dropSeen = () => {
		const horizon = Date.now() - lagMs();
		while (changes[0] && changes[0].at <= horizon) {
			visible = changes.shift()!;
		}
	};

	return {
		set(value) {
			dropSeen();
			changes.push({at: Date.now(), value});
		},
		get() {
			dropSeen();
			return visible;
		},
	};
};
