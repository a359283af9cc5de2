/** The interface between the operators' service and the entry host that it runs in. */
import {
	type Configuration, type Declarations, type Failure, type HostHistory, type JobAnswer,
} from 'chivestream-core';
import {type Result} from 'ts-results-es';
import {type CancelMode} from './language/syntax.js';
import {type QueryablePeer} from './peers/gather.js';
import {type RowsByTable, type TableName} from './tables/rows.js';

/** The kinds of configuration change that a command can make. */
export const commandKind = {
	drain: 'drain',
	undrain: 'undrain',
	limit: 'limit',
	quota: 'quota',
	weight: 'weight',
	replace: 'replace',
	rollback: 'rollback',
} as const;

/** A change of the configuration. */
export type ConfigurationChange
	= | {kind: typeof commandKind.drain; id: string}
		| {kind: typeof commandKind.undrain; id: string}
		| {kind: typeof commandKind.limit; name: string; value: number}
		| {kind: typeof commandKind.quota; team: string; maxTasksInFlight: number}
		| {kind: typeof commandKind.weight; team: string; weight: number}
		/** Replaces all declarations. */
		| {kind: typeof commandKind.replace; declarations: Declarations}
		/** Applies the declarations of an earlier version again, as a new version. */
		| {kind: typeof commandKind.rollback; version: number};

/** A change with a command id, which makes it idempotent, and a base version, which detects concurrent changes of other operators. */
export type ConfigurationCommand = {
	/** A command with the same id is applied at most once. */
	commandId: string;
	/** The version that the change is based on; the command is `beaten` when another version is in force. */
	baseVersion: number;
	change: ConfigurationChange;
};

/** Outcomes of a submitted command. */
export const submissionOutcome = {
	accepted: 'accepted',
	/** Another command was accepted after the base version. */
	beaten: 'beaten',
	/** The change does not fit the configuration in force. */
	invalid: 'invalid',
	/** The log did not answer, so the command may still take effect; it can be sent again with the same id. */
	unknown: 'unknown',
} as const;

/** The result of a submitted command. */
export type Submission
	= | {outcome: typeof submissionOutcome.accepted; version: number; offset: number}
		/** `version` is the version in force instead, `commandId` the command that created it. */
		| {outcome: typeof submissionOutcome.beaten; version: number; commandId?: string}
		| {outcome: typeof submissionOutcome.invalid; faults: string[]}
		| {outcome: typeof submissionOutcome.unknown; failure: Failure};

/** One accepted change, as `history` lists it. */
export type HistoryEntry = {
	version: number;
	offset: number;
	/** Time at which the log stored the record, in milliseconds since the Unix epoch; undefined when unknown. */
	at?: number;
	commandId: string;
	/** What changed, in one line, such as `drain m-17`. */
	summary: string;
};

/** Data that an entry host holds itself, without a request to other hosts. */
export type LocalSource = {
	/** Id and zone of this entry host. */
	self: {host: string; zone: string};
	/** Rows of this host only. */
	localRows: <Table extends TableName>(table: Table) => Array<RowsByTable[Table]>;
	/** Histograms that this host has recorded for the objectives since it started. */
	localHistory: () => HostHistory;
};

/** All data and operations that the entry host provides to the operators' service. Calls over the network end by their deadline, in milliseconds since the Unix epoch. */
export type OperatorSource = LocalSource & {
	/**
	All other entry hosts that this host has recorded or that the platform lists, including unreachable ones. Each receives
	the request, and the answer lists those that do not reply.
	*/
	peers: () => QueryablePeer[];
	/** Cancels or stops a job, whichever host is its home; gives undefined when the key is unknown. */
	cancel: (key: string, mode: CancelMode, deadline: number) => Promise<Result<JobAnswer | undefined, Failure>>;
	/** The configuration in force on this host; undefined until it has received one. */
	configuration: () => Configuration | undefined;
	/** Accepted changes that the log still holds, newest first. */
	history: (deadline: number) => Promise<Result<HistoryEntry[], Failure>>;
	/** Appends a command to the log and waits until its outcome is known. */
	submit: (command: ConfigurationCommand, deadline: number) => Promise<Submission>;
};
