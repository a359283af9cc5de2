/** Computes burn rates and error budgets from the merged histories of all hosts. */
import {
	bucketMs, type HostHistory, type Objective, type ObjectiveBucket,
} from 'chivestream-core';
import {type Histogram} from 'hdr-histogram-js';
import {addEncoded, createHistogram} from './histogram.js';
import {type HistoryExport} from './schemas.js';

/** Lengths of the reported windows, in milliseconds. */
export const windowMs = {
	short: 300_000,
	long: 3_600_000,
	/** The window of the error budget: as much history as the hosts keep. */
	budget: 21_600_000,
} as const;

/** One of the reported windows. */
export type WindowName = keyof typeof windowMs;

/** Job counts of one objective within a window. */
export type WindowReport = {
	good: number;
	bad: number;
	unknown: number;
	/** Share of bad and unknown jobs, divided by the share that the goal allows; undefined without jobs. */
	burnRate: number | undefined;
	/** Average share of the window, between 0 and 1, for which the hosts have recorded data; missing hosts count as 0. */
	coverage: number;
};

/** States of an objective. */
export const objectiveState = {
	met: 'met',
	/** The burn rates of the short and the long window would spend the budget long before its window ends. */
	burning: 'burning',
	/** No budget is left. */
	spent: 'spent',
	/** Hosts are missing, or the coverage of the long window is too low to report `met` or `idle`. */
	unproved: 'unproved',
	/** No job ended in the long window. */
	idle: 'idle',
} as const;

/** One of the states of an objective. */
export type ObjectiveState = (typeof objectiveState)[keyof typeof objectiveState];

/** Job counts of one minute, summed over all hosts. */
export type MinuteCounts = {
	/** Start of the minute, in milliseconds since the Unix epoch. */
	start: number;
	good: number;
	bad: number;
	unknown: number;
};

/** A point of the distribution of response times. */
export type Percentile = {
	percentile: number;
	valueMs: number;
};

/** The report on one objective. */
export type ObjectiveReport = {
	objective: Objective;
	state: ObjectiveState;
	windows: Record<WindowName, WindowReport>;
	/** Share of the error budget that is left, negative when overspent; undefined without jobs. */
	budgetLeft: number | undefined;
	/** Counts over the budget window, oldest first; minutes without jobs are left out. */
	minutes: MinuteCounts[];
	/** Response times of the completed jobs in the budget window; empty without such jobs. */
	percentiles: Percentile[];
};

/** The report on all objectives. */
export type BurnReport = {
	/** Time of the report, in milliseconds since the Unix epoch. */
	at: number;
	/** Hosts whose history is included; `since` is when the host started recording, in milliseconds since the Unix epoch. */
	hosts: Array<{host: string; zone: string; since: number}>;
	missing: HistoryExport['missing'];
	objectives: ObjectiveReport[];
};

/** At this burn rate a full error budget of 6 hours is spent within 25 minutes. */
const fastBurnRate = 14.4;

/** Lowest coverage of the long window at which an objective can be reported as met. */
const minCoverage = 0.9;
const reportedPercentiles = [1, 5, 10, 25, 50, 75, 90, 95, 99, 99.9, 100];

/** The window ends with the current minute bucket, which is still open. */
const windowStart = (at: number, lengthMs: number): number => (Math.floor(at / bucketMs) * bucketMs) + bucketMs - lengthMs;

const sum = (numbers: readonly number[]): number => numbers.reduce((total, number) => total + number, 0);

const coverageOfHost = ({since, from, at}: HostHistory, start: number): number => {
	const windowLengthMs = at - start;
	const recordedMs = at - Math.max(since, from, start);
	return windowLengthMs <= 0 ? 1 : Math.min(1, Math.max(0, recordedMs / windowLengthMs));
};

const averageCoverage = ({hosts, missing}: HistoryExport, start: number): number => {
	const hostCount = hosts.length + missing.length;
	return hostCount === 0 ? 0 : sum(hosts.map(host => coverageOfHost(host, start))) / hostCount;
};

const collectBuckets = ({hosts}: HistoryExport, name: string): ObjectiveBucket[] =>
	hosts.flatMap(host => host.objectives.filter(({objective}) => objective.name === name).flatMap(({buckets}) => buckets));

