/** Minions in memory, with faults, which count by themselves every task that they start. */
import {
	formatAttempt, waitUntil, type AttemptResult, type Clock, type Random,
} from 'chivestream-core';
import {type AttemptRequest} from 'chivestream-entry';
import {classifyExchange} from 'chivestream-minion';
import {type HostRun} from './host-run.js';
import {type Links, type Place} from './links.js';

/** How a minion behaves. */
export const minionMode = {
	normal: 'normal',
	/** Starts tasks and fails every one. */
	failing: 'failing',
	/** Starts tasks and never answers. */
	hanging: 'hanging',
	straggling: 'straggling',
	/** Answers with the answer to another attempt. */
	crossing: 'crossing',
	/** Answers a second time, in place of the answer to a later attempt. */
	repeating: 'repeating',
	/** Starts nothing and says so. */
	refusing: 'refusing',
	/** Takes no connection. */
	dead: 'dead',
} as const;

/** One of the modes. */
export type MinionMode = (typeof minionMode)[keyof typeof minionMode];

/** A minion. */
export type MemoryMinion = {
	place: Place;
	/** Run time over the declared one. */
	slowness: number;
	mode: MinionMode;
	running: number;
	/** The latest answer, which a faulty minion gives again. */
	previous?: MinionAnswer;
};

/** One start of a task. */
export type TaskStart = {
	minionId: string;
	hostId: string;
	at: number;
};

type MinionAnswer = {status: number; attempt: string; body: string};
type ExchangeEnd = Parameters<typeof classifyExchange>[0];

/** Judges how an exchange ended; a run may pass a careless one. */
export type Judge = typeof classifyExchange;

/** What the minions work with. */
export type MemoryMinionsOptions = {
	clock: Clock;
	random: Random;
	links: Links;
	minions: ReadonlyMap<string, MemoryMinion>;
	judge?: Judge;
};

/** The minions of a run. */
export type MemoryMinions = {
	/** Starts of each task, by `key/index`. */
	starts: Map<string, TaskStart[]>;
	runAttempt: (run: HostRun, from: Place, order: AttemptRequest) => Promise<AttemptResult>;
};

const slots = 8;
const failureMs = 5;
const stragglingFactor = 12;
const okStatus = 200;
const failedStatus = 500;
const refusedStatus = 503;
const brokenError = new Error('the connection broke');

/** Text form of a task in the counts of starts. */
export const formatTask = (key: string, taskIndex: number): string => `${key}/${taskIndex}`;

/** The result of a task; it tells the task's payload. */
export const resultOf = (payload: unknown): unknown => ({done: payload});

/** Minions of one run. */
export const createMemoryMinions = ({
	clock, random, links, minions, judge = classifyExchange,
}: MemoryMinionsOptions): MemoryMinions => {
	const starts = new Map<string, TaskStart[]>();

	const countStart = (order: AttemptRequest, minionId: string, hostId: string) => {
		const {key, taskIndex} = order.assignment.task;
		const name = formatTask(key, taskIndex);
		starts.set(name, [...starts.get(name) ?? [], {minionId, hostId, at: clock.now()}]);
	};

	const runMs = (minion: MemoryMinion, declaredMs: number) => {
		if (minion.mode === minionMode.failing) {
			return failureMs;
		}

		const factor = minion.mode === minionMode.straggling ? stragglingFactor : 1;
		return declaredMs * minion.slowness * factor * (0.5 + random());
	};

	const misplace = (minion: MemoryMinion, answer: MinionAnswer): MinionAnswer => {
		const {previous, mode} = minion;
		minion.previous = answer;
		const isMisplaced = mode === minionMode.crossing || (mode === minionMode.repeating && random() < 0.5);
		return isMisplaced && previous ? previous : answer;
	};

	const serve = async (minion: MemoryMinion, order: AttemptRequest, hostId: string): Promise<MinionAnswer | undefined> => {
		const {task} = order.assignment;
		const attempt = formatAttempt(task);
		if (minion.mode === minionMode.refusing || minion.running >= slots) {
			return {status: refusedStatus, attempt, body: '{}'};
		}

		countStart(order, minion.place.name, hostId);
		minion.running += 1;
		const isHanging = minion.mode === minionMode.hanging;
		await waitUntil(clock, clock.now() + runMs(minion, task.declaredMs));
		minion.running -= 1;
		if (isHanging || minion.mode === minionMode.dead) {
			return undefined;
		}

		const hasFailed = minion.mode === minionMode.failing;
		return misplace(minion, {
			status: hasFailed ? failedStatus : okStatus,
			attempt,
			body: JSON.stringify(hasFailed ? {error: 'failed'} : resultOf(order.task.payload)),
		});
	};

	const exchange = async (minion: MemoryMinion, run: HostRun, from: Place, order: AttemptRequest): Promise<ExchangeEnd | undefined> => {
		if (minion.mode === minionMode.dead) {
			return {
				kind: 'broken', isWritten: false, isAborted: false, error: brokenError,
			};
		}

		if (!await links.carry(from, minion.place)) {
			return undefined;
		}

		const answer = await serve(minion, order, run.hostId);
		if (!answer || links.losesAnswer() || !await links.carry(minion.place, from)) {
			return undefined;
		}

		return {
			kind: 'answered', status: answer.status, headers: {'chivestream-attempt': answer.attempt}, body: answer.body,
		};
	};

	return {
		starts,
		async runAttempt(run, from, order) {
			const {assignment, signal, notStartedStatuses} = order;
			const {key, taskIndex, attempt} = assignment.task;
			const minion = minions.get(assignment.targetId)!;
			const end = await new Promise<ExchangeEnd>(resolve => {
				signal.addEventListener('abort', () => {
					resolve({
						kind: 'broken', isWritten: true, isAborted: true, error: brokenError,
					});
				}, {once: true});
				void exchange(minion, run, from, order).then(result => {
					if (result) {
						run.enter(() => {
							resolve(result);
						});
					}
				});
			});
			return judge(end, {identity: {key, taskIndex, attempt}, minionId: assignment.targetId, notStartedStatuses});
		},
	};
};
