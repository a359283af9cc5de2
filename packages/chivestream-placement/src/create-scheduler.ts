/** One entry host's decisions, put together from the parts of this package. */
import {
	type AttemptResult, attemptOutcome, type Clock, type Configuration, failureCode, type Preference, type Random,
} from 'chivestream-core';
import {admitJob} from './admission.js';
import {type JobGroup, type WaitingTask} from './fair-queue.js';
import {createHeap} from './heap.js';
import {
	acceptGrant, bindMarginMs, defaultLendingTerms, demandOf, dropLapsed, grantsToExtend, type LendingTerms, lendSlots, takeIdleGrants,
} from './lending.js';
import {
	chooseFastestSoon, type JobOrder, orderByProportionalWait, type TargetChoice,
} from './policies.js';
import {
	calibrationOf, createPool, freeUnitsOf, needOfTask, type Pool, refreshTarget, retryBudgetOf,
} from './pool.js';
import {
	isQuarantined, quarantine, recordFailure, recordSuccess,
} from './quarantine.js';
import {earnRetry, spendRetry} from './retry-budget.js';
import {
	type Assignment, type QueuedTask, type Scheduler, type SlotGrant,
} from './scheduler.js';
import {shareOut} from './share-out.js';
import {estimateOf, learnLogarithm, logarithmOfRatio} from './speed.js';
import {
	needOn, occupy, type Target, vacate,
} from './target.js';
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

type Wake = {
	at: number;
	pool: Pool;
	target: Target;
};

const defaultTakeoverHoldOffMs = 3000;
const refusalBackoffMs = 25;
const drainingBackoffMs = 2000;
const samplesToTrust = 3;
const gossipGain = 0.3;
const meanWorkGain = 0.02;
const noticeableChange = 0.15;
const unknownHoldOffMs = 3000;

const groupByLender = (entries: Array<{lenderId: string; grant: SlotGrant}>): Array<{lenderId: string; grants: SlotGrant[]}> => {
	const byLender = new Map<string, SlotGrant[]>();
	for (const {lenderId, grant} of entries) {
		const grants = byLender.get(lenderId) ?? [];
		grants.push(grant);
		byLender.set(lenderId, grants);
	}

	return [...byLender].map(([lenderId, grants]) => ({lenderId, grants}));
};

