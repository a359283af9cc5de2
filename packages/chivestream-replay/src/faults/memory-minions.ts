/** In-memory minions with faults. They record every start of a task independently of the hosts. */
import {
	formatAttempt, waitUntil, type AttemptResult, type Clock, type Random,
} from 'chivestream-core';
import {type AttemptRequest} from 'chivestream-entry';
import {classifyExchange} from 'chivestream-minion';
import {type HostProcess} from './host-process.js';
import {type Links, type Endpoint} from './links.js';

/** Behaviours of a minion. */
export const minionMode = {
	normal: 'normal',
	/** Starts tasks and answers each with a failure. */
	failing: 'failing',
	/** Starts tasks and never answers. */
	hanging: 'hanging',
	straggling: 'straggling',
	/** Sends the answer to the previous attempt instead of the current one. */
	crossing: 'crossing',
	/** Sends the answer to the previous attempt again in half of the cases. */
	repeating: 'repeating',
	/** Refuses every task without starting it. */
	refusing: 'refusing',
	/** Accepts no connection. */
	dead: 'dead',
} as const;

/** Behaviour of a minion. */
export type MinionMode = (typeof minionMode)[keyof typeof minionMode];

/** State of a minion. */
export type MemoryMinion = {
	endpoint: Endpoint;
	/** Run time of a task over its declared time. */
	slowness: number;
	mode: MinionMode;
	/** Number of tasks that run now. */
	running: number;
	/** The latest answer, which a faulty minion sends again. */
	previous?: MinionAnswer;
};

/** One start of a task. */
export type TaskStart = {
	minionId: string;
	/** Host that started it. */
	hostId: string;
	/** In milliseconds of the run's clock. */
	at: number;
};

type MinionAnswer = {status: number; attempt: string; body: string};
type ExchangeEnd = Parameters<typeof classifyExchange>[0];

/** Derives the result of an attempt from the end of its exchange. */
export type ExchangeClassifier = typeof classifyExchange;

/** Dependencies of the minions. */
export type MemoryMinionsOptions = {
	clock: Clock;
	random: Random;
	links: Links;
	minions: ReadonlyMap<string, MemoryMinion>;
	/** Defaults to the product's own; replaced to disable a safeguard. */
	classifyEnd?: ExchangeClassifier;
};

/** The minions of a run. */
export type MemoryMinions = {
	/** Starts of each task, by `key/index`. */
	starts: Map<string, TaskStart[]>;
	runAttempt: (process: HostProcess, from: Endpoint, order: AttemptRequest) => Promise<AttemptResult>;
};

const slots = 8;
const failingTaskMs = 5;
const stragglerSlowdown = 12;
const okStatus = 200;
const failedStatus = 500;
const refusedStatus = 503;
const brokenError = new Error('the connection broke');

/** Key of a task in the record of starts. */
export const formatTask = (key: string, taskIndex: number): string => `${key}/${taskIndex}`;

/** The result of a task; it contains the payload, so that swapped results can be detected. */
export const expectedResult = (payload: unknown): unknown => ({done: payload});

/** Creates the minions of one run. */
export const createMemoryMinions = ({
	clock, random, links, minions, classifyEnd = classifyExchange,
}: MemoryMinionsOptions): MemoryMinions => {
	const starts = new Map<string, TaskStart[]>();

	const recordStart = (order: AttemptRequest, minionId: string, hostId: string) => {
		const {key, taskIndex} = order.assignment.task;
		const taskName = formatTask(key, taskIndex);
		starts.set(taskName, [...starts.get(taskName) ?? [], {minionId, hostId, at: clock.now()}]);
	};

	const runMs = (minion: MemoryMinion, declaredMs: number) => {
		if (minion.mode === minionMode.failing) {
			return failingTaskMs;
		}

		const factor = minion.mode === minionMode.straggling ? stragglerSlowdown : 1;
		return declaredMs * minion.slowness * factor * (0.5 + random());
	};

	const chooseAnswer = (minion: MemoryMinion, answer: MinionAnswer): MinionAnswer => {
		const {previous, mode} = minion;
		minion.previous = answer;
		const repeatsPrevious = mode === minionMode.crossing || (mode === minionMode.repeating && random() < 0.5);
		return repeatsPrevious && previous ? previous : answer;
	};

	const serve = async (minion: MemoryMinion, order: AttemptRequest, hostId: string): Promise<MinionAnswer | undefined> => {
		const {task} = order.assignment;
		const attempt = formatAttempt(task);
		if (minion.mode === minionMode.refusing || minion.running >= slots) {
			return {status: refusedStatus, attempt, body: '{}'};
		}

		recordStart(order, minion.endpoint.name, hostId);
		minion.running += 1;
		const isHanging = minion.mode === minionMode.hanging;
		await waitUntil(clock, clock.now() + runMs(minion, task.declaredMs));
		minion.running -= 1;
		if (isHanging || minion.mode === minionMode.dead) {
			return undefined;
		}

		const hasFailed = minion.mode === minionMode.failing;
		return chooseAnswer(minion, {
			status: hasFailed ? failedStatus : okStatus,
			attempt,
			body: JSON.stringify(hasFailed ? {error: 'failed'} : expectedResult(order.task.payload)),
		});
	};

	const exchange = async (minion: MemoryMinion, process: HostProcess, from: Endpoint, order: AttemptRequest): Promise<ExchangeEnd | undefined> => {
		if (minion.mode === minionMode.dead) {
			return {
				kind: 'broken', isWritten: false, isAborted: false, error: brokenError,
			};
		}

		if (!await links.transmit(from, minion.endpoint)) {
			return undefined;
		}

		const answer = await serve(minion, order, process.hostId);
		if (!answer || links.losesAnswer() || !await links.transmit(minion.endpoint, from)) {
			return undefined;
		}

		return {
			kind: 'answered', status: answer.status, headers: {'chivestream-attempt': answer.attempt}, body: answer.body,
		};
	};

	return {
		starts,
		async runAttempt(process, from, order) {
			const {assignment, signal, notStartedStatuses} = order;
			const {key, taskIndex, attempt} = assignment.task;
			const minion = minions.get(assignment.targetId)!;
			const end = await new Promise<ExchangeEnd>(resolve => {
				signal.addEventListener('abort', () => {
					resolve({
						kind: 'broken', isWritten: true, isAborted: true, error: brokenError,
					});
				}, {once: true});
				void exchange(minion, process, from, order).then(result => {
					if (result) {
						process.runWhenActive(() => {
							resolve(result);
						});
					}
				});
			});
			return classifyEnd(end, {identity: {key, taskIndex, attempt}, minionId: assignment.targetId, notStartedStatuses});
		},
	};
};
