/** Resource usage of three entry processes in one zone for heartbeats, configuration and the log, without any job. */
import {performance} from 'node:perf_hooks';
import {setTimeout} from 'node:timers/promises';
import {startCluster, type Cluster} from 'chivestream-stand-ins';
import {measureSlopes, type Sampling, type Slope} from '../slope.js';
import {readProcessUsage, type ProcessUsage} from '../usage.js';
import {createDeclarations} from './sample-declarations.js';

const hostsPerZone = 3;
const seed = 1;
const teams = 120;
const maxWorkers = 4500;
const settleMs = 500;
const defaultWindowMs = 1200;
const msPerSecond = 1000;

const units = {
	cpu: 'ms of CPU a second and process', traffic: 'bytes read and written a second and process', resident: 'bytes resident of a process',
};

/** Publishes a configuration change on top of the latest version. */
type Publisher = (change: unknown) => Promise<void>;

const createPublisher = (cluster: Cluster): Publisher => {
	let version = 1;
	return async change => {
		await cluster.publish(version, change);
		version++;
	};
};

const readEntryUsages = async (cluster: Cluster): Promise<ProcessUsage[]> =>
	Promise.all(cluster.entries.map(async ({process}) => readProcessUsage(process.pid)));

const sumField = (usages: readonly ProcessUsage[], field: keyof ProcessUsage): number =>
	usages.reduce((sum, usage) => sum + usage[field], 0);

/** Mean CPU time and traffic per second of one entry process while a step runs, and its mean resident memory afterwards. */
const measureDuring = async (cluster: Cluster, step: () => Promise<void>) => {
	const startedAt = performance.now();
	const before = await readEntryUsages(cluster);
	await step();
	const after = await readEntryUsages(cluster);
	const seconds = (performance.now() - startedAt) / msPerSecond;
	const perSecond = (field: keyof ProcessUsage) => (sumField(after, field) - sumField(before, field)) / after.length / seconds;
	return {cpu: perSecond('cpuMs'), traffic: perSecond('trafficBytes'), resident: sumField(after, 'residentBytes') / after.length};
};

const createReplaceChange = (workers: number) => ({kind: 'replace', declarations: createDeclarations(workers, teams)});

const withCluster = async (measure: (cluster: Cluster, publish: Publisher) => Promise<Slope[]>): Promise<Slope[]> => {
	const cluster = await startCluster({
		zones: ['zone-0'], hostsPerZone, fleets: [], teams: {}, seed, hostListLagMs: 0,
	});
	try {
		return await measure(cluster, createPublisher(cluster));
	} finally {
		await cluster.stop();
	}
};

/** Metrics by number of declared workers, while the configuration does not change. */
export const measureControlByWorkers = async (sampling: Sampling): Promise<Slope[]> => withCluster(async (cluster, publish) => measureSlopes({
	name: 'control-by-workers',
	size: 'declared workers',
	units,
	async measure(workers) {
		const windowMs = sampling.windowMs ?? defaultWindowMs;
		await publish(createReplaceChange(workers));
		await setTimeout(Math.min(settleMs, windowMs));
		return measureDuring(cluster, async () => setTimeout(windowMs));
	},
}, sampling));

/** Metrics by quota changes per second, with 4,500 workers and 120 teams. */
export const measureControlByChanges = async (sampling: Sampling): Promise<Slope[]> => withCluster(async (cluster, publish) => {
	await publish(createReplaceChange(maxWorkers));
	await setTimeout(Math.min(settleMs, sampling.windowMs ?? settleMs));
	let count = 0;
	return measureSlopes({
		name: 'control-by-changes',
		size: 'changes a second',
		units,
		async measure(changesPerSecond) {
			const windowMs = sampling.windowMs ?? defaultWindowMs;
			const changes = Math.max(1, Math.round(changesPerSecond * windowMs / msPerSecond));
			return measureDuring(cluster, async () => {
				for (let index = 0; index < changes; index++) {
					count++;
					/* eslint-disable no-await-in-loop -- changes are published at a steady rate */
					await publish({kind: 'team', team: `team-${count % teams}`, maxTasksInFlight: 1000 + count});
					await setTimeout(windowMs / changes);
					/* eslint-enable no-await-in-loop */
				}
			});
		},
	}, sampling);
});
