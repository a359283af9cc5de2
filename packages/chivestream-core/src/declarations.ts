/** What the owner declares: upstreams, teams, quotas, limits, drains and objectives. */

/** What a deployment weighs first when it places tasks. */
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
	/** Tasks it runs at once, over all entry hosts. */
	slots: number;
	/** Connections it accepts at once, over all entry hosts. */
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

/** A named set of minions or workers that serves the same kind of task. */
export type Upstream = {
	minions: Minion[];
	workers: Worker[];
	/** HTTP statuses by which this upstream says that a task was refused before it started. */
	notStartedStatuses: number[];
	preference: Preference;
};

/** A customer team and what it may use. */
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
	/** Share of jobs that must be good, below 1. */
	goal: number;
};

/** Limits that hold for every job. */
export type Limits = {
	/** Most tasks in one job. */
	maxTasksPerJob: number;
	/** Furthest deadline a job may carry, in milliseconds from now. */
	maxDeadlineMs: number;
	/** Retries allowed per first attempt, for each team and upstream. */
	retryRatio: number;
};

/** The whole declared state, as kept in version control. */
export type Declarations = {
	upstreams: Record<string, Upstream>;
	teams: Record<string, Team>;
	/** Minions and workers that are leaving: they get no new task. */
	drains: string[];
	limits: Limits;
	objectives: Objective[];
};

/** Declarations in force with the log offset that put them there. */
export type Configuration = {
	/** Number of accepted changes. */
	version: number;
	/** Offset of the log record up to which the fold has read. */
	offset: number;
	declarations: Declarations;
};
