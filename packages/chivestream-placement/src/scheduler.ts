/** The interface of the scheduler: which task runs next, on which minion or worker, and which jobs are refused. */
import {
	type AttemptResult, type Configuration, type Failure, type Job,
} from 'chivestream-core';
import {type Result} from 'ts-results-es';
import {type TargetView} from './target-view.js';

/** A task that waits for a slot. Times are epoch milliseconds. */
export type QueuedTask = {
	/** Key of the job. */
	key: string;
	/** Position of the task in its job, from 0. */
	taskIndex: number;
	/** Starts at 1; rises with each retry of an attempt that did not start. */
	attempt: number;
	team: string;
	upstream: string;
	deadline: number;
	enqueuedAt: number;
	/** Declared run time, in milliseconds. */
	declaredMs: number;
	/** 0 when not declared; counts as 1 on a worker. */
	cores: number;
	memoryMb: number;
	accelerators: number;
};

/** A task assigned to a minion or worker, on a slot that this entry host may use. */
export type Assignment = {
	task: QueuedTask;
	/** Id of the minion or worker. */
	targetId: string;
	/** `ip:port` of the minion or worker. */
	address: string;
	isWorker: boolean;
	/** When the task was bound to the target, in epoch milliseconds. */
	startedAt: number;
};

/** The live entry hosts of the local zone, which divide the slots of its minions and workers among themselves. */
export type ZoneMembers = {
	/** Id of this host. */
	selfId: string;
	zone: string;
	/** Ids of the live entry hosts of the zone, this host included. */
	hostIds: string[];
	/** Number of live entry hosts in all zones; team quotas are divided by it. */
	totalHosts: number;
};

/** Slots of one target that an entry host lends to another until a deadline. */
export type SlotGrant = {
	grantId: string;
	upstream: string;
	targetId: string;
	count: number;
	/** When the slots return to the lender unless the grant is extended, in epoch milliseconds. */
	deadline: number;
};

/** A number of slots of an upstream that a host requests, or that are free on it. */
export type SlotDemand = {
	upstream: string;
	count: number;
};

/** State of a minion or worker as published by one entry host to the others of its zone. */
export type TargetObservation = {
	targetId: string;
	/** Ratio of observed to declared run time; 1 means as declared, 2 twice as slow. */
	slowness: number;
	/** Whether the publishing host has quarantined the target after failures of its own tasks there. */
	isQuarantined: boolean;
};

/** What happens to a task after an attempt. */
export type Settlement = {
	/** Whether the attempt did not start and the task is queued again. */
	isRetried: boolean;
};

/** Scheduling decisions of one entry host for all upstreams. It does no I/O; the caller carries the decisions out. */
export type Scheduler = {
	/** Applies the declarations in force and the live hosts, and recomputes which slots belong to this host. */
	configure: (configuration: Configuration, zoneMembers: ZoneMembers) => void;
	/** Refuses jobs that can never run, exceed a quota or cannot start early enough. */
	admit: (job: Job) => Result<void, Failure>;
	enqueue: (tasks: QueuedTask[]) => void;
	/** Assigns the next task to a free slot; undefined when none can start now. */
	next: () => Assignment | undefined;
	/** Frees the slot, records the outcome and queues the task again if it may be retried. */
	settle: (assignment: Assignment, result: AttemptResult) => Settlement;
	/** Removes and returns the waiting tasks of the job with this key. */
	cancel: (key: string) => QueuedTask[];
	/** Removes and returns the waiting tasks whose deadline has passed. */
	expire: () => QueuedTask[];
	/** Slots to request from other hosts now, for each upstream. */
	demand: () => SlotDemand[];
	/** Lends free slots to another host and returns the grants, which may cover less than the demand. */
	lend: (borrowerId: string, demand: SlotDemand) => SlotGrant[];
	/** Accepts slots lent by another host, or extensions of earlier grants. */
	borrow: (lenderId: string, grants: SlotGrant[]) => void;
	/** Removes and returns the borrowed slots that are no longer needed; the caller returns them to the lenders. */
	releaseIdle: () => Array<{lenderId: string; grants: SlotGrant[]}>;
	/** Ends the loans of slots that a borrower has returned. */
	reclaim: (borrowerId: string, grants: SlotGrant[]) => void;
	/** Grants about to expire while a task still runs on their slots, each with the deadline to request. */
	dueExtensions: () => Array<{lenderId: string; grants: SlotGrant[]}>;
	/** Extends loans to the requested deadlines and returns their grants, which the borrower passes to its `borrow`. */
	extend: (borrowerId: string, grants: SlotGrant[]) => SlotGrant[];
	/**
	When to call `next` again if nothing else happens, in epoch milliseconds: a hold-off, quarantine, backoff or loan ends
	then. Undefined when no such time is known.
	*/
	wakeAt: () => number | undefined;
	/** Free slots of this host, for each upstream. */
	idleSlots: () => SlotDemand[];
	/** Targets whose state has changed noticeably since the last call, to be published to the zone. */
	observations: () => TargetObservation[];
	/** Applies observations published by another host of the zone. */
	applyObservations: (observations: TargetObservation[]) => void;
	/** Numbers of waiting and running tasks, for each upstream. */
	load: () => Array<{upstream: string; queued: number; running: number}>;
	/** All minions and workers, with this host's share of each. */
	targets: () => TargetView[];
};
