/** One entry host's decisions, put together from the parts of this package. */
import {
	attemptOutcome, type Clock, type Configuration, type Preference, type Random,
} from 'chivestream-core';
import {admitJob} from './admission.js';
import {type JobGroup, type WaitingTask} from './fair-queue.js';
import {createHeap} from './heap.js';
import {createLendingDecisions} from './lending-decisions.js';
import {defaultLendingTerms, type LendingTerms} from './lending.js';
import {createObservationDecisions} from './observation-decisions.js';
import {createOutcomeLearner} from './outcome.js';
import {
	chooseFastestSoon, type JobOrder, orderByProportionalWait, type TargetChoice,
} from './policies.js';
import {
	freeUnitsOf, needOfTask, type Pool, refreshTarget, retryBudgetOf,
} from './pool.js';
import {earnRetry, spendRetry} from './retry-budget.js';
import {type Assignment, type QueuedTask, type Scheduler} from './scheduler.js';
import {createSchedulerState} from './scheduler-state.js';
import {shareOut} from './share-out.js';
import {occupy, type Target, vacate} from './target.js';
import {viewTargets} from './target-view.js';

/** What a scheduler is made of. */
export type SchedulerParts = {
	clock: Clock;
	random: Random;
	/** Picks the target of a task; the fastest or a faster one soon unless given. */
	chooseTarget?: TargetChoice;
	/** Orders the jobs of a team; by proportional wait unless given. */
	orderJob?: JobOrder;
	lendingTerms?: Record<Preference, LendingTerms>;
	/** How long slots that come from another host are left alone, in milliseconds. */
	takeoverHoldOffMs?: number;
};

