/** What an entry host asks of placement: who runs next, where, and what must be refused. */
import {
	type AttemptResult, type Configuration, type Failure, type Job,
} from 'chivestream-core';
import {type Result} from 'ts-results-es';
import {type TargetView} from './target-view.js';

/** A task that waits for a slot. */
export type QueuedTask = {
	key: string;
	taskIndex: number;
	/** 1 for the first attempt; later ones follow attempts that did not start. */
	attempt: number;
	team: string;
	upstream: string;
	deadline: number;
	enqueuedAt: number;
	declaredMs: number;
	cores: number;
	memoryMb: number;
	accelerators: number;
};

/** A task bound to a minion or worker, on a slot held by this entry host. */
export type Assignment = {
	task: QueuedTask;
	/** Id of the minion or worker. */
	targetId: string;
	/** `ip:port` of the minion or worker. */
	address: string;
	isWorker: boolean;
	startedAt: number;
};

/** Entry hosts of this zone that share its minions and workers, this host among them. */
export type ZoneMembers = {
	selfId: string;
	zone: string;
	/** Ids of the live entry hosts of this zone. */
	hostIds: string[];
	/** Number of live entry hosts over all zones. */
	totalHosts: number;
};

/** Slots lent from one entry host to another until a deadline. */
export type SlotGrant = {
	grantId: string;
	upstream: string;
	targetId: string;
	count: number;
	/** When the lender takes the slots back unless the grant was extended. */
	deadline: number;
};

/** How many slots a host wants for an upstream. */
export type SlotDemand = {
	upstream: string;
	count: number;
};

/** What a host tells its zone about a minion or worker. */
export type TargetObservation = {
	targetId: string;
	/** Observed over declared run time; 1 when as declared. */
	slowness: number;
	isQuarantined: boolean;
};

/** What a finished attempt means for its task. */
export type Settlement = {
	/** True when the attempt did not start and the task may be sent elsewhere. */
	isRetried: boolean;
};

/** One entry host's decisions over all upstreams. Never does I/O; the caller runs what it decides. */
export type Scheduler = {
	/** Takes the declarations in force and the live hosts; shares slots anew. */
	configure: (configuration: Configuration, zoneMembers: ZoneMembers) => void;
	/** Refuses at once what can never run, is over quota or can't start in time. */
	admit: (job: Job) => Result<void, Failure>;
	enqueue: (tasks: QueuedTask[]) => void;
	/** Binds the next task to a free slot; undefined when none can start now. */
	next: () => Assignment | undefined;
	/** Frees the slot and learns from the outcome. A retried task is back in the queue. */
	settle: (assignment: Assignment, result: AttemptResult) => Settlement;
	/** Takes a job's waiting tasks out of the queue and returns them. */
	cancel: (key: string) => QueuedTask[];
	/** Takes out and returns the waiting tasks that can no longer start in time. */
	expire: () => QueuedTask[];
	/** Slots worth asking other hosts of the zone for, now. */
	demand: () => SlotDemand[];
	/** Lends free slots to another host. */
	lend: (borrowerId: string, demand: SlotDemand) => SlotGrant[];
	/** Takes slots lent by another host. */
	borrow: (lenderId: string, grants: SlotGrant[]) => void;
	/** Borrowed slots that are no longer needed, taken out of use; the lender must be told. */
	releaseIdle: () => Array<{lenderId: string; grants: SlotGrant[]}>;
	/** Takes back slots that a borrower returned. */
	reclaim: (borrowerId: string, grants: SlotGrant[]) => void;
	/** Borrowed slots whose grant ends while a task still runs on them: ask the lender for the deadline given. */
	dueExtensions: () => Array<{lenderId: string; grants: SlotGrant[]}>;
	/** Extends grants whose slots are still in use; the answer goes to the borrower's `borrow`. */
	extend: (borrowerId: string, grants: SlotGrant[]) => SlotGrant[];
	/** When `next` may bind a task that it can't bind now without any other event; undefined when never. */
	wakeAt: () => number | undefined;
	/** Free slots of this host for each upstream. */
	idleSlots: () => SlotDemand[];
	/** What this host knows of its targets, to be shared with the zone. */
	observations: () => TargetObservation[];
	/** Takes what another host of the zone knows. */
	applyObservations: (observations: TargetObservation[]) => void;
	/** Waiting and running tasks for each upstream. */
	load: () => Array<{upstream: string; queued: number; running: number}>;
	/** Minions and workers with this host's share of them. */
	targets: () => TargetView[];
};
