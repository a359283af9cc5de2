/**
 * Timeouts of requests to minions, from recent observations.
 *
 * On days on which answers get lost, a job of eight tasks of 60 ms misses its objective if each lost answer is noticed only after
 * 150 ms, although a minion usually answers within a few milliseconds. On a small or busy host, an answer that has arrived is read
 * late; without an allowance for it, a loaded dispatcher stops the runs that it has just started and starts them again, which
 * adds to its load.
 */

/** Share of the maximum that remains after each later observation. */
const decay = 0.97;

/** The largest recent one of a series of observations. */
export type RecentMaximum = {
	record: (value: number) => void;
	/** The largest observation, where older ones count less. */
	value: () => number;
};

/** Creates a maximum without observations, with the value that applies before them. */
export const createRecentMaximum = (initial = 0): RecentMaximum => {
	let maximum = initial;
	return {
		record(value) {
			maximum = Math.max(value, maximum * decay);
		},
		value: () => maximum,
	};
};

/** Answer time assumed of a minion before its first answers, in milliseconds: a new dispatcher polls all minions at once. */
const unknownAnswerMs = 27;

/** Recent answer times of a minion. */
export type AnswerTimes = {
	/** Records how long a request took, in milliseconds, and whether it was answered. */
	record: (tookMs: number, isAnswered: boolean) => void;
	/** The longest recent answer, in milliseconds; after several losses in a row at least the longest wait for one of them. */
	recentMs: () => number;
};

/**
 * Creates answer times without observations. A single lost answer says nothing about the speed of the minion. Several in a row may be
 * answers that take longer than the timeout, so the next request gets more time; the first answer then shows how long they do take. Were
 * the losses kept among the answers, each timeout that ran out would lengthen many later ones.
 */
export const createAnswerTimes = (): AnswerTimes => {
	const times = createRecentMaximum(unknownAnswerMs);
	let lostInRow = 0;
	let silentMs = 0;
	return {
		record(tookMs, isAnswered) {
			if (isAnswered) {
				lostInRow = 0;
				silentMs = 0;
				times.record(tookMs);
				return;
			}

			lostInRow += 1;
			if (lostInRow > 1) {
				silentMs = Math.max(silentMs, tookMs);
			}
		},
		recentMs: () => Math.max(times.value(), silentMs),
	};
};

/** Timeout of a request to a minion that usually answers at once, in milliseconds: many round trips within a zone. */
const leastTimeoutMs = 40;

/** Limit of the timeout, in milliseconds, so that a lost answer is noticed well within a lease. */
const greatestTimeoutMs = 400;

/** Factor on the longest recent answer. */
const answerFactor = 4;

/** Sending the request and reading its answer may each be late by the recent delay of this process. */
const delayFactor = 2;

/** Timeout of a request, from the longest recent answer of the minion and the recent delay of this process, all in milliseconds; a whole number. */
export const answerTimeout = (recentAnswerMs: number, recentDelayMs: number): number =>
	Math.min(greatestTimeoutMs, Math.round(leastTimeoutMs + (answerFactor * recentAnswerMs) + (delayFactor * recentDelayMs)));