/** How long slots that come from another host are left alone unless the parts say otherwise, in milliseconds. */
export const takeoverHoldOffMs = 3000;
/** Creates the decisions of one entry host. */
export const createScheduler = (parts: SchedulerParts): Scheduler => {
	const {
		clock, random, chooseTarget = chooseFastestSoon, orderJob = orderByProportionalWait, lendingTerms = defaultLendingTerms,
		takeoverHoldOffMs: holdOffMs = takeoverHoldOffMs,
	} = parts;
	const state = createSchedulerState(clock, random);
	const {pools, activePools, poolOf, findTarget, refresh, wakeTarget, processWakes, nextWakeAt} = state;
	const learn = createOutcomeLearner(state);
	const running = new Set<Assignment>();
	const expiries = createHeap<WaitingTask>((left, right) => left.task.deadline < right.task.deadline);
	let configuration: Configuration | undefined;
	let selfId = '';
	let sequence = 0;

	const unqueue = (pool: Pool, waiting: WaitingTask) => {
		pool.queue.remove(waiting);
		if (waiting.expiryNode) {
			expiries.remove(waiting.expiryNode);
			waiting.expiryNode = undefined;
		}

		waiting.group.waiting.delete(waiting);
		if (waiting.group.waiting.size === 0) {
			pool.groups.delete(waiting.group.key);
		}
	};

	const groupOf = (pool: Pool, task: QueuedTask, longestMs: number): JobGroup => {
		let group = pool.groups.get(task.key);
		if (!group) {
			const unordered = {
				key: task.key, waiting: new Set<WaitingTask>(), longestMs, enqueuedAt: task.enqueuedAt, deadline: task.deadline,
			};
			group = {...unordered, order: orderJob(unordered)};
			pool.groups.set(task.key, group);
		}

		return group;
	};

	const enqueue = (tasks: QueuedTask[]) => {
		const longest = new Map<string, number>();
		for (const task of tasks) {
			longest.set(task.key, Math.max(task.declaredMs, longest.get(task.key) ?? 0));
		}

		for (const task of tasks) {
			const pool = poolOf(task.upstream);
			const waiting: WaitingTask = {
				task, group: groupOf(pool, task, longest.get(task.key)!), team: pool.queue.team(task.team), sequence: sequence++,
				queueNode: undefined, expiryNode: undefined,
			};
			waiting.group.waiting.add(waiting);
			pool.queue.push(waiting);
			waiting.expiryNode = expiries.push(waiting);
			activePools.add(pool);
		}
	};

	const bind = (pool: Pool, waiting: WaitingTask, target: Target, now: number): Assignment => {
		const {task, team} = waiting;
		unqueue(pool, waiting);
		pool.queue.start(team);
		pool.running++;
		occupy(target, needOfTask(task));
		refreshTarget(pool, target, now);
		if (task.attempt === 1) {
			earnRetry(retryBudgetOf(pool, task.team), configuration?.declarations.limits.retryRatio ?? 0);
		}

		const assignment: Assignment = {
			task, targetId: target.id, address: target.address, isWorker: target.isWorker, startedAt: now,
		};
		running.add(assignment);
		return assignment;
	};

	const bindNext = (pool: Pool, now: number): Assignment | undefined => {
		const waiting = pool.queue.peek();
		const target = waiting && chooseTarget(pool, waiting, now);
		return target && bind(pool, waiting, target, now);
	};

	const retry = (pool: Pool, task: QueuedTask, now: number): boolean => {
		if (task.deadline <= now || !spendRetry(retryBudgetOf(pool, task.team))) {
			return false;
		}

		enqueue([{...task, attempt: task.attempt + 1}]);
		return true;
	};

	const scheduler: Scheduler = {
		configure(accepted, sharers) {
			const now = clock.now();
			const {declarations} = accepted;
			const isFirst = configuration === undefined;
			const isAlone = sharers.hostIds.length <= 1;
			configuration = accepted;
			selfId = sharers.selfId;
			const takeoverUntil = isFirst && isAlone ? now : now + holdOffMs;
			const change = {
				sharers, drains: new Set(declarations.drains), now, takeoverUntil, holdOffMs,
			};
			for (const name of pools.keys()) {
				if (!Object.hasOwn(declarations.upstreams, name)) {
					shareOut(poolOf(name), {...poolOf(name).declared, minions: [], workers: []}, change);
				}
			}

			for (const [name, upstream] of Object.entries(declarations.upstreams)) {
				const pool = poolOf(name);
				shareOut(pool, upstream, change);
				for (const [team, {weight, maxTasksInFlight}] of Object.entries(declarations.teams)) {
					pool.queue.setShare(team, weight, Math.max(1, Math.floor(maxTasksInFlight / Math.max(1, sharers.totalHosts))));
				}
			}

			for (const pool of pools.values()) {
				for (const target of pool.targets.values()) {
					refresh(pool, target, now);
					if (target.takeovers.length > 0) {
						wakeTarget(pool, target, takeoverUntil);
					}
				}
			}
		},
		admit(job) {
			if (!configuration) {
				throw new Error('configure the scheduler before jobs are admitted');
			}

			return admitJob(job, configuration, pools.get(job.upstream), clock.now());
		},
		enqueue,
		next() {
			const now = clock.now();
			processWakes(now);
			for (const pool of activePools) {
				const assignment = bindNext(pool, now);
				if (assignment) {
					return assignment;
				}

				activePools.delete(pool);
			}

			return undefined;
		},
		settle(assignment, result) {
			const now = clock.now();
			const found = findTarget(assignment.task.upstream, assignment.targetId);
			if (!running.delete(assignment) || !found) {
				return {isRetried: false};
			}

			const {pool, target} = found;
			vacate(target, needOfTask(assignment.task));
			pool.running--;
			pool.queue.end(pool.queue.team(assignment.task.team));
			learn({
				pool, target, assignment, result,
			});
			refresh(pool, target, now);
			activePools.add(pool);
			return {isRetried: result.outcome === attemptOutcome.notStarted && retry(pool, assignment.task, now)};
		},
		cancel(key) {
			const cancelled: QueuedTask[] = [];
			for (const pool of pools.values()) {
				for (const waiting of pool.groups.get(key)?.waiting ?? []) {
					unqueue(pool, waiting);
					cancelled.push(waiting.task);
				}
			}

			return cancelled;
		},
		expire() {
			const now = clock.now();
			const expired: QueuedTask[] = [];
			for (let waiting = expiries.peek(); waiting && waiting.task.deadline <= now; waiting = expiries.peek()) {
				unqueue(poolOf(waiting.task.upstream), waiting);
				expired.push(waiting.task);
			}

			return expired;
		},
		...createLendingDecisions(state, lendingTerms, () => selfId),
		...createObservationDecisions(state),
		wakeAt: nextWakeAt,
		idleSlots() {
			const now = clock.now();
			processWakes(now);
			return [...pools.values()].map(pool => ({upstream: pool.name, count: freeUnitsOf(pool, now)}));
		},
		targets: () => viewTargets(pools.values(), clock.now()),
		load: () => [...pools.values()].map(pool => ({upstream: pool.name, queued: pool.queue.size(), running: pool.running})),
	};
	return scheduler;
};
