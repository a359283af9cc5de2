/** Operations that an entry host offers to other entry hosts. */
import {type Configuration, type Job, type JobAnswer} from 'chivestream-core';

/** Phases of an entry host. */
export const hostPhase = {
	/** Started, but without a configuration that it may serve. */
	joining: 'joining',
	serving: 'serving',
	/** Completes the jobs that it holds and accepts no new ones. */
	draining: 'draining',
	left: 'left',
} as const;

/** One of the values of `hostPhase`. */
export type HostPhase = (typeof hostPhase)[keyof typeof hostPhase];

/** Lending of slots between hosts. Demands and grants are JSON text whose format placement defines. */
export type LendingHandlers = {
	/** Returns the grants for a demand, both as JSON. */
	lend: (borrowerId: string, demand: string) => string;
	/** Accepts grants, as JSON, that the borrower returns. */
	reclaim: (borrowerId: string, grants: string) => void;
};

/** Handlers of the gRPC service of an entry host. */
export type PeerHandlers = LendingHandlers & {
	/** Runs a job whose home is this host, or waits for it if it runs already, and returns its complete answer. */
	submit: (job: Job) => Promise<JobAnswer>;
	/** Returns the answer to a key of this host, or undefined if the key is unknown. Waits for a running job until the deadline. */
	fetch: (key: string, waitDeadline: number) => Promise<JobAnswer | undefined>;
	/** Cancels the job of a key and returns its answer; undefined if the key is unknown. */
	cancel: (key: string) => Promise<JobAnswer | undefined>;
	/** Returns the configuration in force on this host; undefined while it has none. */
	readConfiguration: () => Configuration | undefined;
	/** Answers an operator request for this host only. Request and reply are JSON. */
	query: (request: string) => Promise<string>;
};
