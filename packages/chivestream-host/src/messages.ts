/** Messages between entry hosts, sent as JSON over one stream in each direction. */
import {
	type CellJobs, type CrashRecord, type MinionRecord, type Outcome, type PreviousSubmission, type Step,
} from 'chivestream-dispatch';
import {type Declarations} from 'chivestream-platform';
import {type CancelAnswer} from './job-cancellation.js';

/** One incarnation of an entry host. */
export type HostRecord = {
	name: string;
	zone: string;
	/** IP address and port at which it listens for its peers. */
	address: string;
	/** When its process started, in milliseconds since the Unix epoch; distinguishes incarnations. */
	bornAt: number;
	/** Number of cores of the usual speed for which it counts: its processor time, or less if its link is too slow for the messages of that. */
	cpuShare: number;
};

/** Identifies an incarnation of a host as the submitter of a job. */
export const originOf = ({name, bornAt}: HostRecord): string => `${name}@${bornAt}`;

/** The claim of a host to a cell for which it dispatches. */
export type CellClaim = {
	/** Number of the cell in its zone. */
	cell: number;
	/** The fencing token with which it dispatches. */
	token: number;
	/** Number of tasks that can start at once on the cell's minions. */
	freeTasks: number;
	/** Whether the receiver is to answer with `jobs-of-cell`, as the claim is new; left out by earlier builds. */
	asksForJobs?: boolean;
};

/** State that a host sends to other hosts periodically and after changes. */
export type HostStatus = {
	claims: CellClaim[];
	/** Number of cells into which the host divides its zone; it never falls within an incarnation. */
	cellCount: number;
	/** Whether the host is shutting down. */
	isLeaving: boolean;
	/** Version of the declarations that it holds; 0 without any. */
	declarationsVersion: number;
	/** Time until the next status on the same stream at the latest, in milliseconds. */
	nextInMs: number;
	/** Whether the store answers the host; left out by earlier builds. */
	reachesStore?: boolean;
	/** Name of the host that is asked to pass on the minions of this host's zone, as the store turns this host away. */
	minionsFrom?: string;
};

/** A `JobRequest` as it is sent to a dispatcher, with times in milliseconds from the arrival of the message. */
export type JobMessage = {
	id: string;
	/** Name of the cell to which it is submitted. */
	cell: string;
	/** Fencing token of the claim to which it is submitted; left out by earlier builds. */
	claim?: number;
	payload: string;
	steps: Step[];
	route: string;
	upstream: string;
	priority: number;
	maxAttempts: number;
	objectiveInMs: number;
	deadlineInMs: number;
	submission: number;
	mayHaveRun: boolean;
	doneTasks?: string[];
	crashes?: Record<string, CrashRecord>;
	/** As in `JobRequest`, with the time until the lease ends. */
	previousSubmissions?: Array<Omit<PreviousSubmission, 'leaseEndsAt'> & {leaseEndsInMs: number}>;
	/** As in `JobRequest`. */
	homeCell?: string;
	/** As in `JobRequest`. */
	hasUnknownHistory?: boolean;
};

/**
 * Added to each message from the host that opened the stream: the `sentAt` of the last message received over the stream. It extends the
 * lease on the jobs submitted over the stream. Left out before the first message, and by earlier builds.
 */
export type Acknowledgement = {acknowledgedSentAt?: number};

/** Added to each message from the host that accepted the stream: when it was sent, on a clock of that host. Left out by earlier builds. */
export type Timestamp = {sentAt?: number};

/** The answer to a `cancel-job` message with the same `request` number, which was sent in the other direction. */
type CancelJobAnswer = CancelAnswer & {type: 'cancel-job-answer'; request: number};

/** A message from the host that opened the stream. An earlier build closes the stream when it receives a type that it doesn't know. */
export type PeerRequest
	= | {type: 'hello'; host: HostRecord; status: HostStatus}
		| {type: 'status'; status: HostStatus}
		| {type: 'submit'; job: JobMessage}
		| {type: 'cancel'; id: string}
	/** A caller cancels a job. If `asksHosts` is true, the receiver also asks the hosts that have opened streams to it. */
		| {type: 'cancel-job'; id: string; request: number; asksHosts: boolean}
		| CancelJobAnswer;

/** A message from the host that accepted the stream. */
export type PeerReply
	= | {type: 'hello'; host: HostRecord; status: HostStatus; hosts: HostRecord[]}
	/** With `isReplyWanted`, the other host acknowledges the message at once. */
		| {type: 'status'; status: HostStatus; isReplyWanted?: boolean}
	/** The dispatchers of all zones that the sender has recorded. */
		| {type: 'dispatchers'; hosts: HostRecord[]}
		| {type: 'settled'; id: string; submission: number; outcome: Outcome}
	/** The crashes of minions under a task of a submitted job; its host passes them on to the next dispatcher if this one is lost. */
		| {type: 'task-crashed'; id: string; submission: number; task: string; crashes: CrashRecord}
		| {type: 'declarations'; declarations: Declarations}
	/** The registered minions of the zone, and the unregistered ones on which tasks may run. */
		| {type: 'minions'; minions: MinionRecord[]; unregistered?: MinionRecord[]}
	/** The jobs of the claimed cell that the sender's dispatchers hold; sent only to a host whose claim asks for them. */
		| {type: 'jobs-of-cell'; claim: number; jobs: CellJobs[]}
	/** A caller cancels a job, which the receiver may hold. */
		| {type: 'cancel-job'; id: string; request: number}
		| CancelJobAnswer;
