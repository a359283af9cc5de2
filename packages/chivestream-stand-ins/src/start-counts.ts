/** Counts what an upstream host started, independently of what the dispatcher believes. */

/** What an upstream host started so far. */
export type StartReport = {
	/** Number of starts by `KEY/TASK`. */
	starts: Record<string, number>;
	/** Number of starts of all tasks. */
	total: number;
	/** Tasks running now. */
	running: number;
	/** Most tasks that ran at once. */
	mostRunning: number;
	/** Requests for a task, started or not. */
	requests: number;
	/** Requests refused before the task started. */
	refused: number;
	/** Time of the last start, in milliseconds since the Unix epoch. */
	lastStartAt?: number;
};

/** Counts starts by task. */
export type StartCounts = {
	request: () => void;
	refusal: () => void;
	start: (attempt: string) => void;
	end: () => void;
	running: () => number;
	report: () => StartReport;
	reset: () => void;
};

/** `KEY/TASK` of an attempt given as `KEY/TASK/ATTEMPT`. */
export const taskOfAttempt = (attempt: string): string => attempt.slice(0, attempt.lastIndexOf('/'));

/** Counters at zero. */
export const createStartCounts = (): StartCounts => {
	const starts = new Map<string, number>();
	let total = 0;
	let running = 0;
	let mostRunning = 0;
	let requests = 0;
	let refused = 0;
	let lastStartAt: number | undefined;

	return {
		request() {
			requests++;
		},
		refusal() {
			refused++;
		},
		start(attempt) {
			const task = taskOfAttempt(attempt);
			starts.set(task, (starts.get(task) ?? 0) + 1);
			total++;
			running++;
			mostRunning = Math.max(mostRunning, running);
			lastStartAt = Date.now();
		},
		end() {
			running--;
		},
		running: () => running,
		report: () => ({
			starts: Object.fromEntries(starts), total, running, mostRunning, requests, refused, lastStartAt,
		}),
		reset() {
			starts.clear();
			total = 0;
			mostRunning = running;
			requests = 0;
			refused = 0;
			lastStartAt = undefined;
		},
	};
};
