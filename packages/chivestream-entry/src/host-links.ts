/** External connections of an entry host, passed as arguments so that tests can replace them with fakes. */
import {
	type AttemptResult, type Clock, type Declarations, type Host, type Logger, type Random, type Task,
} from 'chivestream-core';
import {type PeerClients} from 'chivestream-peer';
import {type FollowerOptions} from 'chivestream-configuration';
import {type Assignment, type createScheduler} from 'chivestream-placement';
import {type HostList, type Stream} from 'chivestream-log';
import {type Claimant, type createClaims} from './claims.js';
import {type createDispatcher} from './dispatcher.js';
import {type createEpochs} from './epochs.js';
import {type createJobRegistry} from './job-registry.js';

/** An attempt to run a task on the minion or worker of its assignment. */
export type AttemptRequest = {
	assignment: Assignment;
	task: Task;
	/** HTTP statuses that mean, for this upstream, that the task did not start. */
	notStartedStatuses: readonly number[];
	signal: AbortSignal;
};

/** Connections of one entry host to the platform, the other hosts, and the minions and workers. */
export type HostLinks = {
	configurationStream: Stream;
	claimsStream: Stream;
	listHosts: HostList;
	peers: PeerClients;
	/** Called when declarations come into force, so that connections to minions and workers that they omit can be closed. */
	onDeclarations: (declarations: Declarations) => void;
	runAttempt: (request: AttemptRequest) => Promise<AttemptResult>;
};

/** Limits of one entry host. */
export type HostLimits = {
	/** Most keys for which the host keeps a record. */
	maxRememberedJobs: number;
	/** Total size of the answers kept in those records. */
	maxRememberedBytes: number;
	/** Length of an epoch of home keys. */
	keyEpochMs: number;
	/** Time from the start of a planned stop after which the host no longer waits for its jobs. */
	drainMs: number;
};

/**
Factories and rules of an entry host's components. Fault-injection runs replace single ones with weaker versions to show
which fault each prevents.
*/
export type HostParts = {
	createScheduler: typeof createScheduler;
	createEpochs: typeof createEpochs;
	createJobRegistry: typeof createJobRegistry;
	createClaims: typeof createClaims;
	createDispatcher: typeof createDispatcher;
	/** Whether two claimants are the same incarnation of the same host. */
	isSameIncarnation: (left: Claimant, right: Claimant) => boolean;
	/** Options of the follower of the configuration log. */
	follower: Partial<Pick<FollowerOptions, 'replicateToZone' | 'freshnessProof' | 'rules'>>;
};

/** Identity, dependencies and limits of an entry host. */
export type HostOptions = {
	self: Host;
	clock: Clock;
	random: Random;
	logger: Logger;
	links: HostLinks;
	limits: HostLimits;
	/** Entry hosts to contact before any other is known. */
	seeds: ReadonlyArray<{id: string; zone: string; address: string}>;
	/** Replacements for the default components. */
	parts?: Partial<HostParts>;
};
