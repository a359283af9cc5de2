/** The task for one minion: renews its lease, takes in what has ended there, and carries orders to it. */
/* eslint-disable no-await-in-loop -- a task takes one step after the other */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	runKey, startAnswer, type Dispatcher, type Minion, type Run, type Task,
} from 'chivestream-dispatch';
import {createMinionClient, refusal, type MinionClient} from 'chivestream-platform';
import {type Report} from './host-log.js';

/** What a minion's task needs. */
export type MinionTaskOptions = {
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
	noteFenced: () => void;
	signal: AbortSignal;
};

/** Orders for one minion. */
export type MinionTask = {
	start: (run: Run, task: Task) => void;
	stop: (run: Run) => void;
	/** The address at which it reaches the minion. */
	address: string;
};

/** How long a minion waits for an end before it answers, in milliseconds: leases are renewed several times in their length. */
const holdWaitMs = 300;

/** How long an answer may take beyond that, in milliseconds: many round trips, and well within the lease. */
const answerMs = 150;

/** Pause after a call without success, in milliseconds. */
const retryPauseMs = 100;

/** How long an idle minion is left alone, in milliseconds. */
const idleLookMs = 1500;

/** A minion's clock may run slow by 2%; twice that is allowed for. */
const leaseDrift = 1.04;

/** Time for an order on its way, in milliseconds. */
const flightMs = 50;

/** Starts the task; it ends with the signal. */
export const runMinionTask = (options: MinionTaskOptions): MinionTask => {
	const {minion, dispatcher, leaseMs, now, report, signal} = options;
	const {id, address} = minion.record;
	const client: MinionClient = createMinionClient(id, address);
	let minionClock: {at: number; time: number} | undefined;
	let {bornAt} = minion.record;
	let {token} = options;
	let endCursor = 0;
	let leaseSentAt = Number.NEGATIVE_INFINITY;
	let wake: (() => void) | undefined;

	const leaseDeadline = (): number | undefined =>
		minionClock === undefined ? undefined : Math.round(minionClock.time + (now() - minionClock.at) + leaseMs);

	/** Asks once; whether the minion answered. */
	const ask = async (waitMs: number, isRenewal: boolean, isRepeated: boolean): Promise<boolean> => {
		const askedAt = now();
		const deadline = isRenewal ? leaseDeadline() : undefined;
		if (deadline !== undefined) {
			leaseSentAt = askedAt;
		}

		const result = await client.hold({
			token, acknowledgedCursor: endCursor, waitMs, leaseDeadline: deadline,
		}, waitMs + answerMs);
		if (signal.aborted) {
			return false;
		}

		if (result.isErr()) {
			if (result.error === refusal.fenced) {
				options.noteFenced();
			} else if (isRepeated) {
				return false;
			} else if (minion.isReachable) {
				const reason = result.error instanceof Error ? result.error.message : result.error;
				report('minion-unreachable', {minion: id, reason});
			}

			dispatcher.noteUnreachable(minion);
			return false;
		}

		const held = result.value;
		if (held.bornAt !== bornAt) {
			// The ends of a new lifetime are numbered anew. A higher token keeps out orders to the lifetime before that are still
			// on their way.
			token += bornAt > 0 ? 1 : 0;
			bornAt = held.bornAt;
			endCursor = 0;
			dispatcher.noteLifetime(minion, bornAt);
		}

		if (!minion.isReachable) {
			report('minion-reached', {minion: id});
		}

		minionClock = {at: now(), time: held.minionTime};
		dispatcher.noteReport(minion, {askedAt, running: held.running, ended: held.ended});
		endCursor = Math.max(endCursor, ...held.ended.map(end => end.cursor));
		return true;
	};

	/** Asks, and once more at once where no answer comes: single answers get lost. Whether the minion answered. */
	const look = async (waitMs: number, isRenewal: boolean): Promise<boolean> =>
		await ask(waitMs, isRenewal, minion.isReachable) || (minion.isReachable && !signal.aborted && ask(0, false, false));

	const rest = async (ms: number) => new Promise<void>(resolve => {
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
				await rest(idleLookMs);
				if (signal.aborted) {
					break;
				}
			}

			const isAnswered = await look(minion.isSynced && minion.runs.size > 0 ? holdWaitMs : 0, minion.isReachable);
			if (!isAnswered && !signal.aborted) {
				if (now() > leaseSentAt + (leaseMs * leaseDrift) + flightMs) {
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
		}, answerMs);
		if (signal.aborted) {
			return;
		}

		if (result.answer !== startAnswer.started) {
			report('start-not-taken', {
				task: run.task, run: run.number, minion: id, answer: result.answer, detail: result.detail,
			});
		}

		if (result.refusal === refusal.fenced) {
			options.noteFenced();
		}

		dispatcher.noteStart(run, result.answer);
		if (result.answer === startAnswer.unknown) {
			await look(0, false);
		}
	};

	const sendStop = async (run: Run) => {
		while (!signal.aborted && minion.runs.has(runKey(run.task, run.number))) {
			const result = await client.stop(run.task, run.number, token, answerMs);
			if (result.isOk()) {
				dispatcher.noteStop(run);
				// A minion takes a moment to stop a run; the look after it tells whether its room is free.
				await sleep(flightMs);
				if (!signal.aborted && minion.runs.has(runKey(run.task, run.number))) {
					await look(0, minion.isReachable);
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
