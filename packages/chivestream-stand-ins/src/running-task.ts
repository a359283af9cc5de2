/** One running task whose remaining time can be stretched and that can be stopped. */

/** How a task ended. */
export type TaskEnd = 'completed' | 'stopped';

/** A running task. */
export type RunningTask = {
	attempt: string;
	/** Share of its run time that has passed, from 0 to 1. */
	progress: () => number;
	/** Multiplies the remaining time. */
	throttle: (factor: number) => void;
	stop: () => void;
};

/** Starts the clock of a task; calls back once when it has ended. An infinite run time never ends by itself. */
export const startTask = (attempt: string, runMs: number, onEnd: (end: TaskEnd) => void): RunningTask => {
	let startedAt = Date.now();
	let endsAt = startedAt + runMs;
	let doneBefore = 0;
	let timer: NodeJS.Timeout | undefined;

	const schedule = () => {
		clearTimeout(timer);
		if (Number.isFinite(endsAt)) {
			timer = setTimeout(onEnd, Math.max(0, endsAt - Date.now()), 'completed');
		}
	};

	const progress = (): number => {
		const spanMs = endsAt - startedAt;
		const passed = spanMs > 0 ? Math.min(1, (Date.now() - startedAt) / spanMs) : 1;
		return doneBefore + ((1 - doneBefore) * passed);
	};

	schedule();
	return {
		attempt,
		progress,
		throttle(factor) {
			const now = Date.now();
			doneBefore = progress();
			endsAt = now + (Math.max(0, endsAt - now) * factor);
			startedAt = now;
			schedule();
		},
		stop() {
			clearTimeout(timer);
			onEnd('stopped');
		},
	};
};
