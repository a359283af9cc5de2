/** Crashes of minions, and the runs that they end. */
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

/** Fields of the log event for a run on a crashed minion, at a time on the monotonic clock in milliseconds. */
export const describeRun = (run: Run, now: number) => ({
	task: run.task,
	run: run.number,
	state: run.assignedTask === undefined && run.state === runState.running ? 'inherited' : run.state,
	ranMs: Math.round(now - (run.startConfirmedAt ?? run.requestedAt)),
	progress: run.progress,
});
