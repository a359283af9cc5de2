/** Rows of the tables, one shape a table. Times are milliseconds since the Unix epoch. */
import {type JobRow, type JobState} from './job-state.js';

export {type JobRow, type JobState} from './job-state.js';

/** An upstream as one entry host sees it. */
export type UpstreamRow = {
	name: string;
	/** Entry host that reports, and its zone. */
	host: string;
	zone: string;
	minions: number;
	workers: number;
	/** Slots that the host holds now. */
	slots: number;
	queued: number;
	running: number;
};

/** States of a minion or worker as an entry host sees it. */
export const targetState = {
	serving: 'serving',
	draining: 'draining',
	quarantined: 'quarantined',
	unreachable: 'unreachable',
} as const;

/** One of the states of a minion or worker. */
export type TargetState = (typeof targetState)[keyof typeof targetState];

/** A minion as one entry host sees it. */
export type MinionRow = {
	id: string;
	upstream: string;
	/** Zone of the minion. */
	zone: string;
	address: string;
	/** Entry host that reports. */
	host: string;
	state: TargetState;
	/** Slots that the host holds now. */
	slots: number;
	running: number;
	/** Observed over declared run time. */
	slowness: number;
};

/** A worker as one entry host sees it. */
export type WorkerRow = {
	id: string;
	upstream: string;
	/** Zone of the worker. */
	zone: string;
	rack: string;
	address: string;
	/** Entry host that reports. */
	host: string;
	state: TargetState;
	cores: number;
	memoryMb: number;
	accelerators: number;
	running: number;
	/** Observed over declared run time. */
	slowness: number;
};

/** States of an entry host. */
export const hostState = {
	joining: 'joining',
	serving: 'serving',
	draining: 'draining',
	left: 'left',
} as const;

/** One of the states of an entry host. */
export type HostState = (typeof hostState)[keyof typeof hostState];

/** An entry host, as it reports itself. */
export type HostRow = {
	id: string;
	region: string;
	zone: string;
	incarnation: string;
	state: HostState;
	/** Milliseconds since its start. */
	age: number;
	jobs: number;
	memoryMb: number;
	callerAddress: string;
	operatorAddress: string;
};

/** The configuration that an entry host has in force. */
export type ConfigurationRow = {
	host: string;
	zone: string;
	version: number;
	offset: number;
	/** Whether the host's last exchange with the log succeeded. */
	isLogReachable: boolean;
};

/** The row type of each table. */
export type RowsByTable = {
	jobs: JobRow;
	upstreams: UpstreamRow;
	minions: MinionRow;
	workers: WorkerRow;
	hosts: HostRow;
	configuration: ConfigurationRow;
};

/** Name of a table. */
export type TableName = keyof RowsByTable;

/** A row of some table. */
export type Row = RowsByTable[TableName];

/** What a column holds. */
export type Cell = string | number | boolean | string[] | JobState;
