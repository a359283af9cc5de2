/** What the operators' service needs of the entry host that it runs in. */
import {
	type Configuration, type Declarations, type Failure, type HostHistory, type JobAnswer,
} from 'chivestream-core';
import {type Result} from 'ts-results-es';
import {type CancelMode} from './language/syntax.js';
import {type QueriedPeer} from './peers/gather.js';
import {type RowsByTable, type TableName} from './tables/rows.js';

/** The kinds of configuration command. */
export const commandKind = {
	drain: 'drain',
	undrain: 'undrain',
	limit: 'limit',
	quota: 'quota',
	weight: 'weight',
	replace: 'replace',
	rollback: 'rollback',
} as const;

/** A change of the configuration, as the language writes it. */
export type ConfigurationChange
	= | {kind: typeof commandKind.drain; id: string}
		| {kind: typeof commandKind.undrain; id: string}
		| {kind: typeof commandKind.limit; name: string; value: number}
		| {kind: typeof commandKind.quota; team: string; maxTasksInFlight: number}
		| {kind: typeof commandKind.weight; team: string; weight: number}
		/** Puts whole declarations in force. */
		| {kind: typeof commandKind.replace; declarations: Declarations}
		/** Puts the declarations of an earlier version in force as a new version. */
		| {kind: typeof commandKind.rollback; version: number};

/** A change with what makes it idempotent and safe against other operators. */
export type ConfigurationCommand = {
	/** The same id is applied at most once. */
	commandId: string;
	/** The version that the change builds on. */
	baseVersion: number;
	change: ConfigurationChange;
};

/** How a submitted command ended. */
export const submissionOutcome = {
	accepted: 'accepted',
	/** Another command came first. */
	beaten: 'beaten',
	/** The change does not fit the configuration in force. */
	invalid: 'invalid',
	/** The log did not answer: the command may take effect later. Send it again with the same id. */
	unknown: 'unknown',
} as const;

/** The outcome of a submitted command. */
export type Submission
	= | {outcome: typeof submissionOutcome.accepted; version: number; offset: number}
		/** `version` is the one that beat the command, `commandId` the command that made it. */
		| {outcome: typeof submissionOutcome.beaten; version: number; commandId?: string}
		| {outcome: typeof submissionOutcome.invalid; faults: string[]}
		| {outcome: typeof submissionOutcome.unknown; failure: Failure};

/** One accepted change. */
export type HistoryEntry = {
	version: number;
	offset: number;
	/** Time at which the log took the record, in milliseconds since the Unix epoch, where it is known. */
	at?: number;
	commandId: string;
	/** One line that says what changed, such as `drain m-17`. */
	summary: string;
};

/** What an entry host knows by itself. */
export type LocalSource = {
	/** The entry host that answers. */
	self: {host: string; zone: string};
	/** Rows of this host alone. */
	localRows: <Table extends TableName>(table: Table) => Array<RowsByTable[Table]>;
	/** What this host has recorded about its objectives. */
	localHistory: () => HostHistory;
};

/** Everything that the operators' service asks of its entry host. Calls over the network end by their deadline. */
export type OperatorSource = LocalSource & {
	/**
	Every other entry host that this one knows or that the platform lists, also those it can't reach now: each is asked,
	and one that does not answer is named in the answer.
	*/
	peers: () => QueriedPeer[];
	/** Ends a job wherever its home is; undefined when the key is unknown. */
	cancel: (key: string, mode: CancelMode, deadline: number) => Promise<Result<JobAnswer | undefined, Failure>>;
	/** The configuration that this host has in force; undefined while it has none. */
	configuration: () => Configuration | undefined;
	/** Accepted changes that are still known, newest first. */
	history: (deadline: number) => Promise<Result<HistoryEntry[], Failure>>;
	/** Appends a command and waits until its outcome is known. */
	submit: (command: ConfigurationCommand, deadline: number) => Promise<Submission>;
};
