/** Entry hosts as processes of their own, with stand-ins for the store and the minions in this process. */
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {
	Checker, hostPorts, HostProcess, startMinionStandIn, startStoreStandIn, type MinionStandIn,
} from 'chivestream-site-stand-ins';
import {readinessPath} from 'chivestream-platform';
import {request} from 'undici';
import {until} from './site.js';

/** A running site. */
export type ProcessSite = {
	hosts: HostProcess[];
	minions: MinionStandIn[];
	checker: Checker;
	/** Submits a job of one task that takes `workMs`; returns the status of the answer, or undefined if the connection broke. */
	submit: (hostIndex: number, id: string, workMs: number) => Promise<number | undefined>;
	/** Removes the entries of minions, which live on, from the store for good. */
	lapse: (lapsing: readonly MinionStandIn[]) => void;
	close: () => Promise<void>;
};

/** The built program. */
const program = path.join(import.meta.dirname, '../../bin/chivestream-host.js');
const preload = path.join(import.meta.dirname, 'pause.mjs');
const upstream = 'desk';
const hostName = 'lens.example';
const taskMillicores = 14_000;
const capacity = 32_000;
const leaseMs = 1000;
const okStatus = 200;
const heartbeatMs = 300;
const usableByteValues = 250;

const isReady = async ({options: {ip}}: HostProcess): Promise<boolean> =>
	request(`http://${ip}:${hostPorts.readiness}${readinessPath}`).then(async ({statusCode, body}) => {
		await body.dump();
		return statusCode === okStatus;
	}, () => false);

/** Starts a host and `minionsPerZone` minions for each entry of `zones`; resolves when all are ready. The first host of
 * each zone dispatches. */
export const startProcessSite = async (zones: readonly string[], minionsPerZone: number): Promise<ProcessSite> => {
	const checker = new Checker();
	const store = await startStoreStandIn();
	const workMsByJob = new Map<string, number>();
	const minions = await Promise.all([...new Set(zones)].flatMap(zone => Array.from({length: minionsPerZone}, async (_, index) => startMinionStandIn({
		id: `i-${zone}-${index}`,
		zone,
		upstream,
		checker,
		capacity,
		leaseMs,
		workMs: task => workMsByJob.get(task.slice(0, task.indexOf('.'))) ?? 0,
	}))));
	const lapsedIds = new Set<string>();
	const writeHeartbeats = () => {
		for (const minion of minions.filter(({id}) => !lapsedIds.has(id))) {
			store.write('keyed.servers', minion.id, minion.createRegistryEntry());
		}
	};

	writeHeartbeats();
	const heartbeatTimer = setInterval(writeHeartbeats, heartbeatMs);
	store.write('keyed.op', 'config', JSON.stringify({
		version: 1,
		routes: [{
			name: 'r', host: hostName, path_prefix: '/read/', service: upstream, priority: 0, max_attempts: 3, stretch: 2, target_latency_ms: 1000,
		}],
		services: [{name: upstream}],
	}));
	const folder = mkdtempSync(path.join(tmpdir(), 'chivestream-process-site-'));
	const hosts = zones.map((zone, index) => new HostProcess({
		name: `h${index}`,
		zone,
		ip: `127.${1 + (Math.floor(process.pid / usableByteValues) % usableByteValues)}.${1 + (process.pid % usableByteValues)}.${index + 1}`,
		store: store.address,
		seeds: [],
		folder,
		program,
		leaseMs,
		preload,
	}));
	const first = hosts.filter(({options: {zone}}, index) => zones.indexOf(zone) === index);
	for (const host of first) {
		host.start();
	}

	await until(() => minions.every(minion => minion.highestToken() > 0));
	for (const host of hosts) {
		host.start();
	}

	await until(async () => (await Promise.all(hosts.map(async host => isReady(host)))).every(Boolean));
	return {
		hosts,
		minions,
		checker,
		async submit(hostIndex, id, workMs) {
			checker.recordJob(id, taskMillicores);
			workMsByJob.set(id, workMs);
			return request(`http://${hosts[hostIndex]!.options.ip}:${hostPorts.callers}/read/${id}`, {
				method: 'POST',
				headers: {host: hostName, 'chivestream-deadline-ms': '8000'},
				body: JSON.stringify({
					task_spec: 'x',
					best_effort: true,
					steps: [{
						count: 1, cpu: taskMillicores, mem_mb: 64, estimate_ms: workMs,
					}],
				}),
			}).then(async ({statusCode, body}) => {
				await body.dump();
				return statusCode;
			}, () => undefined);
		},
		lapse(lapsing) {
			for (const {id} of lapsing) {
				lapsedIds.add(id);
				store.write('keyed.servers', id, '');
			}
		},
		async close() {
			clearInterval(heartbeatTimer);
			await Promise.all(hosts.map(async host => host.close()));
			await Promise.all(minions.map(async minion => minion.close()));
			await store.close();
		},
	};
};
