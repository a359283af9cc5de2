/** Drives the decisions of one entry host during a replay: jobs come in, tasks go out, slots are lent. */
import {
	attemptOutcome, type AttemptResult, type Clock, type Configuration, Failure, failureCode, type Timer,
} from 'chivestream-core';
import {
	type Assignment, createLenderSelector, defaultLendingPolicies, type Scheduler, type ZoneMembers, type SlotGrant, type SlotRequest,
} from 'chivestream-placement';
import {createHeartbeatModel, type HeartbeatContent} from './heartbeat-model.js';
import {type MessageCounts} from './messages.js';
import {minionAnswer, type MinionAnswer, type MinionModel} from './minion-model.js';
import {type Deployment, type JobEvent} from './trace.js';

/** The only upstream of a replay. */
export const upstreamName = 'replayed';

/** How a job ended at its home. */
export const jobEnd = {
	complete: 'complete',
	failed: 'failed',
	refused: 'refused',
	expired: 'expired',
	cancelled: 'cancelled',
} as const;

/** One of the ways in which a job ends. */
export type JobEnd = (typeof jobEnd)[keyof typeof jobEnd];

type RunningJob = {
	event: JobEvent;
	remaining: number;
	running: Set<Assignment>;
	answer: (end: JobEnd) => void;
};

/** What an entry host is connected to. */
export type EntryLinks = {
	clock: Clock;
	deployment: Deployment;
	minions: ReadonlyMap<string, MinionModel>;
	messages: MessageCounts;
	/** Another entry host as one in the zone reaches it now; undefined when it does not answer. */
	reach: (fromZone: string, hostId: string) => EntryModel | undefined;
	/** Whether messages get through between two zones now. */
	isConnected: (zone: string, otherZone: string) => boolean;
	zoneOfHost: (hostId: string) => string;
	zoneOfMinion: (minionId: string) => string;
	/** Told of every task that starts, to check that none starts twice. */
	onStart: (key: string, taskIndex: number) => void;
	/** Told of every task that ends well. */
	onDone: (key: string, taskIndex: number) => void;
};

/** An entry host during a replay. */
export type EntryModel = {
	id: string;
	zone: string;
	scheduler: Scheduler;
	isAlive: () => boolean;
	kill: () => void;
	configure: (configuration: Configuration, sharers: ZoneMembers) => void;
	submit: (event: JobEvent, answer: (end: JobEnd) => void) => void;
	cancel: (key: string) => void;
	/** Sends heartbeats with what this host learned and has idle. */
	heartbeat: () => void;
	/** Takes a heartbeat of another host of the zone; the reply carries the same the other way. */
	receiveHeartbeat: (senderId: string, message: HeartbeatContent) => HeartbeatContent;
	noteIdle: (lenderId: string, zone: string, count: number) => void;
	/** Binds what can be bound and asks for slots where they are short. */
	pump: () => void;
};

const expiryCheckMs = 50;
const origin = {step: 'run a task', peer: 'minion'};
const done: AttemptResult = {outcome: attemptOutcome.answered, isSuccess: true, result: undefined};
const failed: AttemptResult = {
	outcome: attemptOutcome.answered, isSuccess: false, failure: new Failure(failureCode.taskFailed, 'the task failed', origin),
};
const refused: AttemptResult = {
	outcome: attemptOutcome.notStarted, failure: new Failure(failureCode.overloaded, 'all slots are busy', origin),
};
const results: Record<MinionAnswer, AttemptResult> = {
	[minionAnswer.done]: done, [minionAnswer.failed]: failed, [minionAnswer.refused]: refused,
};

