/** The session with one minion: renews its lease, applies the ends of its runs, and sends start and stop requests. */
/* eslint-disable no-await-in-loop -- iterations are sequential */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	leaseExpiryMs, runKey, startAnswer, type Dispatcher, type Minion, type Run, type Task,
} from 'chivestream-dispatch';
import {createMinionClient, refusal, type MinionClient} from 'chivestream-platform';
import {answerTimeout, createAnswerTimes} from './answer-timeout.js';
import {type Report} from './host-log.js';

/** Dependencies and callbacks of a minion session. */
export type MinionSessionOptions = {
	minion: Minion;
	dispatcher: Dispatcher;
	/** Fencing token for the minion's first incarnation that the session meets; each later one uses the next token. */
	token: number;
	/** Longest lease that a minion grants, in milliseconds. */
	leaseMs: number;
	/** The monotonic clock, in milliseconds. */
	now: () => number;
	/** By how much this process has recently handled its events late, in milliseconds. */
	recentDelayMs: () => number;
	report: Report;
	/** Called when the minion refuses a request because another dispatcher has sent it a higher token. */
	onFenced: () => void;
	signal: AbortSignal;
};

/** Sends start and stop requests to one minion. */
export type MinionSession = {
	start: (run: Run, task: Task) => void;
	stop: (run: Run) => void;
	/** The minion's address. */
	address: string;
};

/**
 * How long a minion waits for a run to end before it answers, in milliseconds: short enough to renew each lease several times
 * before it expires.
 */
const holdWaitMs = 300;

/** Pause after a failed request, in milliseconds. */
const retryPauseMs = 100;

/** Pause after a stop request without an answer, in milliseconds. A task waits for it. */
const stopRetryPauseMs = 20;

/** Pause between two polls of a minion without runs, in milliseconds. */
const idlePollMs = 1500;

/** Time that a minion takes to stop a run, in milliseconds. */
const stopMs = 50;

