/** What one entry host does for another. */
import {type Configuration, type Job, type JobAnswer} from 'chivestream-core';

/** Phases of an entry host's life. */
export const hostPhase = {
	/** Started, without a configuration that it may serve. */
	joining: 'joining',
	serving: 'serving',
	/** Finishes what it holds and takes nothing new. */
	draining: 'draining',
	left: 'left',
} as const;

/** One of the phases. */
export type HostPhase = (typeof hostPhase)[keyof typeof hostPhase];

/** Slots that a host asks another for, and slots it gives back, in JSON text form owned by placement. */
export type LendingHandlers = {
	/** Answers a demand with grants; both sides as JSON. */
	lend: (borrowerId: string, demand: string) => string;
	/** Takes back returned grants, as JSON. */
	reclaim: (borrowerId: string, grants: string) => void;
};

/** The service that an entry host offers to the others. */
export type PeerHandlers = LendingHandlers & {
	/** Runs a job whose home is this host, or joins it, and gives its whole answer. */
	submit: (job: Job) => Promise<JobAnswer>;
	/** The answer to a key of this host; waits until the deadline for a running job, undefined if the key is unknown. */
	fetch: (key: string, waitDeadline: number) => Promise<JobAnswer | undefined>;
	cancel: (key: string) => Promise<JobAnswer | undefined>;
	/** The configuration that this host has in force; undefined while it has none. */
	readConfiguration: () => Configuration | undefined;
	/** Answers one operator request against this host alone; request and reply as JSON. */
	query: (request: string) => Promise<string>;
};
