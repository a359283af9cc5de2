/** What entry hosts say to each other over one stream in each direction. */
import {type MinionRecord, type Outcome, type Step} from 'chivestream-dispatch';
import {type Declarations} from 'chivestream-platform';

/** An entry host in one of its lifetimes. */
export type HostRecord = {
	name: string;
	zone: string;
	/** Where it listens for its peers. */
	address: string;
	/** When its process began, in milliseconds since the Unix epoch; tells lifetimes apart. */
	bornAt: number;
	/** Cores that it may use. */
	cpuShare: number;
};

/** What a host tells of a cell for which it dispatches. */
export type CellClaim = {
	/** Number of the cell in its zone. */
	cell: number;
	/** The token under which it dispatches. */
	token: number;
	/** Tasks that can begin at once on the cell's minions. */
	freeTasks: number;
};

/** What a host tells of itself again and again. */
export type HostStatus = {
	claims: CellClaim[];
	/** Into how many cells its zone is divided, as far as it knows; it never falls in a host's lifetime. */
	cellCount: number;
	/** Whether it is about to end. */
	isLeaving: boolean;
	declarationsVersion: number;
	/** The next status on the same stream comes within so many milliseconds. */
	nextInMs: number;
};

/** A job on its way to a dispatcher. Times count from the arrival of the message, in milliseconds. */
export type JobMessage = {
	id: string;
	/** Name of the cell that is to run it. */
	cell: string;
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
};

/** What the host that opened the stream sends. */
export type PeerRequest
	= | {type: 'hello'; host: HostRecord; status: HostStatus}
		| {type: 'status'; status: HostStatus}
		| {type: 'submit'; job: JobMessage}
		| {type: 'cancel'; id: string};

/** What the host that took the stream sends. */
export type PeerReply
	= | {type: 'hello'; host: HostRecord; status: HostStatus; hosts: HostRecord[]}
		| {type: 'status'; status: HostStatus}
	/** Dispatchers of all zones, as the sender knows them. */
		| {type: 'dispatchers'; hosts: HostRecord[]}
		| {type: 'settled'; id: string; submission: number; outcome: Outcome}
		| {type: 'declarations'; declarations: Declarations}
		| {type: 'minions'; minions: MinionRecord[]};
