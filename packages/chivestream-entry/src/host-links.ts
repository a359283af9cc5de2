/** Everything through which an entry host touches the outside, passed as arguments so that tests can put fakes there. */
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
	/** Told of the declarations in force, so that links to upstream hosts that left them can be closed. */
	onDeclarations: (declarations: Declarations) => void;
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

/** Makers of an entry host's parts; a proof run passes weaker ones to show what each of them prevents. */
export type HostParts = {
	createScheduler: typeof createScheduler;
	createEpochs: typeof createEpochs;
	createJobRegistry: typeof createJobRegistry;
	createClaims: typeof createClaims;
	createDispatcher: typeof createDispatcher;
	/** Whether two claimants are the same run of a host. */
	isSameRun: (left: Claimant, right: Claimant) => boolean;
	/** Rules of the configuration's follower. */
	follower: Partial<Pick<FollowerOptions, 'replicateToZone' | 'freshnessProof' | 'rules'>>;
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
	parts?: Partial<HostParts>;
};
