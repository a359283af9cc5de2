/** Measures what an entry host costs beside direct calls to the same minions in the same run. */
import {performance} from 'node:perf_hooks';
import {
	createRandom, preference, systemClock, waitUntil,
} from 'chivestream-core';
import {build, type Histogram} from 'hdr-histogram-js';
import {startCluster, type Cluster} from '../cluster/index.js';
import {saturate, sendAtRate} from './drivers.js';
import {readUsage} from './process-usage.js';
import {benchTeam, openSenders, type Senders} from './senders.js';

/** How to run the benchmark. */
export type BenchOptions = {
	seed: number;
	/** Rounds of each phase; each takes a few seconds. */
	rounds: number;
	/** Options of Node.js for the entry host, such as those of its profiler. */
	nodeOptions?: string[];
};

/** Two percentiles, in milliseconds. */
export type Percentiles = {
	p50: number;
	p99: number;
};

/** What the benchmark measured. */
export type BenchResult = {
	/** Response time of one-task jobs through the entry host less that of direct calls, at half load. */
	addedLatencyMs: Percentiles;
	directLatencyMs: Percentiles;
	throughLatencyMs: Percentiles;
	/** Rate of the one-task jobs at which the latencies were taken. */
	halfLoadJobsPerSecond: number;
	/** Tasks started in a second of the entry host's processor time, at saturation. */
	startsPerSecondPerCore: number;
	startsPerSecond: number;
	directStartsPerSecond: number;
	/** Throughput through the entry host over that of direct calls, the median of the rounds. */
	shareOfDirect: number;
	/** The same by round. */
	shares: number[];
	/** Resident memory of the entry host after the first and the last round of the same load. */
	memoryMb: {first: number; last: number};
};

const minionCount = 16;
const tasksPerJob = 20;
const jobsInFlight = 32;
const singleJobsInFlight = 64;
const throughputLengthMs = 1500;
const latencyLengthMs = 1000;
const holdOffMs = 4000;
/** Short epochs, so that what a host remembers of its keys stops growing within the warm-up. */
const keyEpochMs = 500;
const warmUpLengthMs = 6000;
const maxTasksInFlight = 100_000;
const microsecondsPerMs = 1000;
const msPerSecond = 1000;
const roundingScale = 1000;

/** Starts in a second, by one round of the throughput phase. */
type Throughput = {
	direct: number;
	through: number;
	perCore: number;
	/** Resident memory of the entry host after the round. */
	memoryMb: number;
};

const round = (value: number): number => Math.round(value * roundingScale) / roundingScale;

const percentilesOf = (histogram: Histogram): Percentiles => ({
	p50: round(histogram.getValueAtPercentile(50) / microsecondsPerMs),
	p99: round(histogram.getValueAtPercentile(99) / microsecondsPerMs),
});

const median = (values: readonly number[]): number => {
	const sorted = values.toSorted((left, right) => left - right);
	return ((sorted[Math.floor((sorted.length - 1) / 2)] ?? 0) + (sorted[Math.ceil((sorted.length - 1) / 2)] ?? 0)) / 2;
};

/** Both ways take turns, so that what else the machine does meets both; the share is taken round by round. */
const measureThroughput = async (senders: Senders, pid: number, rounds: number): Promise<Throughput[]> => {
	const load = {taskCount: tasksPerJob, jobsInFlight, lengthMs: throughputLengthMs};
	const measured: Throughput[] = [];
	/* eslint-disable no-await-in-loop -- the ways take turns */
	for (let count = 0; count < rounds; count++) {
		const direct = await saturate(senders.direct, load) * tasksPerJob;
		const before = await readUsage(pid);
		const startedAt = performance.now();
		const through = await saturate(senders.through, load) * tasksPerJob;
		const after = await readUsage(pid);
		const cores = (after.cpuSeconds - before.cpuSeconds) / ((performance.now() - startedAt) / msPerSecond);
		measured.push({
			direct, through, perCore: through / cores, memoryMb: Math.round(after.memoryMb),
		});
	}
	/* eslint-enable no-await-in-loop */

	return measured;
};

const measureLatency = async (senders: Senders, jobsPerSecond: number, options: BenchOptions) => {
	const random = createRandom(options.seed);
	const direct = build({numberOfSignificantValueDigits: 3});
	const through = build({numberOfSignificantValueDigits: 3});
	const load = {
		taskCount: 1, jobsPerSecond, lengthMs: latencyLengthMs, random,
	};
	/* eslint-disable no-await-in-loop -- the ways take turns */
	for (let count = 0; count < options.rounds * 2; count++) {
		await sendAtRate(senders.direct, {...load, histogram: direct});
		await sendAtRate(senders.through, {...load, histogram: through});
	}
	/* eslint-enable no-await-in-loop */

	return {direct: percentilesOf(direct), through: percentilesOf(through)};
};

const measure = async (cluster: Cluster, senders: Senders, options: BenchOptions): Promise<BenchResult> => {
	const {pid} = cluster.entries[0]!.process;
	const single = {taskCount: 1, jobsInFlight: singleJobsInFlight};
	await saturate(senders.direct, {...single, lengthMs: throughputLengthMs});
	const saturationJobsPerSecond = await saturate(senders.through, {...single, lengthMs: warmUpLengthMs});
	const [warmUp, ...throughput] = await measureThroughput(senders, pid, options.rounds + 1);
	const halfLoadJobsPerSecond = Math.round(saturationJobsPerSecond / 2);
	const latency = await measureLatency(senders, halfLoadJobsPerSecond, options);
	return {
		addedLatencyMs: {
			p50: round(latency.through.p50 - latency.direct.p50),
			p99: round(latency.through.p99 - latency.direct.p99),
		},
		directLatencyMs: latency.direct,
		throughLatencyMs: latency.through,
		halfLoadJobsPerSecond,
		startsPerSecondPerCore: Math.round(median(throughput.map(({perCore}) => perCore))),
		startsPerSecond: Math.round(median(throughput.map(({through}) => through))),
		directStartsPerSecond: Math.round(median(throughput.map(({direct}) => direct))),
		shareOfDirect: round(median(throughput.map(({direct, through}) => through / direct))),
		shares: throughput.map(({direct, through}) => round(through / direct)),
		memoryMb: {first: warmUp?.memoryMb ?? 0, last: throughput.at(-1)?.memoryMb ?? 0},
	};
};

/** Runs the benchmark with one entry host; every process that it starts has ended when it resolves or rejects. */
export const runBench = async (options: BenchOptions): Promise<BenchResult> => {
	const cluster = await startCluster({
		zones: ['a'],
		hostsPerZone: 1,
		fleets: [{
			upstream: 'bench', preference: preference.responseTime, minionsPerZone: minionCount, speeds: [1],
		}],
		teams: {[benchTeam]: {weight: 1, maxTasksInFlight}},
		seed: options.seed,
		hostListLagMs: 0,
		nodeOptions: options.nodeOptions,
		limits: {keyEpochMs},
	});
	try {
		await waitUntil(systemClock, Date.now() + holdOffMs);
		const senders = openSenders(cluster);
		try {
			return await measure(cluster, senders, options);
		} finally {
			await senders.close();
		}
	} finally {
		await cluster.stop();
	}
};
