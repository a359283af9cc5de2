/** Burn rates and error budgets from the merged histories of all hosts. */
import {
	bucketMs, type HostHistory, type Objective, type ObjectiveBucket,
} from 'chivestream-core';
import {type Histogram} from 'hdr-histogram-js';
import {addEncoded, createHistogram} from './histogram.js';
import {type HistoryExport} from './schemas.js';

/** Lengths of the windows in milliseconds. */
export const windowMs = {
	short: 300_000,
	long: 3_600_000,
	/** The error budget is counted over as much as the hosts keep. */
	budget: 21_600_000,
} as const;

/** Name of a window. */
export type WindowName = keyof typeof windowMs;

/** Jobs of one objective within a window. */
export type WindowReport = {
	good: number;
	bad: number;
	unknown: number;
	/** Share of bad and unknown jobs over the share that the goal allows; undefined without jobs. */
	burnRate: number | undefined;
	/** Share of the hosts' time in the window of which something is known. */
	coverage: number;
};

/** Where an objective stands. */
export const objectiveState = {
	met: 'met',
	/** Both windows burn so fast that the budget would be spent long before its window ends. */
	burning: 'burning',
	/** No budget is left. */
	spent: 'spent',
	/** Hosts are missing, so that the other states can't be told. */
	unproved: 'unproved',
	/** No job ended in the long window. */
	idle: 'idle',
} as const;

/** One of the states of an objective. */
export type ObjectiveState = (typeof objectiveState)[keyof typeof objectiveState];

/** Counts of one minute over all hosts. */
export type MinuteCounts = {
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
	/** Share of the error budget that is left, below 0 when overspent; undefined without jobs. */
	budgetLeft: number | undefined;
	minutes: MinuteCounts[];
	/** Response times of answered jobs over the budget window. */
	percentiles: Percentile[];
};

/** The report on all objectives. */
export type BurnReport = {
	at: number;
	hosts: Array<{host: string; zone: string; since: number}>;
	missing: HistoryExport['missing'];
	objectives: ObjectiveReport[];
};

const fastBurnRate = 14.4;
const leastCoverage = 0.9;
const shownPercentiles = [1, 5, 10, 25, 50, 75, 90, 95, 99, 99.9, 100];

const windowStart = (at: number, lengthMs: number): number => (Math.floor(at / bucketMs) * bucketMs) + bucketMs - lengthMs;

const sum = (numbers: readonly number[]): number => numbers.reduce((total, number) => total + number, 0);

const coveredShare = ({since, from, at}: HostHistory, start: number): number => {
	const length = at - start;
	const known = at - Math.max(since, from, start);
	return length <= 0 ? 1 : Math.min(1, Math.max(0, known / length));
};

const findCoverage = ({hosts, missing}: HistoryExport, start: number): number => {
	const count = hosts.length + missing.length;
	return count === 0 ? 0 : sum(hosts.map(host => coveredShare(host, start))) / count;
};

const bucketsOf = ({hosts}: HistoryExport, name: string): ObjectiveBucket[] =>
	hosts.flatMap(host => host.objectives.filter(({objective}) => objective.name === name).flatMap(({buckets}) => buckets));

const reportWindow = (exported: HistoryExport, objective: Objective, buckets: ObjectiveBucket[], start: number): WindowReport => {
	const inside = buckets.filter(bucket => bucket.start >= start);
	const good = sum(inside.map(bucket => bucket.good));
	const bad = sum(inside.map(bucket => bucket.bad));
	const unknown = sum(inside.map(bucket => bucket.unknown));
	const total = good + bad + unknown;
	const burnRate = total === 0 ? undefined : (bad + unknown) / total / (1 - objective.goal);
	return {
		good, bad, unknown, burnRate, coverage: findCoverage(exported, start),
	};
};

const judge = (windows: Record<WindowName, WindowReport>, isMissing: boolean): ObjectiveState => {
	const {short, long, budget} = windows;
	if ((budget.burnRate ?? 0) >= 1) {
		return objectiveState.spent;
	}

	if ((short.burnRate ?? 0) >= fastBurnRate && (long.burnRate ?? 0) >= fastBurnRate) {
		return objectiveState.burning;
	}

	if (isMissing || long.coverage < leastCoverage) {
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

const findPercentiles = (buckets: readonly ObjectiveBucket[]): Percentile[] => {
	const histogram = mergeHistograms(buckets);
	return histogram.totalCount === 0
		? []
		: shownPercentiles.map(percentile => ({percentile, valueMs: histogram.getValueAtPercentile(percentile)}));
};

const countMinutes = (buckets: readonly ObjectiveBucket[]): MinuteCounts[] => {
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

const reportObjective = (exported: HistoryExport, objective: Objective, at: number): ObjectiveReport => {
	const start = windowStart(at, windowMs.budget);
	const buckets = bucketsOf(exported, objective.name).filter(bucket => bucket.start >= start);
	const windows = {
		short: reportWindow(exported, objective, buckets, windowStart(at, windowMs.short)),
		long: reportWindow(exported, objective, buckets, windowStart(at, windowMs.long)),
		budget: reportWindow(exported, objective, buckets, start),
	};
	const {burnRate} = windows.budget;
	return {
		objective,
		state: judge(windows, exported.missing.length > 0),
		windows,
		budgetLeft: burnRate === undefined ? undefined : 1 - burnRate,
		minutes: countMinutes(buckets),
		percentiles: findPercentiles(buckets),
	};
};

/** Objectives by name as the host with the newest export declares them. */
const listObjectives = ({hosts}: HistoryExport): Objective[] => {
	const objectives = new Map<string, Objective>();
	for (const host of hosts.toSorted((left, right) => left.at - right.at)) {
		for (const {objective} of host.objectives) {
			objectives.set(objective.name, objective);
		}
	}

	return [...objectives.values()].toSorted((left, right) => left.name < right.name ? -1 : 1);
};

/** The report at a time, in milliseconds since the Unix epoch. Unknown jobs count against the budget; missing hosts never count as good. */
export const createBurnReport = (exported: HistoryExport, at: number): BurnReport => ({
	at,
	hosts: exported.hosts.map(({host, zone, since}) => ({host, zone, since})),
	missing: exported.missing,
	objectives: listObjectives(exported).map(objective => reportObjective(exported, objective, at)),
});