/** An entry host that decides by the scheduler. */
export const createEntryModel = (host: Deployment['hosts'][number], scheduler: Scheduler, links: EntryLinks): EntryModel => {
	const {clock, deployment, minions, messages, reach, isConnected, zoneOfHost, zoneOfMinion, onStart, onDone} = links;
	const {withinZone, betweenZones} = deployment.oneWayMs;
	const oneWayTo = (zone: string) => zone === host.zone ? withinZone : betweenZones;
	const jobs = new Map<string, RunningJob>();
	const lenders = createLenderSelector();
	const terms = defaultLendingPolicies[deployment.preference];
	let sharers: ZoneMembers | undefined;
	let wakeTimer: Timer | undefined;
	let wakeAt = Number.POSITIVE_INFINITY;
	let isAlive = true;

	const later = (delayMs: number, run: () => void) => {
		clock.at(clock.now() + delayMs, run);
	};

	const heartbeats = createHeartbeatModel({
		hostId: host.id,
		clock,
		scheduler,
		lenders,
		messages,
		oneWayMs: withinZone,
		peerIds: () => sharers?.hostIds.filter(id => id !== host.id) ?? [],
		reach: peerId => reach(host.zone, peerId),
		isAlive: () => isAlive,
	});

	const end = (job: RunningJob, jobEnded: JobEnd) => {
		if (jobs.delete(job.event.key)) {
			scheduler.cancel(job.event.key);
			job.answer(jobEnded);
		}
	};

	const settle = (assignment: Assignment, answer: MinionAnswer) => {
		const job = jobs.get(assignment.task.key);
		const {isRetried} = scheduler.settle(assignment, results[answer]);
		if (!job || isRetried) {
			return;
		}

		job.running.delete(assignment);
		job.remaining--;
		if (answer !== minionAnswer.done) {
			end(job, jobEnd.failed);
		} else if (job.remaining === 0) {
			end(job, jobEnd.complete);
		}
	};

	const receive = (assignment: Assignment, zone: string, answer: MinionAnswer) => {
		const {task} = assignment;
		if (answer === minionAnswer.refused) {
			messages.refusals += 2;
		} else {
			messages.tasks += 2;
			onStart(task.key, task.taskIndex);
		}

		if (answer === minionAnswer.done) {
			onDone(task.key, task.taskIndex);
		}

		if (!isConnected(zone, host.zone)) {
			return;
		}

		later(oneWayTo(zone), () => {
			if (isAlive) {
				settle(assignment, answer);
				pump();
			}
		});
	};

	const send = (assignment: Assignment) => {
		const {task, targetId} = assignment;
		const job = jobs.get(task.key)!;
		const zone = zoneOfMinion(targetId);
		job.running.add(assignment);
		if (!isConnected(host.zone, zone)) {
			return;
		}

		later(oneWayTo(zone), () => {
			minions.get(targetId)!.start(job.event.tasks[task.taskIndex]!.workMs, answer => {
				receive(assignment, zone, answer);
			});
		});
	};

	const ask = (request: SlotRequest) => {
		messages.lending++;
		later(oneWayTo(zoneOfHost(request.lenderId)), () => {
			const lender = reach(host.zone, request.lenderId);
			const grants = lender?.scheduler.lend(host.id, request) ?? [];
			messages.lending += lender ? 1 : 0;
			later(oneWayTo(zoneOfHost(request.lenderId)), () => {
				if (!isAlive) {
					return;
				}

				lenders.handleAnswer(request, grants.reduce((sum, {count}) => sum + count, 0));
				scheduler.borrow(request.lenderId, grants);
				pump();
			});
		});
	};

	const scheduleWake = () => {
		const at = scheduler.wakeAt();
		if (at === undefined || (at >= wakeAt && wakeAt > clock.now())) {
			return;
		}

		wakeTimer?.cancel();
		wakeAt = at;
		wakeTimer = clock.at(at, () => {
			wakeAt = Number.POSITIVE_INFINITY;
			pump();
		});
	};

	const pump = () => {
		if (!isAlive) {
			return;
		}

		for (let assignment = scheduler.next(); assignment; assignment = scheduler.next()) {
			send(assignment);
		}

		for (const {upstream, count} of scheduler.demand()) {
			for (const request of lenders.plan(upstream, count, terms)) {
				ask(request);
			}
		}

		scheduleWake();
	};

	const exchangeGrants = (lenderId: string, grants: SlotGrant[], isExtension: boolean) => {
		messages.lending++;
		later(oneWayTo(zoneOfHost(lenderId)), () => {
			const lender = reach(host.zone, lenderId);
			if (!lender) {
				return;
			}

			if (!isExtension) {
				lender.scheduler.reclaim(host.id, grants);
				lender.pump();
				return;
			}

			const extended = lender.scheduler.extend(host.id, grants);
			messages.lending++;
			later(oneWayTo(zoneOfHost(lenderId)), () => {
				scheduler.borrow(lenderId, extended);
			});
		});
	};

	const check = () => {
		if (!isAlive) {
			return;
		}

		for (const task of scheduler.expire()) {
			const job = jobs.get(task.key);
			if (job) {
				end(job, jobEnd.expired);
			}
		}

		pump();
		if (clock.now() < deployment.endsAt || jobs.size > 0) {
			later(expiryCheckMs, check);
		}
	};

	const checkGrants = () => {
		if (!isAlive) {
			return;
		}

		for (const {lenderId, grants} of scheduler.dueExtensions()) {
			exchangeGrants(lenderId, grants, true);
		}

		for (const {lenderId, grants} of scheduler.releaseIdle()) {
			exchangeGrants(lenderId, grants, false);
		}

		pump();
		if (clock.now() < deployment.endsAt || jobs.size > 0) {
			later(terms.grantCheckIntervalMs, checkGrants);
		}
	};

	later(expiryCheckMs, check);
	later(terms.grantCheckIntervalMs, checkGrants);

	const timeOut = (job: RunningJob) => {
		if (!jobs.has(job.event.key) || !isAlive) {
			return;
		}

		end(job, jobEnd.expired);
		pump();
	};

	const enqueue = (event: JobEvent, answer: (end: JobEnd) => void) => {
		const {key, team, deadline, tasks} = event;
		const job: RunningJob = {
			event, remaining: tasks.length, running: new Set(), answer,
		};
		jobs.set(key, job);
		scheduler.enqueue(tasks.map(({declaredMs}, taskIndex) => ({
			key, taskIndex, attempt: 1, team, upstream: upstreamName, deadline, enqueuedAt: clock.now(), declaredMs,
			cores: 0, memoryMb: 0, accelerators: 0,
		})));
		clock.at(deadline, () => {
			timeOut(job);
		});
		pump();
	};

	return {
		id: host.id,
		zone: host.zone,
		scheduler,
		isAlive: () => isAlive,
		kill() {
			isAlive = false;
		},
		configure(configuration, changed) {
			for (const id of sharers?.hostIds ?? []) {
				if (!changed.hostIds.includes(id)) {
					lenders.removeLender(id);
				}
			}

			sharers = changed;
			scheduler.configure(configuration, changed);
			pump();
		},
		submit(event, answer) {
			const {key, team, deadline} = event;
			const admitted = scheduler.admit({
				key, team, upstream: upstreamName, isIdempotent: false, deadline, tasks: event.tasks.map(({declaredMs}) => ({payload: undefined, declaredMs})),
			});
			if (admitted.isErr()) {
				answer(jobEnd.refused);
				return;
			}

			enqueue(event, answer);
		},
		cancel(key) {
			const job = jobs.get(key);
			if (job) {
				end(job, jobEnd.cancelled);
				pump();
			}
		},
		heartbeat: heartbeats.send,
		receiveHeartbeat: heartbeats.receive,
		noteIdle(lenderId, zone, count) {
			lenders.recordIdleSlots({id: lenderId, isInZone: zone === host.zone}, upstreamName, count);
		},
		pump,
	};
};