const createWindowReport = (exported: HistoryExport, objective: Objective, buckets: ObjectiveBucket[], start: number): WindowReport => {
	const windowBuckets = buckets.filter(bucket => bucket.start >= start);
	const good = sum(windowBuckets.map(bucket => bucket.good));
	const bad = sum(windowBuckets.map(bucket => bucket.bad));
	const unknown = sum(windowBuckets.map(bucket => bucket.unknown));
	const total = good + bad + unknown;
	const burnRate = total === 0 ? undefined : (bad + unknown) / total / (1 - objective.goal);
	return {
		good, bad, unknown, burnRate, coverage: averageCoverage(exported, start),
	};
};

const determineState = (windows: Record<WindowName, WindowReport>, isHostMissing: boolean): ObjectiveState => {
	const {short, long, budget} = windows;
	if ((budget.burnRate ?? 0) >= 1) {
		return objectiveState.spent;
	}

	if ((short.burnRate ?? 0) >= fastBurnRate && (long.burnRate ?? 0) >= fastBurnRate) {
		return objectiveState.burning;
	}

	if (isHostMissing || long.coverage < minCoverage) {
		return objectiveState.unproved;
	}

	return long.burnRate === undefined ? objectiveState.idle : objectiveState.met;
};

const mergeHistograms = (buckets: readonly ObjectiveBucket[]): Histogram => {
	const merged = createHistogram();
	for (const {histogram} of buckets) {
		addEncoded(merged, histogram);
	}

	return merged;
};

const computePercentiles = (buckets: readonly ObjectiveBucket[]): Percentile[] => {
	const histogram = mergeHistograms(buckets);
	return histogram.totalCount === 0
		? []
		: reportedPercentiles.map(percentile => ({percentile, valueMs: histogram.getValueAtPercentile(percentile)}));
};

const sumByMinute = (buckets: readonly ObjectiveBucket[]): MinuteCounts[] => {
	const minutes = new Map<number, MinuteCounts>();
	for (const {start, good, bad, unknown} of buckets) {
		const minute = minutes.get(start) ?? {
			start, good: 0, bad: 0, unknown: 0,
		};
		minute.good += good;
		minute.bad += bad;
		minute.unknown += unknown;
		minutes.set(start, minute);
	}

	return [...minutes.values()].toSorted((left, right) => left.start - right.start);
};

const createObjectiveReport = (exported: HistoryExport, objective: Objective, at: number): ObjectiveReport => {
	const start = windowStart(at, windowMs.budget);
	const buckets = collectBuckets(exported, objective.name).filter(bucket => bucket.start >= start);
	const windows = {
		short: createWindowReport(exported, objective, buckets, windowStart(at, windowMs.short)),
		long: createWindowReport(exported, objective, buckets, windowStart(at, windowMs.long)),
		budget: createWindowReport(exported, objective, buckets, start),
	};
	const {burnRate} = windows.budget;
	return {
		objective,
		state: determineState(windows, exported.missing.length > 0),
		windows,
		budgetLeft: burnRate === undefined ? undefined : 1 - burnRate,
		minutes: sumByMinute(buckets),
		percentiles: computePercentiles(buckets),
	};
};

/** Lists the objectives by name, each as declared in the newest export that contains it. */
const listObjectives = ({hosts}: HistoryExport): Objective[] => {
	const objectives = new Map<string, Objective>();
	for (const host of hosts.toSorted((left, right) => left.at - right.at)) {
		for (const {objective} of host.objectives) {
			objectives.set(objective.name, objective);
		}
	}

	return [...objectives.values()].toSorted((left, right) => left.name < right.name ? -1 : 1);
};

/**
Creates the report for a time, in milliseconds since the Unix epoch. Unknown jobs count against the budget. While hosts are
missing, no objective is reported as met.
*/
export const createBurnReport = (exported: HistoryExport, at: number): BurnReport => ({
	at,
	hosts: exported.hosts.map(({host, zone, since}) => ({host, zone, since})),
	missing: exported.missing,
	objectives: listObjectives(exported).map(objective => createObjectiveReport(exported, objective, at)),
});
