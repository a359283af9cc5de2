/** Declarations of the owner: upstreams, teams, quotas, limits, drains and objectives. */

/** Primary goals of task placement: short response times or few messages. */
export const preference = {
	responseTime: 'response-time',
	fewMessages: 'few-messages',
} as const;

/** One of the preferences. */
export type Preference = (typeof preference)[keyof typeof preference];

/** An upstream host that serves tasks over HTTP in a fixed number of slots. */
export type Minion = {
	id: string;
	zone: string;
	/** `ip:port` of its HTTP service. */
	address: string;
	/** Most tasks that it runs at once, over all entry hosts. */
	slots: number;
	/** Most connections that it accepts at once, over all entry hosts. */
	connections: number;
};

/** An upstream host that runs tasks under leases. */
export type Worker = {
	id: string;
	zone: string;
	rack: string;
	/** `ip:port` of its HTTP service. */
	address: string;
	cores: number;
	memoryMb: number;
	accelerators: number;
};

/** A set of minions or workers that run the same kind of task. */
export type Upstream = {
	minions: Minion[];
	workers: Worker[];
	/** HTTP statuses with which this upstream refuses a task before it starts. */
	notStartedStatuses: number[];
	preference: Preference;
};

/** Weight and quota of a customer team. */
export type Team = {
	/** Share of the slots under contention, relative to other teams. */
	weight: number;
	/** Most tasks in flight over all entry hosts. */
	maxTasksInFlight: number;
};

/** A service-level objective. */
export type Objective = {
	name: string;
	upstream: string;
	team: string;
	/** A job counts as good when its whole answer took at most this long, in milliseconds. */
	targetMs: number;
	/** Fraction of jobs that must be good, below 1. */
	goal: number;
};

/** Limits that apply to every job. */
export type Limits = {
	/** Most tasks in one job. */
	maxTasksPerJob: number;
	/** Latest deadline that a job may have, in milliseconds from its submission. */
	maxDeadlineMs: number;
	/** Retries allowed per first attempt, for each team and upstream. */
	retryRatio: number;
};

/** The complete declared state, as kept in version control. */
export type Declarations = {
	upstreams: Record<string, Upstream>;
	teams: Record<string, Team>;
	/** Ids of draining minions and workers, which get no new tasks. */
	drains: string[];
	limits: Limits;
	objectives: Objective[];
};

/** The declarations in force and the log position from which they were computed. */
export type Configuration = {
	/** Number of accepted changes. */
	version: number;
	/** Offset of the log record up to which the fold has read. */
	offset: number;
	declarations: Declarations;
};