/** Starts the session; it ends when the signal aborts. */
export const runMinionSession = (options: MinionSessionOptions): MinionSession => {
	const {
		minion, dispatcher, leaseMs, now, report, signal,
	} = options;
	const {id, address} = minion.record;
	const client: MinionClient = createMinionClient(id, address);
	/** The minion's clock read `time` when the local clock read `at`. */
	let minionClock: {at: number; time: number} | undefined;
	let {bornAt} = minion.record;
	let {token} = options;
	let endCursor = 0;
	let leaseSentAt = Number.NEGATIVE_INFINITY;
	let wake: (() => void) | undefined;

	const answerTimes = createAnswerTimes();

	/** Sends a request that the minion answers at once, with a timeout after which its answer counts as lost. */
	const send = async <Answer>(request: (timeoutMs: number) => Promise<Answer>, isAnswered: (answer: Answer) => boolean): Promise<Answer> => {
		const sentAt = now();
		const answer = await request(answerTimeout(answerTimes.recentMs(), options.recentDelayMs()));
		answerTimes.record(now() - sentAt, isAnswered(answer));
		return answer;
	};

	const sendStopRequest = async ({task, number}: Run) =>
		send(async timeoutMs => client.stop(task, number, token, timeoutMs), result => result.isOk());

	/** End of a lease granted now, on the minion's clock; undefined before its first answer. */
	const leaseDeadline = (): number | undefined =>
		minionClock === undefined ? undefined : Math.round(minionClock.time + (now() - minionClock.at) + leaseMs);

	/**
	 * Sends one request for the ends of runs; returns whether the minion answered. With `willRetry`, a failure other than a refusal
	 * by fencing has no effect, as another attempt follows.
	 */
	const pollOnce = async (waitMs: number, renewsLease: boolean, willRetry: boolean): Promise<boolean> => {
		const sentAt = now();
		const deadline = renewsLease ? leaseDeadline() : undefined;
		if (deadline !== undefined) {
			leaseSentAt = sentAt;
		}

		const hold = async (timeoutMs: number) => client.hold({
			token, acknowledgedCursor: endCursor, waitMs, leaseDeadline: deadline,
		}, timeoutMs);
		const result = await (waitMs === 0
			// A refusal is an answer, too.
			? send(hold, answer => answer.isOk() || !(answer.error instanceof Error))
			: hold(waitMs + answerTimeout(answerTimes.recentMs(), options.recentDelayMs())));
		if (signal.aborted) {
			return false;
		}

		if (result.isErr()) {
			if (result.error === refusal.fenced) {
				options.onFenced();
			} else if (willRetry) {
				return false;
			} else if (minion.isReachable) {
				const reason = result.error instanceof Error ? result.error.message : result.error;
				report('minion-unreachable', {minion: id, reason});
			}

			dispatcher.markUnreachable(minion);
			return false;
		}

		const response = result.value;
		if (response.bornAt !== bornAt) {
			// A new incarnation numbers its ends from the start. The higher token fences off requests to the previous incarnation
			// that are still in transit.
			token += bornAt > 0 ? 1 : 0;
			bornAt = response.bornAt;
			endCursor = 0;
			dispatcher.recordIncarnation(minion, bornAt);
		}

		if (!minion.isReachable) {
			report('minion-reached', {minion: id});
		}

		minionClock = {at: now(), time: response.minionTime};
		dispatcher.handleReport(minion, {polledAt: sentAt, running: response.running, ended: response.ended});
		endCursor = Math.max(endCursor, ...response.ended.map(end => end.cursor));
		return true;
	};

	/**
	 * Polls the minion; returns whether it answered. A minion that was reachable is polled a second time at once, since single
	 * answers get lost.
	 */
	const poll = async (waitMs: number, renewsLease: boolean): Promise<boolean> =>
		await pollOnce(waitMs, renewsLease, minion.isReachable) || (minion.isReachable && !signal.aborted && pollOnce(0, false, false));

	const sleepUntilWoken = async (ms: number) => new Promise<void>(resolve => {
		const timer = setTimeout(resolve, ms);
		wake = () => {
			clearTimeout(timer);
			resolve();
		};
	});

	const runPollLoop = async () => {
		while (!signal.aborted) {
			if (minion.isSynced && minion.isReachable && minion.runs.size === 0) {
				// The next poll acknowledges the last ends, within the time that the platform allows.
				await sleepUntilWoken(idlePollMs);
				if (signal.aborted) {
					break;
				}
			}

			const hasAnswered = await poll(minion.isSynced && minion.runs.size > 0 ? holdWaitMs : 0, minion.isReachable);
			if (!hasAnswered && !signal.aborted) {
				if (now() > leaseSentAt + leaseExpiryMs(leaseMs)) {
					dispatcher.handleLeaseExpiry(minion);
				}

				await sleep(retryPauseMs);
			}
		}

		client.close();
	};

	const sendStart = async (run: Run, task: Task) => {
		const deadline = leaseDeadline();
		if (deadline === undefined) {
			dispatcher.handleStartAnswer(run, startAnswer.refused);
			return;
		}

		leaseSentAt = now();
		wake?.();
		const result = await send(async timeoutMs => client.start({
			task: run.task, number: run.number, payload: task.job.request.payload, token, leaseDeadline: deadline,
		}, timeoutMs), ({answer}) => answer !== startAnswer.unknown);
		if (signal.aborted) {
			return;
		}

		if (result.answer !== startAnswer.started) {
			report('start-not-taken', {
				task: run.task, run: run.number, minion: id, answer: result.answer, detail: result.detail,
			});
		}

		if (result.refusal === refusal.fenced) {
			options.onFenced();
		}

		dispatcher.handleStartAnswer(run, result.answer);
		if (result.answer === startAnswer.unknown) {
			await poll(0, false);
		}
	};

	const sendStop = async (run: Run) => {
		while (!signal.aborted && minion.runs.has(runKey(run.task, run.number))) {
			const result = await sendStopRequest(run);
			if (result.isOk()) {
				dispatcher.markStopConfirmed(run);
				// The first poll shows whether the run was there at all. Stopping it takes the minion a moment; the poll after that shows
				// whether its resources are free.
				await poll(0, minion.isReachable);
				await sleep(stopMs);
				if (!signal.aborted && minion.runs.has(runKey(run.task, run.number))) {
					await poll(0, minion.isReachable);
				}

				return;
			}

			await sleep(stopRetryPauseMs);
		}
	};

	void runPollLoop();
	return {
		address,
		start(run, task) {
			void sendStart(run, task);
		},
		stop(run) {
			void sendStop(run);
		},
	};
};