/** Creates the decisions of one entry host. */
export const createScheduler = (parts: SchedulerParts): Scheduler => {
	const {
		clock, random, chooseTarget = chooseFastestSoon, orderJob = orderByProportionalWait, lendingTerms = defaultLendingTerms,
		takeoverHoldOffMs = defaultTakeoverHoldOffMs,
	} = parts;
	const pools = new Map<string, Pool>();
	/** Pools that may be able to bind a task. */
	const activePools = new Set<Pool>();
	const running = new Set<Assignment>();
	const wakes = createHeap<Wake>((left, right) => left.at < right.at);
	const expiries = createHeap<WaitingTask>((left, right) => left.task.deadline < right.task.deadline);
	const reported = new Map<string, number>();
	let configuration: Configuration | undefined;
	let selfId = '';
	let sequence = 0;
	let grantCount = 0;

	const nextGrantId = () => {
		grantCount++;
		return `${selfId}/${grantCount}`;
	};

	const refresh = (pool: Pool, target: Target, now: number) => {
		refreshTarget(pool, target, now);
		if (target.bucket >= 0) {
			activePools.add(pool);
		}
	};

	const wakeTarget = (pool: Pool, target: Target, at: number) => {
		wakes.push({at, pool, target});
	};

	const processWakes = (now: number) => {
		for (let wake = wakes.peek(); wake && wake.at <= now; wake = wakes.peek()) {
			wakes.pop();
			dropLapsed(wake.target, now);
			wake.target.takeovers = wake.target.takeovers.filter(({availableAt}) => availableAt > now);
			refresh(wake.pool, wake.target, now);
		}
	};

	const findTarget = (upstream: string, targetId: string): {pool: Pool; target: Target} | undefined => {
		const pool = pools.get(upstream);
		const target = pool?.targets.get(targetId);
		return pool && target ? {pool, target} : undefined;
	};

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

	const poolOf = (upstream: string): Pool => {
		let pool = pools.get(upstream);
		if (!pool) {
			pool = createPool(upstream, {
				minions: [], workers: [], notStartedStatuses: [], preference: 'response-time',
			}, random);
			pools.set(upstream, pool);
		}

		return pool;
	};

	const groupOf = (pool: Pool, task: QueuedTask, longestMs: number): JobGroup => {
		let group = pool.groups.get(task.key);
		if (!group) {
			const unordered = {
				key: task.key, waiting: new Set<WaitingTask>(), longestMs, enqueuedAt: task.enqueuedAt,
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

	const learnRunTime = (pool: Pool, target: Target, assignment: Assignment, now: number) => {
		const calibration = calibrationOf(pool, assignment.task.team);
		const ratio = logarithmOfRatio(now - assignment.startedAt, assignment.task.declaredMs);
		const targetSample = ratio - calibration.value;
		const teamSample = ratio - target.slowness.value;
		learnLogarithm(target.slowness, targetSample);
		learnLogarithm(calibration, teamSample);
		const workMs = (now - assignment.startedAt) / estimateOf(target.slowness);
		pool.meanWorkMs += meanWorkGain * (workMs - pool.meanWorkMs);
	};

	const failTarget = (pool: Pool, target: Target, key: string, now: number) => {
		recordFailure(target.health, key, now);
		if (isQuarantined(target.health, now)) {
			wakeTarget(pool, target, target.health.quarantinedUntil);
		}
	};

	const backOff = (pool: Pool, target: Target, untilMs: number) => {
		target.backoffUntil = Math.max(target.backoffUntil, untilMs);
		wakeTarget(pool, target, target.backoffUntil);
	};

	const learn = (pool: Pool, target: Target, assignment: Assignment, result: AttemptResult, now: number) => {
		if (result.outcome === attemptOutcome.answered && result.isSuccess) {
			recordSuccess(target.health);
			learnRunTime(pool, target, assignment, now);
			return;
		}

		// An attempt that was withdrawn before it was sent says nothing about the target.
		if (result.outcome === attemptOutcome.notStarted && result.failure.code === failureCode.cancelled) {
			return;
		}

		if (result.outcome === attemptOutcome.unknown) {
			// The task may still run: its slot is not free yet.
			target.takeovers.push({count: needOn(target, needOfTask(assignment.task)).units, availableAt: now + unknownHoldOffMs});
			wakeTarget(pool, target, now + unknownHoldOffMs);
		}

		if (result.outcome !== attemptOutcome.notStarted || result.failure.code === failureCode.connectionFailed || result.failure.code === failureCode.timedOut) {
			failTarget(pool, target, assignment.task.key, now);
			return;
		}

		const backoffMs = result.failure.code === failureCode.draining ? drainingBackoffMs : refusalBackoffMs * (0.5 + random());
		backOff(pool, target, now + backoffMs);
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
			const takeoverUntil = isFirst && isAlone ? now : now + takeoverHoldOffMs;
			const change = {
				sharers, drains: new Set(declarations.drains), now, takeoverUntil,
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
			learn(pool, target, assignment, result, now);
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
		demand() {
			const now = clock.now();
			processWakes(now);
			return [...pools.values()].flatMap(pool => demandOf(pool, lendingTerms[pool.declared.preference], now) ?? []);
		},
		lend(borrowerId, {upstream, count}) {
			const now = clock.now();
			processWakes(now);
			const pool = pools.get(upstream);
			if (!pool) {
				return [];
			}

			const grants = lendSlots(pool, borrowerId, count, lendingTerms[pool.declared.preference], now, nextGrantId);
			for (const grant of grants) {
				wakeTarget(pool, pool.targets.get(grant.targetId)!, grant.deadline);
			}

			return grants;
		},
		borrow(lenderId, grants) {
			const now = clock.now();
			for (const grant of grants) {
				const pool = poolOf(grant.upstream);
				const target = acceptGrant(pool, lenderId, grant, now);
				if (target) {
					wakeTarget(pool, target, grant.deadline - bindMarginMs);
					wakeTarget(pool, target, grant.deadline);
					activePools.add(pool);
				}
			}
		},
		releaseIdle() {
			const now = clock.now();
			return groupByLender([...pools.values()].flatMap(pool => takeIdleGrants(pool, lendingTerms[pool.declared.preference].smallestRestMs, now)));
		},
		reclaim(borrowerId, grants) {
			const now = clock.now();
			for (const {upstream, targetId, grantId} of grants) {
				const found = findTarget(upstream, targetId);
				if (found?.target.loans.get(grantId)?.borrowerId === borrowerId) {
					found.target.loans.delete(grantId);
					refresh(found.pool, found.target, now);
				}
			}
		},
		renewals() {
			const now = clock.now();
			return groupByLender([...pools.values()].flatMap(pool => grantsToExtend(pool, lendingTerms[pool.declared.preference], now)));
		},
		extend(borrowerId, grants) {
			const accepted: SlotGrant[] = [];
			for (const grant of grants) {
				const found = findTarget(grant.upstream, grant.targetId);
				const loan = found?.target.loans.get(grant.grantId);
				if (found && loan?.borrowerId === borrowerId) {
					loan.deadline = Math.max(loan.deadline, grant.deadline);
					wakeTarget(found.pool, found.target, loan.deadline);
					accepted.push({...grant, count: loan.count, deadline: loan.deadline});
				}
			}

			return accepted;
		},
		wakeAt: () => wakes.peek()?.at,
		idleSlots() {
			const now = clock.now();
			processWakes(now);
			return [...pools.values()].map(pool => ({upstream: pool.name, count: freeUnitsOf(pool, now)}));
		},
		observations() {
			const now = clock.now();
			const changed = [];
			for (const pool of pools.values()) {
				for (const target of pool.targets.values()) {
					const isOut = isQuarantined(target.health, now) && target.health.hasOwnEvidence;
					const rank = isOut ? Number.POSITIVE_INFINITY : target.slowness.value;
					const last = reported.get(target.id) ?? 0;
					const hasChanged = rank !== last && !(Math.abs(rank - last) < noticeableChange);
					if (hasChanged && (isOut || target.slowness.samples >= samplesToTrust)) {
						reported.set(target.id, rank);
						changed.push({targetId: target.id, slowness: estimateOf(target.slowness), isQuarantined: isOut});
					}
				}
			}

			return changed;
		},
		observe(observations) {
			const now = clock.now();
			const byId = new Map(observations.map(observation => [observation.targetId, observation]));
			for (const pool of pools.values()) {
				for (const [targetId, observation] of byId) {
					const target = pool.targets.get(targetId);
					if (!target) {
						continue;
					}

					if (observation.isQuarantined && target.health.quarantines === 0) {
						quarantine(target.health, now);
						wakeTarget(pool, target, target.health.quarantinedUntil);
					}

					const gain = target.slowness.samples === 0 ? 1 : gossipGain;
					target.slowness.value += gain * (Math.log(observation.slowness) - target.slowness.value);
					refresh(pool, target, now);
				}
			}
		},
		targets: () => viewTargets(pools.values(), clock.now()),
		load: () => [...pools.values()].map(pool => ({upstream: pool.name, queued: pool.queue.size(), running: pool.running})),
	};
	return scheduler;
};
