/** The task for one minion: renews its lease, takes in what has ended there, and carries orders to it. */
/* eslint-disable no-await-in-loop -- a task takes one step after the other */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	runKey, startAnswer, type Dispatcher, type Minion, type Run, type Task,
} from 'chivestream-dispatch';
import {openMinion, refusal, type MinionClient} from 'chivestream-platform';
import {type Report} from './host-log.js';

/** What a minion's task needs. */
export type MinionSessionOptions = {
	minion: Minion;
	dispatcher: Dispatcher;
	/** Token of the first lifetime; each later one that is met takes the next. */
	token: number;
	/** Longest lease that a minion grants, in milliseconds. */
	leaseMs: number;
	/** The steady clock, in milliseconds. */
	now: () => number;
	report: Report;
	/** Another dispatcher has shown the minion a higher token. */
	onFenced: () => void;
	signal: AbortSignal;
};

/** Orders for one minion. */
export type MinionSession = {
	start: (run: Run, task: Task) => void;
	stop: (run: Run) => void;
	/** The address at which it reaches the minion. */
	address: string;
};

/** How long a minion waits for an end before it answers, in milliseconds: leases are renewed several times in their length. */
const holdWaitMs = 300;

/** How long an answer may take beyond that, in milliseconds: many round trips, and well within the lease. */
const answerTimeoutMs = 150;

/** Pause after a call without success, in milliseconds. */
const retryPauseMs = 100;

/** How long an idle minion is left alone, in milliseconds. */
const idlePollMs = 1500;

/** A minion's clock may run slow by 2%; twice that is allowed for. */
const leaseDriftFactor = 1.04;

/** Time for an order on its way, in milliseconds. */
const deliveryMs = 50;

/** Starts the task; it ends with the signal. */
export const runMinionSession = (options: MinionSessionOptions): MinionSession => {
	const {minion, dispatcher, leaseMs, now, report, signal} = options;
	const {id, address} = minion.record;
	const client: MinionClient = openMinion(id, address);
	let minionClock: {at: number; time: number} | undefined;
	let {bornAt} = minion.record;
	let {token} = options;
	let endCursor = 0;
	let leaseSentAt = Number.NEGATIVE_INFINITY;
	let wake: (() => void) | undefined;

	const leaseDeadline = (): number | undefined =>
		minionClock === undefined ? undefined : Math.round(minionClock.time + (now() - minionClock.at) + leaseMs);

	/** Asks once; whether the minion answered. */
	const pollOnce = async (waitMs: number, renewsLease: boolean, willRetry: boolean): Promise<boolean> => {
		const sentAt = now();
		const deadline = renewsLease ? leaseDeadline() : undefined;
		if (deadline !== undefined) {
			leaseSentAt = sentAt;
		}

		const result = await client.hold({
			token, endCursor, waitMs, leaseDeadline: deadline,
		}, waitMs + answerTimeoutMs);
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

			dispatcher.noteUnreachable(minion);
			return false;
		}

		const response = result.value;
		if (response.bornAt !== bornAt) {
			// The ends of a new lifetime are numbered anew. A higher token keeps out orders to the lifetime before that are still
			// on their way.
			token += bornAt > 0 ? 1 : 0;
			bornAt = response.bornAt;
			endCursor = 0;
			dispatcher.noteLifetime(minion, bornAt);
		}

		if (!minion.isReachable) {
			report('minion-reached', {minion: id});
		}

		minionClock = {at: now(), time: response.minionTime};
		dispatcher.noteReport(minion, {askedAt: sentAt, running: response.running, ended: response.ended});
		endCursor = Math.max(endCursor, ...response.ended.map(end => end.cursor));
		return true;
	};

	/** Asks, and once more at once where no answer comes: single answers get lost. Whether the minion answered. */
	const poll = async (waitMs: number, renewsLease: boolean): Promise<boolean> =>
		await pollOnce(waitMs, renewsLease, minion.isReachable) || (minion.isReachable && !signal.aborted && pollOnce(0, false, false));

	const sleepUntilWoken = async (ms: number) => new Promise<void>(resolve => {
		const timer = setTimeout(resolve, ms);
		wake = () => {
			clearTimeout(timer);
			resolve();
		};
	});

	const watch = async () => {
		while (!signal.aborted) {
			if (minion.isSynced && minion.isReachable && minion.runs.size === 0) {
				// The last ends are acknowledged with the look that follows, within the time that the platform allows.
				await sleepUntilWoken(idlePollMs);
				if (signal.aborted) {
					break;
				}
			}

			const hasAnswered = await poll(minion.isSynced && minion.runs.size > 0 ? holdWaitMs : 0, minion.isReachable);
			if (!hasAnswered && !signal.aborted) {
				if (now() > leaseSentAt + (leaseMs * leaseDriftFactor) + deliveryMs) {
					dispatcher.noteLapsed(minion);
				}

				await sleep(retryPauseMs);
			}
		}

		client.close();
	};

	const sendStart = async (run: Run, task: Task) => {
		const deadline = leaseDeadline();
		if (deadline === undefined) {
			dispatcher.noteStart(run, startAnswer.refused);
			return;
		}

		leaseSentAt = now();
		wake?.();
		const result = await client.start({
			task: run.task, number: run.number, payload: task.job.request.payload, token, leaseDeadline: deadline,
		}, answerTimeoutMs);
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

		dispatcher.noteStart(run, result.answer);
		if (result.answer === startAnswer.unknown) {
			await poll(0, false);
		}
	};

	const sendStop = async (run: Run) => {
		while (!signal.aborted && minion.runs.has(runKey(run.task, run.number))) {
			const result = await client.stop(run.task, run.number, token, answerTimeoutMs);
			if (result.isOk()) {
				dispatcher.noteStop(run);
				// A minion takes a moment to stop a run; the look after it tells whether its room is free.
				await sleep(deliveryMs);
				if (!signal.aborted && minion.runs.has(runKey(run.task, run.number))) {
					await poll(0, minion.isReachable);
				}

				return;
			}

			await sleep(retryPauseMs);
		}
	};

	void watch();
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
