/** What three entry processes of one zone spend on control, without any job: heartbeats, configuration and the log. */
import {performance} from 'node:perf_hooks';
import {setTimeout} from 'node:timers/promises';
import {startCluster, type Cluster} from 'chivestream-stand-ins';
import {measureSlopes, type Sampling, type Slope} from '../slope.js';
import {readProcessUsage, type ProcessUsage} from '../usage.js';
import {createDeclarations} from './sample-declarations.js';

const hostsPerZone = 3;
const seed = 1;
const teams = 120;
const mostWorkers = 4500;
const settleMs = 500;
const defaultWindowMs = 1200;
const msPerSecond = 1000;

const units = {
	cpu: 'ms of CPU a second and process', traffic: 'bytes read and written a second and process', resident: 'bytes resident of a process',
};

type Publisher = (change: unknown) => Promise<void>;

const createPublisher = (cluster: Cluster): Publisher => {
	let version = 1;
	return async change => {
		await cluster.publish(version, change);
		version++;
	};
};

const readAll = async (cluster: Cluster): Promise<ProcessUsage[]> =>
	Promise.all(cluster.entries.map(async ({process}) => readProcessUsage(process.pid)));

const sumOf = (usages: readonly ProcessUsage[], field: keyof ProcessUsage): number =>
	usages.reduce((sum, usage) => sum + usage[field], 0);

/** Mean of one process while a step runs. */
const measureDuring = async (cluster: Cluster, step: () => Promise<void>) => {
	const startedAt = performance.now();
	const before = await readAll(cluster);
	await step();
	const after = await readAll(cluster);
	const seconds = (performance.now() - startedAt) / msPerSecond;
	const perSecond = (field: keyof ProcessUsage) => (sumOf(after, field) - sumOf(before, field)) / after.length / seconds;
	return {cpu: perSecond('cpuMs'), traffic: perSecond('trafficBytes'), resident: sumOf(after, 'residentBytes') / after.length};
};

const replaceWith = (workers: number) => ({kind: 'replace', declarations: createDeclarations(workers, teams)});

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

/** Figures by number of declared workers, while nothing changes. */
export const measureControlByWorkers = async (sampling: Sampling): Promise<Slope[]> => withCluster(async (cluster, publish) => measureSlopes({
	name: 'control-by-workers',
	size: 'declared workers',
	units,
	async measure(workers) {
		const windowMs = sampling.windowMs ?? defaultWindowMs;
		await publish(replaceWith(workers));
		await setTimeout(Math.min(settleMs, windowMs));
		return measureDuring(cluster, async () => setTimeout(windowMs));
	},
}, sampling));

/** Figures by changes of quotas a second, with 4,500 workers and 120 teams. */
export const measureControlByChanges = async (sampling: Sampling): Promise<Slope[]> => withCluster(async (cluster, publish) => {
	await publish(replaceWith(mostWorkers));
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
					/* eslint-disable no-await-in-loop -- changes at a steady rate */
					await publish({kind: 'team', team: `team-${count % teams}`, maxTasksInFlight: 1000 + count});
					await setTimeout(windowMs / changes);
					/* eslint-enable no-await-in-loop */
				}
			});
		},
	}, sampling);
});
