/** The session with one minion: renews its lease, applies the ends of its runs, and sends start and stop requests. */
/* eslint-disable no-await-in-loop -- iterations are sequential */
import {setTimeout as sleep} from 'node:timers/promises';
import {failureCode, type Failure} from 'chivestream-core';
import {
	crashEvidence, runKey, startAnswer, type Dispatcher, type Minion, type Run, type Task,
} from 'chivestream-dispatch';
import {
	createMinionClient, refusal, wasClosedByPeer, wasRefused, type MinionClient, type Refusal,
} from 'chivestream-platform';
import {Err, Ok, type Result} from 'ts-results-es';
import {answerTimeout, createAnswerTimes} from './answer-timeout.js';
import {runBackgroundLoop} from './background-loop.js';
import {type Report} from './host-log.js';
import {nextToken} from './tokens.js';

/** Dependencies and callbacks of a minion session. */
export type MinionSessionOptions = {
	minion: Minion;
	dispatcher: Dispatcher;
	/** The first fencing token of the session. */
	token: number;
	/** The monotonic clock, in milliseconds. */
	now: () => number;
	/** By how much this process has recently handled its events late, in milliseconds. */
	recentDelayMs: () => number;
	report: Report;
	/** Called when an answer of the minion has been read that it sent at this time or later, on the monotonic clock. */
	onAnswer: (sentAt: number) => void;
	/** Called when the minion refuses a request because another dispatcher has sent it a higher token. */
	onFenced: () => void;
	signal: AbortSignal;
};

/** Sends start and stop requests to one minion. */
export type MinionSession = {
	start: (run: Run, task: Task) => void;
	stop: (run: Run) => void;
	/** Polls the minion without a further pause. */
	wake: () => void;
	/** The minion's address. */
	address: string;
	/** The fencing token that it uses now. */
	token: () => number;
};

/**
 * How long a minion waits for a run to end before it answers, in milliseconds: short enough to renew each lease several times
 * before it expires.
 */
const holdWaitMs = 300;

/** The slowest speed of a minion's clock, as a multiple of the right one. */
const slowestClockRate = 0.98;

/** Pause after a failed request, in milliseconds. */
const retryPauseMs = 100;

/** Pause after a stop request without an answer, in milliseconds. A task waits for it. */
const stopRetryPauseMs = 20;

/** Pause between two polls of a minion without runs, in milliseconds. */
const idlePollMs = 1500;

/** Time that a minion takes to stop a run, in milliseconds. */
const stopMs = 50;

/**
 * Longest time between the close of a connection and the refusal of the next one that shows that the minion has stopped, in
 * milliseconds. A refusal alone can come from the network.
 */
const crashDetectionMs = 500;

/** Whether a request without a valid answer may still be carried out: it was sent, and the minion has not refused it. */
const mayBeCarriedOut = (error: Failure | Refusal): boolean => error instanceof Error && error.code !== failureCode.notReady;

const reasonOf = (error: Failure | Refusal): string => error instanceof Error ? error.message : error;

