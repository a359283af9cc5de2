/** Row types of the tables. Times are milliseconds since the Unix epoch. */
import {type JobRow, type JobState} from './job-state.js';

export {type JobRow, type JobState} from './job-state.js';

/** An upstream, as one entry host reports it. */
export type UpstreamRow = {
	name: string;
	/** The reporting entry host, and its zone. */
	host: string;
	zone: string;
	/** Number of minions and workers of the upstream. */
	minions: number;
	workers: number;
	/** Slots that the host currently holds. */
	slots: number;
	/** Number of queued and running tasks. */
	queued: number;
	running: number;
};

/** States of a minion or worker, as an entry host reports them. */
export const targetState = {
	serving: 'serving',
	draining: 'draining',
	quarantined: 'quarantined',
	unreachable: 'unreachable',
} as const;

/** One of the states of a minion or worker. */
export type TargetState = (typeof targetState)[keyof typeof targetState];

/** A minion, as one entry host reports it. */
export type MinionRow = {
	id: string;
	upstream: string;
	/** Zone of the minion. */
	zone: string;
	address: string;
	/** The reporting entry host. */
	host: string;
	state: TargetState;
	/** Slots that the host currently holds. */
	slots: number;
	/** Number of running tasks. */
	running: number;
	/** Ratio of the observed to the declared run time. */
	slowness: number;
};

/** A worker, as one entry host reports it. */
export type WorkerRow = {
	id: string;
	upstream: string;
	/** Zone of the worker. */
	zone: string;
	rack: string;
	address: string;
	/** The reporting entry host. */
	host: string;
	state: TargetState;
	cores: number;
	memoryMb: number;
	accelerators: number;
	running: number;
	/** Ratio of the observed to the declared run time. */
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

/** An entry host, as it reports its own state. */
export type HostRow = {
	id: string;
	region: string;
	zone: string;
	incarnation: string;
	state: HostState;
	/** Milliseconds since the host started. */
	age: number;
	/** Number of jobs that the host is home to. */
	jobs: number;
	/** Resident memory of the host's process. */
	memoryMb: number;
	callerAddress: string;
	operatorAddress: string;
};

/** The configuration in force on one entry host. */
export type ConfigurationRow = {
	host: string;
	zone: string;
	version: number;
	offset: number;
	/** Whether the host's last request to the log succeeded. */
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

/** A row of any table. */
export type Row = RowsByTable[TableName];

/** The value of one cell of a row. */
export type CellValue = string | number | boolean | string[] | JobState;
