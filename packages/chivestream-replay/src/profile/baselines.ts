/** Baselines: each entry host picks a minion alone and tries again elsewhere when it is refused. */
import {
	attemptOutcome, type Clock, pickRandom, type Random,
} from 'chivestream-core';
import {
	type Assignment, createHeap, type QueuedTask, type Scheduler,
} from 'chivestream-placement';
import {Ok} from 'ts-results-es';

/** A minion as a baseline sees it: what this host has outstanding there. */
export type BaselineTarget = {
	id: string;
	address: string;
	slots: number;
	outstanding: number;
};

/** Picks one of the minions that are not full as far as this host knows. */
export type BaselineChoice = (targets: readonly BaselineTarget[], random: Random, round: number) => BaselineTarget;

/** Any minion. */
export const chooseRandom: BaselineChoice = (targets, random) => pickRandom(random, targets);

/** Each minion in turn. */
export const chooseInTurn: BaselineChoice = (targets, _random, round) => targets[round % targets.length]!;

/** The one with less outstanding of two random minions. */
export const chooseOfTwo: BaselineChoice = (targets, random) => {
	const first = pickRandom(random, targets);
	const second = pickRandom(random, targets);
	return first.outstanding <= second.outstanding ? first : second;
};

type Waiting = {
	task: QueuedTask;
	readyAt: number;
};

const firstBackoffMs = 5;
const longestBackoffMs = 640;

const doNothing = () => undefined;

/** A scheduler that knows only its own outstanding tasks. */
export const createBaselineScheduler = (clock: Clock, random: Random, choose: BaselineChoice): Scheduler => {
	let targets: BaselineTarget[] = [];
	let round = 0;
	const cancelled = new Set<string>();
	const waiting = createHeap<Waiting>((left, right) => left.readyAt < right.readyAt);

	const bind = ({task}: Waiting, target: BaselineTarget): Assignment => {
		target.outstanding++;
		return {
			task, targetId: target.id, address: target.address, isWorker: false, startedAt: clock.now(),
		};
	};

	return {
		configure({declarations}, {zone}) {
			targets = Object.values(declarations.upstreams)
				.flatMap(upstream => upstream.minions)
				.filter(minion => minion.zone === zone)
				.map(minion => ({...minion, outstanding: targets.find(({id}) => id === minion.id)?.outstanding ?? 0}));
		},
		admit: () => new Ok(undefined),
		enqueue(tasks) {
			for (const task of tasks) {
				waiting.push({task, readyAt: clock.now()});
			}
		},
		next() {
			const open = targets.filter(({outstanding, slots}) => outstanding < slots);
			for (let first = waiting.peek(); first && first.readyAt <= clock.now() && open.length > 0; first = waiting.peek()) {
				waiting.pop();
				if (!cancelled.has(first.task.key)) {
					return bind(first, choose(open, random, round++));
				}
			}

			return undefined;
		},
		settle({task, targetId}, {outcome}) {
			targets.find(({id}) => id === targetId)!.outstanding--;
			const isRetried = outcome === attemptOutcome.notStarted && task.deadline > clock.now() && !cancelled.has(task.key);
			if (isRetried) {
				const backoffMs = Math.min(longestBackoffMs, firstBackoffMs * (2 ** (task.attempt - 1)));
				waiting.push({task: {...task, attempt: task.attempt + 1}, readyAt: clock.now() + (backoffMs * (0.5 + random()))});
			}

			return {isRetried};
		},
		cancel(key) {
			cancelled.add(key);
			return [];
		},
		expire: () => [],
		demand: () => [],
		lend: () => [],
		borrow: doNothing,
		releaseIdle: () => [],
		reclaim: doNothing,
		dueExtensions: () => [],
		extend: () => [],
		wakeAt() {
			const readyAt = waiting.peek()?.readyAt;
			return readyAt !== undefined && readyAt > clock.now() ? readyAt : undefined;
		},
		idleSlots: () => [],
		observations: () => [],
		applyObservations: doNothing,
		targets: () => [],
		load: () => [],
	};
};
