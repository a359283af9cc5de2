/**
 * Finds the tasks that crash minions.
 *
 * A task may crash each minion that starts it, soon after the start. Each crash ends the other runs on the minion as well, and the
 * minion is away for seconds. Of the tasks on a crashed minion, those that started last are the most likely cause: they run again
 * only alone on a minion, so that a second crash affects no other task and shows its cause.
 */
import {runState, type Minion, type Run} from './minion.js';

/** What shows that an incarnation of a minion has ended without notice. */
export const crashEvidence = {
	/** It closed a connection that had a request in progress, and no process listens at its address. */
	stoppedListening: 'stopped-listening',
	/** The registry or the minion has reported a later incarnation. */
	restarted: 'restarted',
	/** Another minion answers at its address. */
	replaced: 'replaced',
} as const;

/** A value of `crashEvidence`. */
export type CrashEvidence = (typeof crashEvidence)[keyof typeof crashEvidence];

/** Identifies an incarnation of a minion. */
export const incarnationKey = (minion: Minion): string => `${minion.record.id}@${minion.bornAt}`;

/** Whether the latest known incarnation of a minion has crashed. */
export const hasCrashed = (minion: Minion): boolean => minion.crashedIncarnation === incarnationKey(minion);

/** Fields of the log event for a run on a crashed minion, at a time on the monotonic clock in milliseconds. */
export const describeRun = (run: Run, now: number) => ({
	task: run.task,
	run: run.number,
	state: run.assignedTask === undefined && run.state === runState.running ? 'inherited' : run.state,
	ranMs: Math.round(now - (run.startConfirmedAt ?? run.requestedAt)),
	progress: run.progress,
});

/** Crashes of minions under a task. */
export type CrashRecord = {
	/** The incarnations, as `incarnationKey`, that crashed while a run of the task was there. */
	incarnations: readonly string[];
	/** Whether one of them had no other run. */
	wasAlone: boolean;
	/** Whether the task is a likely cause of one of them, and therefore runs only alone on a minion. */
	isSuspect: boolean;
	/** Whether it is the only likely cause of one of them, and therefore runs only while several minions are empty. */
	isOnlySuspect: boolean;
};

/** Number of crashes after which a task that was alone on a crashed minion is given up; the minion may have caused a single one itself. */
const crashesUntilGivenUp = 2;

/** Number of crashes after which any task is given up, so that it costs no further minion. */
const maxCrashes = 3;

/** Maximum number of tasks whose crashes are kept for resubmitted jobs. */
const maxRecords = 2000;

/** Starts that are this close together can't be told apart as the cause of a crash, in milliseconds. */
const closeStartsMs = 30;

/** Combines two records of the same task. */
export const mergeCrashes = (one: CrashRecord | undefined, other: CrashRecord | undefined): CrashRecord | undefined => {
	if (one === undefined || other === undefined) {
		return one ?? other;
	}

	const incarnations = [...new Set([...one.incarnations, ...other.incarnations])];
	return {
		incarnations,
		wasAlone: one.wasAlone || other.wasAlone,
		isSuspect: one.isSuspect || other.isSuspect || incarnations.length > 1,
		isOnlySuspect: one.isOnlySuspect || other.isOnlySuspect,
	};
};

/** Whether a task has crashed so many minions that it must not start again. */
export const isGivenUp = (crashes: CrashRecord | undefined): boolean => {
	const count = crashes?.incarnations.length ?? 0;
	return count >= maxCrashes || (count >= crashesUntilGivenUp && crashes?.wasAlone === true);
};

/** The record of one crash for each run on the crashed minion, by the name of its task. */
export const recordsOfCrash = (incarnation: string, runs: readonly Run[]): Map<string, CrashRecord> => {
	// It is not known when an inherited run started.
	const startOf = (run: Run) => run.isInherited ? Number.NEGATIVE_INFINITY : run.requestedAt;
	const lastStart = Math.max(...runs.map(run => startOf(run)));
	const suspects = new Set(runs.filter(run => startOf(run) >= lastStart - closeStartsMs));
	return new Map(runs.map(run => [run.task, {
		incarnations: [incarnation],
		wasAlone: runs.length === 1,
		isSuspect: suspects.has(run),
		isOnlySuspect: suspects.has(run) && suspects.size === 1,
	}]));
};

/** The crashes that a dispatcher knows of, also of jobs that have ended: a caller without an answer submits its job again. */
export class CrashRecords {
	private readonly records = new Map<string, CrashRecord>();

	/** The crashes under a task, by its name; undefined if there was none. */
	get(task: string): CrashRecord | undefined {
		return this.records.get(task);
	}

	/** Adds crashes under a task; returns all that are known. */
	add(task: string, crashes: CrashRecord): CrashRecord {
		const merged = mergeCrashes(this.records.get(task), crashes) ?? crashes;
		this.records.delete(task);
		this.records.set(task, merged);
		if (this.records.size > maxRecords) {
			const [oldest] = this.records.keys();
			this.records.delete(oldest!);
		}

		return merged;
	}

	/** Forgets the crashes under a task that has completed. */
	delete(task: string): void {
		this.records.delete(task);
	}
}
