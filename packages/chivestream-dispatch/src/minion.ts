/** State that a dispatcher keeps for each minion: its registration, its runs and its recent failures and speed. */
import {type Slowness} from './slowness.js';
import {type Task} from './job.js';

/** Amounts of CPU, memory and accelerators, either offered by a minion or used by a task. */
export type Resources = {
	/** Thousandths of a core. */
	millicores: number;
	memoryMb: number;
	accelerators: number;
};

/** A minion's entry in the platform's registry. */
export type MinionRecord = {
	id: string;
	/** When the minion's current incarnation started, in milliseconds since the Unix epoch; 0 if unknown. */
	bornAt: number;
	/** The upstream whose tasks the minion runs. */
	upstream: string;
	address: string;
	zone: string;
	/** Whether the minion accepts no new runs and only finishes its current ones. */
	isDraining: boolean;
	capacity: Resources;
	/** Hardware kind first, then labels such as the rack. */
	labels: readonly string[];
};

/** Of a minion's known entry and another one, which may have been read earlier, the one of the later incarnation; the other one if both are equal. */
export const latestRecord = (known: MinionRecord | undefined, other: MinionRecord): MinionRecord =>
	known !== undefined && known.bornAt > other.bornAt ? known : other;

/** States of a run. */
export const runState = {
	/** The start request was sent; the minion has not answered it yet. */
	starting: 'starting',
	running: 'running',
	/** A stop was requested. The run uses its resources until the minion reports its end or no longer lists it. */
	stopping: 'stopping',
	/** The start request got no answer. The minion may still start the run at any time until it confirms a stop. */
	unknown: 'unknown',
} as const;

/** A value of `runState`. */
export type RunState = (typeof runState)[keyof typeof runState];

/** One run of a task on a minion. Times are milliseconds of the dispatcher's monotonic clock. */
export type Run = {
	/** Name of the task. */
	task: string;
	/** Increases with each run of the task. */
	number: number;
	minion: Minion;
	/** The task that uses the result. Undefined for an inherited run without a known task, and after the run was given up. */
	assignedTask: Task | undefined;
	resources: Resources;
	state: RunState;
	/** Whether a previous dispatcher started the run. */
	isInherited: boolean;
	/** When the start was requested, or when an inherited run was first reported. */
	requestedAt: number;
	/** When the minion confirmed that the run has started; undefined before that. */
	startConfirmedAt: number | undefined;
	/** When the minion confirmed that the run will stop or can no longer start; undefined before that. */
	stopConfirmedAt: number | undefined;
	/** Expected run time in milliseconds. */
	expectedMs: number;
	/** Last reported progress in percent. */
	progress: number;
	/** When the progress last increased. */
	progressedAt: number;
	/** Number of ticks during which the run had no assigned task. */
	unassignedTicks: number;
};

/** A minion of a dispatcher. Times are milliseconds of the dispatcher's monotonic clock, except `bornAt`. */
export type Minion = {
	record: MinionRecord;
	/** Start of the latest incarnation that the registry or the minion has reported, as in `MinionRecord`. */
	bornAt: number;
	/** `incarnationKey` of the last incarnation that is known to have crashed. */
	crashedIncarnation: string | undefined;
	/** Whether the minion has reported its runs to this dispatcher in its current incarnation and lease. */
	isSynced: boolean;
	/** Whether the minion answered the last call. */
	isReachable: boolean;
	/** When the minion's current incarnation last reported its runs. */
	reportedAt: number;
	/** When every run under the leases that the minion was granted has ended at the latest. */
	leaseEndsAt: number;
	/** Runs that ended with the lease since that report; the minion may have crashed under one of them. */
	runsLostInSilence: Run[];
	/** Whether the minion is missing from the registry; it gets no new work. */
	isUnregistered: boolean;
	/** Runs by `runKey`, as long as they may use resources. */
	runs: Map<string, Run>;
	slowness: Slowness;
	consecutiveFailures: number;
	/** The minion gets no new work before this time. */
	quarantinedUntil: number;
	/** Length of the last quarantine in milliseconds; doubles with each one until a task succeeds. */
	quarantineMs: number;
	/** Whether the minion gets only one run at a time, from a quarantine until a task succeeds. */
	isOnProbation: boolean;
};

/** Key of a run in `Minion.runs`. */
export const runKey = (task: string, number: number): string => `${task}/${number}`;

/** The resources of a minion that no run uses. A run of unknown size leaves none. */
export const freeResources = (minion: Minion): Resources => {
	const free = {...minion.record.capacity};
	for (const run of minion.runs.values()) {
		free.millicores -= run.resources.millicores;
		free.memoryMb -= run.resources.memoryMb;
		free.accelerators -= run.resources.accelerators;
	}

	return free;
};

/** Whether the available resources are enough for a task. */
export const fits = (available: Resources, required: Resources): boolean =>
	available.millicores >= required.millicores && available.memoryMb >= required.memoryMb && available.accelerators >= required.accelerators;

/** Resources of a run that fills any minion: its size is unknown, or its task must run alone. */
export const allResources: Resources = {millicores: Infinity, memoryMb: 0, accelerators: 0};
