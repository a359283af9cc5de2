/** Assembles the scheduler of one entry host from the parts of this package. */
import {
	attemptOutcome, type Clock, type Configuration, type Preference, type Random,
} from 'chivestream-core';
import {admitJob} from './admission.js';
import {type JobGroup, type WaitingTask} from './fair-queue.js';
import {createHeap} from './heap.js';
import {createLendingDecisions} from './lending-decisions.js';
import {defaultLendingPolicies, type LendingPolicy} from './lending.js';
import {createObservationDecisions} from './observation-decisions.js';
import {createOutcomeRecorder} from './outcome.js';
import {
	selectFastestOrWait, type JobRanker, rankByProportionalWait, type TargetSelector,
} from './policies.js';
import {
	freeUnitsOfPool, taskResources, type Pool, refreshTarget, teamRetryBudget,
} from './pool.js';
import {creditFirstAttempt, tryConsumeRetry} from './retry-budget.js';
import {type Assignment, type QueuedTask, type Scheduler} from './scheduler.js';
import {createSchedulerState} from './scheduler-state.js';
import {allocateShares} from './share-allocation.js';
import {occupy, type Target, vacate} from './target.js';
import {viewTargets} from './target-view.js';

/** Dependencies and settings of a scheduler. */
export type SchedulerOptions = {
	clock: Clock;
	random: Random;
	/** Selects the target of a task. Default: `selectFastestOrWait`. */
	selectTarget?: TargetSelector;
	/** Ranks the jobs of a team. Default: `rankByProportionalWait`. */
	rankJob?: JobRanker;
	/** Lending policy for each preference of an upstream. Default: `defaultLendingPolicies`. */
	lendingPolicies?: Record<Preference, LendingPolicy>;
	/** How long slots that move to this host are withheld, in milliseconds. Default: `slotTransferHoldOffMs`. */
	slotTransferHoldOffMs?: number;
};

/**
Default time for which slots that move from one host to another are withheld, in milliseconds. Tasks of the previous host
may still run on them.
*/
export const slotTransferHoldOffMs = 3000;

