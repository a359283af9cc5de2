/** Everything through which an entry host touches the outside, passed as arguments so that tests can put fakes there. */
import {
	type AttemptResult, type Clock, type Host, type Logger, type Random, type Task,
} from 'chivestream-core';
import {type PeerClients} from 'chivestream-peer';
import {type Assignment} from 'chivestream-placement';
import {type HostList, type Stream} from 'chivestream-platform';

/** An attempt with what its upstream declares. */
export type AttemptOrder = {
	assignment: Assignment;
	task: Task;
	/** HTTP statuses by which the upstream says that a task did not start. */
	notStartedStatuses: readonly number[];
	signal: AbortSignal;
};

/** Links of one entry host. */
export type HostLinks = {
	configurationStream: Stream;
	claimsStream: Stream;
	listHosts: HostList;
	peers: PeerClients;
	runAttempt: (order: AttemptOrder) => Promise<AttemptResult>;
};

/** Bounds of one entry host. */
export type HostLimits = {
	maxRememberedJobs: number;
	maxRememberedBytes: number;
	keyEpochMs: number;
	/** How long a leaving host may take to finish what it holds. */
	drainMs: number;
};

/** What an entry host is made of. */
export type HostOptions = {
	self: Host;
	clock: Clock;
	random: Random;
	logger: Logger;
	links: HostLinks;
	limits: HostLimits;
	/** Addresses of other entry hosts to ask first, with their zones. */
	seeds: ReadonlyArray<{id: string; zone: string; address: string}>;
};
