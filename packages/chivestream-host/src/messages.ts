/** Messages between entry hosts, sent as JSON over one stream in each direction. */
import {
	type CrashRecord, type MinionRecord, type Outcome, type Step,
} from 'chivestream-dispatch';
import {type Declarations} from 'chivestream-platform';

/** One incarnation of an entry host. */
export type HostRecord = {
	name: string;
	zone: string;
	/** IP address and port at which it listens for its peers. */
	address: string;
	/** When its process started, in milliseconds since the Unix epoch; distinguishes incarnations. */
	bornAt: number;
	/** Number of cores of the usual speed that its processor time amounts to. */
	cpuShare: number;
};

/** The claim of a host to a cell for which it dispatches. */
export type CellClaim = {
	/** Number of the cell in its zone. */
	cell: number;
	/** The fencing token with which it dispatches. */
	token: number;
	/** Number of tasks that can start at once on the cell's minions. */
	freeTasks: number;
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
};

/** A message from the host that opened the stream. */
export type PeerRequest
	= | {type: 'hello'; host: HostRecord; status: HostStatus}
		| {type: 'status'; status: HostStatus}
		| {type: 'submit'; job: JobMessage}
		| {type: 'cancel'; id: string};

/** A message from the host that accepted the stream. */
export type PeerReply
	= | {type: 'hello'; host: HostRecord; status: HostStatus; hosts: HostRecord[]}
		| {type: 'status'; status: HostStatus}
	/** The dispatchers of all zones that the sender has recorded. */
		| {type: 'dispatchers'; hosts: HostRecord[]}
		| {type: 'settled'; id: string; submission: number; outcome: Outcome}
	/** The crashes of minions under a task of a submitted job; its host passes them on to the next dispatcher if this one is lost. */
		| {type: 'task-crashed'; id: string; submission: number; task: string; crashes: CrashRecord}
		| {type: 'declarations'; declarations: Declarations}
		| {type: 'minions'; minions: MinionRecord[]};