/** Starts the session; it ends when the signal aborts. */
export const runMinionSession = (options: MinionSessionOptions): MinionSession => {
	const {
		minion, dispatcher, now, report, signal,
	} = options;
	const {id, address} = minion.record;
	const client: MinionClient = createMinionClient(id, address);
	/** The minion's clock read `time` when the local clock read `at`. */
	let minionClock: {at: number; time: number} | undefined;
	let {bornAt} = minion.record;
	let {token} = options;
	let endCursor = 0;
	/** The incarnation for which the current token was taken, by its start. */
	let tokenBornAt = bornAt;
	/** The highest token under which the current incarnation has reported its runs. */
	let answeredToken: number | undefined;
	let wake: (() => void) | undefined;

	/** When the minion last closed a connection that had a request in progress, unless it has answered since. */
	let closedAt = Number.NEGATIVE_INFINITY;

	const answerTimes = createAnswerTimes();

	/**
	 * Takes the next token after a request without an answer that grants a lease: the minion may carry it out at any later time, and would
	 * then let its runs live longer than this dispatcher knows. From the next request that reaches it on, it refuses the earlier ones.
	 */
	const fenceOffUnanswered = (sentToken: number) => {
		if (sentToken === token) {
			token = nextToken(token);
		}
	};

	const noteClosedConnection = (error: Failure | Refusal) => {
		if (error instanceof Error && wasClosedByPeer(error)) {
			closedAt = now();
		}
	};

	/** Sends a request that the minion answers at once, with a timeout after which its answer counts as lost. */
	const send = async <Answer>(request: (timeoutMs: number) => Promise<Answer>, isAnswered: (answer: Answer) => boolean): Promise<Answer> => {
		const sentAt = now();
		const answer = await request(answerTimeout(answerTimes.recentMs(), options.recentDelayMs()));
		answerTimes.record(now() - sentAt, isAnswered(answer));
		if (isAnswered(answer)) {
			options.onAnswer(sentAt);
		}

		return answer;
	};

	const sendStopRequest = async ({task, number}: Run) =>
		send(async timeoutMs => client.stop(task, number, token, timeoutMs), result => result.isOk());

	/**
	 * End of a lease granted now, on the minion's clock; undefined before its first answer, or if the lease must not be extended. Its clock
	 * reads at least what it would read at its slowest, so the lease is never longer than granted.
	 */
	const grantLease = (): number | undefined => {
		const grantedMs = minionClock === undefined ? undefined : dispatcher.grantLease(minion);
		return minionClock === undefined || grantedMs === undefined
			? undefined
			: Math.floor(minionClock.time + ((now() - minionClock.at) * slowestClockRate) + grantedMs);
	};

	/** Sends one request for the ends of runs, and applies its answer. */
	const pollOnce = async (waitMs: number, renewsLease: boolean): Promise<Result<void, Failure | Refusal>> => {
		if (minion.bornAt > tokenBornAt) {
			// The registry has shown a restart. The first request that reaches the new incarnation fences off the earlier ones, also if its
			// answer is lost.
			token = nextToken(token);
			tokenBornAt = minion.bornAt;
		}

		const sentAt = now();
		const sentToken = token;
		const sentToIncarnation = minion.bornAt;
		const deadline = renewsLease ? grantLease() : undefined;
		// A request without an answer may be due to a restart. The numbers of ends then begin anew, and an earlier one would acknowledge ends
		// that nobody has read.
		const acknowledgedCursor = answeredToken === sentToken ? endCursor : 0;
		const hold = async (timeoutMs: number) => client.hold({
			token: sentToken, acknowledgedCursor, waitMs, leaseDeadline: deadline,
		}, timeoutMs);
		const result = await (waitMs === 0
			// A refusal is an answer, too.
			? send(hold, answer => answer.isOk() || !(answer.error instanceof Error))
			: hold(waitMs + answerTimeout(answerTimes.recentMs(), options.recentDelayMs())));
		if (signal.aborted) {
			return new Err(refusal.other);
		}

		if (result.isErr()) {
			noteClosedConnection(result.error);
			if (deadline !== undefined && mayBeCarriedOut(result.error)) {
				fenceOffUnanswered(sentToken);
			}

			// A later request of this session has overtaken it.
			return result.error === refusal.fenced && sentToken < token ? new Err(refusal.other) : result;
		}

		closedAt = Number.NEGATIVE_INFINITY;
		answeredToken = Math.max(answeredToken ?? 0, sentToken);
		const response = result.value;
		if (response.bornAt !== bornAt) {
			const isRestart = bornAt > 0;
			bornAt = response.bornAt;
			endCursor = 0;
			answeredToken = undefined;
			tokenBornAt = Math.max(tokenBornAt, bornAt);
			dispatcher.recordIncarnation(minion, bornAt);
			if (isRestart) {
				// The new incarnation has seen no stop, and would still carry out earlier start requests. A higher token fences them off,
				// so only what it reports under that token is final.
				token = nextToken(token);
				minionClock = {at: now(), time: response.minionTime};
				return pollOnce(0, false);
			}
		}

		if (minion.bornAt !== sentToIncarnation && response.bornAt < minion.bornAt) {
			// The registry has shown a restart since.
			return pollOnce(0, false);
		}

		if (!minion.isReachable) {
			report('minion-reached', {minion: id});
		}

		minionClock = {at: now(), time: response.minionTime};
		options.onAnswer(sentAt);
		dispatcher.handleReport(minion, {polledAt: sentAt, running: response.running, ended: response.ended});
		endCursor = Math.max(endCursor, ...response.ended.map(end => end.cursor));
		return new Ok(undefined);
	};

	/** Whether the registry's entry, and so the address of this session, is that of an earlier incarnation than the one that is known. */
	const isEntryOutdated = () => minion.record.bornAt > 0 && minion.record.bornAt < minion.bornAt;

	const handlePollFailure = (first: Failure | Refusal, last: Failure | Refusal) => {
		if (last === refusal.fenced) {
			options.onFenced();
		} else if (minion.isReachable) {
			report('minion-unreachable', {minion: id, reason: reasonOf(last), ...(first !== last && {firstReason: reasonOf(first)})});
		}

		dispatcher.markUnreachable(minion);
		if (isEntryOutdated()) {
			// The known incarnation may be at another address.
			return;
		}

		if (last === refusal.otherIncarnation && (minion.isSynced || minion.runsLostInSilence.length > 0)) {
			dispatcher.handleCrash(minion, crashEvidence.replaced);
		} else if (last instanceof Error && wasRefused(last) && now() < closedAt + crashDetectionMs) {
			dispatcher.handleCrash(minion, crashEvidence.stoppedListening);
			// Its next incarnation carries out earlier requests until it has received a higher token.
			token = nextToken(token);
		}
	};

	/**
	 * Polls the minion; returns whether it answered. A minion that was reachable is polled a second time at once, since single
	 * answers get lost.
	 */
	const poll = async (waitMs: number, renewsLease: boolean): Promise<boolean> => {
		const first = await pollOnce(waitMs, renewsLease);
		if (first.isOk() || signal.aborted) {
			return first.isOk();
		}

		const isRetried = minion.isReachable && first.error !== refusal.fenced;
		const last = isRetried ? await pollOnce(0, false) : first;
		if (last.isErr() && !signal.aborted) {
			handlePollFailure(first.error, last.error);
		}

		return last.isOk();
	};

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
				if (now() > minion.leaseEndsAt) {
					dispatcher.handleLeaseExpiry(minion);
				}

				await sleep(retryPauseMs);
			}
		}

		client.close();
	};

	const sendStart = async (run: Run, task: Task) => {
		const deadline = grantLease();
		if (deadline === undefined) {
			dispatcher.handleStartAnswer(run, startAnswer.refused);
			return;
		}

		wake?.();
		const sentToken = token;
		const result = await send(
			async timeoutMs => client.start({
				task: run.task, number: run.number, payload: task.job.request.payload, token: sentToken, leaseDeadline: deadline,
			}, timeoutMs),
			// A request that could not be sent is refused without the minion's clock.
			({minionTime}) => minionTime !== undefined,
		);
		if (signal.aborted) {
			return;
		}

		if (result.answer !== startAnswer.started) {
			report('start-not-taken', {
				task: run.task, run: run.number, minion: id, answer: result.answer, detail: result.detail,
			});
		}

		if (result.refusal === refusal.fenced && sentToken < token) {
			dispatcher.handleStartAnswer(run, startAnswer.fencedOff);
			return;
		}

		if (result.refusal === refusal.fenced) {
			options.onFenced();
		}

		if (result.answer === startAnswer.unknown) {
			fenceOffUnanswered(sentToken);
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

	void runBackgroundLoop(`minion ${id}`, runPollLoop, {report, signal});
	return {
		address,
		token: () => token,
		start(run, task) {
			void sendStart(run, task);
		},
		stop(run) {
			void sendStop(run);
		},
		wake() {
			wake?.();
		},
	};
};