/** Creates the scheduler of one entry host. Call `configure` before `admit`. */
export const createScheduler = (options: SchedulerOptions): Scheduler => {
	const {
		clock, random, selectTarget = selectFastestOrWait, rankJob = rankByProportionalWait, lendingPolicies = defaultLendingPolicies,
		slotTransferHoldOffMs: holdOffMs = slotTransferHoldOffMs,
	} = options;
	const state = createSchedulerState(clock, random);
	const {pools, activePools, getOrCreatePool, findTarget, refresh, scheduleRefresh, runDueRefreshes, nextRefreshAt} = state;
	const recordOutcome = createOutcomeRecorder(state);
	const running = new Set<Assignment>();
	const waitingByDeadline = createHeap<WaitingTask>((left, right) => left.task.deadline < right.task.deadline);
	let configuration: Configuration | undefined;
	let selfId = '';
	let nextSequence = 0;

	const dequeue = (pool: Pool, waiting: WaitingTask) => {
		pool.queue.remove(waiting);
		if (waiting.deadlineNode) {
			waitingByDeadline.remove(waiting.deadlineNode);
			waiting.deadlineNode = undefined;
		}

		waiting.group.waiting.delete(waiting);
		if (waiting.group.waiting.size === 0) {
			pool.groups.delete(waiting.group.key);
		}
	};

	const getOrCreateGroup = (pool: Pool, task: QueuedTask, longestTaskMs: number): JobGroup => {
		let group = pool.groups.get(task.key);
		if (!group) {
			const unrankedGroup = {
				key: task.key, waiting: new Set<WaitingTask>(), longestTaskMs, enqueuedAt: task.enqueuedAt, deadline: task.deadline,
			};
			group = {...unrankedGroup, rank: rankJob(unrankedGroup)};
			pool.groups.set(task.key, group);
		}

		return group;
	};

	const enqueue = (tasks: QueuedTask[]) => {
		const longestTaskMsByKey = new Map<string, number>();
		for (const task of tasks) {
			longestTaskMsByKey.set(task.key, Math.max(task.declaredMs, longestTaskMsByKey.get(task.key) ?? 0));
		}

		for (const task of tasks) {
			const pool = getOrCreatePool(task.upstream);
			const waiting: WaitingTask = {
				task, group: getOrCreateGroup(pool, task, longestTaskMsByKey.get(task.key)!), team: pool.queue.team(task.team), sequence: nextSequence++,
				queueNode: undefined, deadlineNode: undefined,
			};
			waiting.group.waiting.add(waiting);
			pool.queue.push(waiting);
			waiting.deadlineNode = waitingByDeadline.push(waiting);
			activePools.add(pool);
		}
	};

	const bind = (pool: Pool, waiting: WaitingTask, target: Target, now: number): Assignment => {
		const {task, team} = waiting;
		dequeue(pool, waiting);
		pool.queue.start(team);
		pool.running++;
		occupy(target, taskResources(task));
		refreshTarget(pool, target, now);
		if (task.attempt === 1) {
			creditFirstAttempt(teamRetryBudget(pool, task.team), configuration?.declarations.limits.retryRatio ?? 0);
		}

		const assignment: Assignment = {
			task, targetId: target.id, address: target.address, isWorker: target.isWorker, startedAt: now,
		};
		running.add(assignment);
		return assignment;
	};

	const bindNext = (pool: Pool, now: number): Assignment | undefined => {
		const waiting = pool.queue.peek();
		const target = waiting && selectTarget(pool, waiting, now);
		return target && bind(pool, waiting, target, now);
	};

	const retry = (pool: Pool, task: QueuedTask, now: number): boolean => {
		if (task.deadline <= now || !tryConsumeRetry(teamRetryBudget(pool, task.team))) {
			return false;
		}

		enqueue([{...task, attempt: task.attempt + 1}]);
		return true;
	};

	const scheduler: Scheduler = {
		configure(newConfiguration, zoneMembers) {
			const now = clock.now();
			const {declarations} = newConfiguration;
			const isFirstConfiguration = configuration === undefined;
			const isOnlyHost = zoneMembers.hostIds.length <= 1;
			configuration = newConfiguration;
			selfId = zoneMembers.selfId;
			const transfersAvailableAt = isFirstConfiguration && isOnlyHost ? now : now + holdOffMs;
			const allocationContext = {
				zoneMembers, drains: new Set(declarations.drains), now, transfersAvailableAt, holdOffMs,
			};
			for (const name of pools.keys()) {
				if (!Object.hasOwn(declarations.upstreams, name)) {
					allocateShares(getOrCreatePool(name), {...getOrCreatePool(name).declared, minions: [], workers: []}, allocationContext);
				}
			}

			for (const [name, upstream] of Object.entries(declarations.upstreams)) {
				const pool = getOrCreatePool(name);
				allocateShares(pool, upstream, allocationContext);
				for (const [team, {weight, maxTasksInFlight}] of Object.entries(declarations.teams)) {
					pool.queue.configureTeam(team, weight, Math.max(1, Math.floor(maxTasksInFlight / Math.max(1, zoneMembers.totalHosts))));
				}
			}

			for (const pool of pools.values()) {
				for (const target of pool.targets.values()) {
					refresh(pool, target, now);
					if (target.withheld.length > 0) {
						scheduleRefresh(pool, target, transfersAvailableAt);
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
			runDueRefreshes(now);
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
			vacate(target, taskResources(assignment.task));
			pool.running--;
			pool.queue.end(pool.queue.team(assignment.task.team));
			recordOutcome({
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
					dequeue(pool, waiting);
					cancelled.push(waiting.task);
				}
			}

			return cancelled;
		},
		expire() {
			const now = clock.now();
			const expired: QueuedTask[] = [];
			for (let waiting = waitingByDeadline.peek(); waiting && waiting.task.deadline <= now; waiting = waitingByDeadline.peek()) {
				dequeue(getOrCreatePool(waiting.task.upstream), waiting);
				expired.push(waiting.task);
			}

			return expired;
		},
		...createLendingDecisions(state, lendingPolicies, () => selfId),
		...createObservationDecisions(state),
		wakeAt: nextRefreshAt,
		idleSlots() {
			const now = clock.now();
			runDueRefreshes(now);
			return [...pools.values()].map(pool => ({upstream: pool.name, count: freeUnitsOfPool(pool, now)}));
		},
		targets: () => viewTargets(pools.values(), clock.now()),
		load: () => [...pools.values()].map(pool => ({upstream: pool.name, queued: pool.queue.size(), running: pool.running})),
	};
	return scheduler;
};
