/** A whole system on loopback: platform, minions, balancer and entry hosts in several zones. */
import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {type Declarations, type Team, type Upstream} from 'chivestream-core';
import {request} from 'undici';
import {launchReadyEntries} from './entry-group.js';
import {type LaunchedEntry} from './launched-entry.js';
import {type LaunchedProcess} from './launched-process.js';
import {launchStandIn, type LaunchedStandIn} from './launched-stand-in.js';
import {launchFleet, type Fleet, type FleetOptions} from './upstream-fleet.js';

/** What to start. */
export type ClusterOptions = {
	zones: readonly string[];
	hostsPerZone: number;
	fleets: Array<Omit<FleetOptions, 'zones' | 'seed'> & Pick<Upstream, 'preference'>>;
	teams: Record<string, Team>;
	seed: number;
	/** How long the host list lags. */
	hostListLagMs: number;
	/** Options of Node.js for the entry hosts. */
	nodeOptions?: string[];
	/** Limits in the settings of the entry hosts. */
	limits?: Record<string, number>;
};

/** A running system. */
export type Cluster = {
	log: LaunchedStandIn;
	hosts: LaunchedStandIn;
	balancer: LaunchedStandIn;
	entries: LaunchedEntry[];
	fleets: Fleet[];
	/** Appends a configuration command to the log; the first is number 0. */
	publish: (baseVersion: number, change: unknown) => Promise<void>;
	/** Ends every process, each by its id. */
	stop: () => Promise<void>;
};

const stopTimeoutMs = 5000;
const maxDeadlineMs = 60_000;
const retryRatio = 0.2;
const maxTasksPerJob = 180;

const sendJson = async (method: 'POST' | 'PUT', url: string, payload: unknown) => {
	const {statusCode, body} = await request(url, {method, body: JSON.stringify(payload)});
	const text = await body.text();
	if (statusCode >= 300) {
		throw new Error(`${method} ${url} answered ${statusCode}: ${text}`);
	}
};

const createDeclarations = (options: ClusterOptions, fleets: Fleet[]): Declarations => ({
	upstreams: Object.fromEntries(fleets.map((fleet, index) => [fleet.upstream, {
		minions: fleet.minions.map(({speed, ...minion}) => minion),
		workers: [],
		notStartedStatuses: [503],
		preference: options.fleets[index]!.preference,
	}])),
	teams: options.teams,
	drains: [],
	limits: {maxTasksPerJob, maxDeadlineMs, retryRatio},
	objectives: [],
});

/** Starts everything and waits until all entry hosts take jobs. What was started is ended when a part fails. */
export const startCluster = async (options: ClusterOptions): Promise<Cluster> => {
	const processes: LaunchedProcess[] = [];
	const directory = await mkdtemp(join(tmpdir(), 'chivestream-cluster-'));

	const stop = async () => {
		const deadline = Date.now() + stopTimeoutMs;
		await Promise.all(processes.map(async process => process.stop(deadline)));
		await rm(directory, {recursive: true});
	};

	const launchTracked = async (kind: string, flags: Record<string, string | number> = {}): Promise<LaunchedStandIn> => {
		const standIn = await launchStandIn(kind, flags);
		processes.push(standIn.process);
		return standIn;
	};

	const launchFleets = async (): Promise<Fleet[]> => Promise.all(options.fleets.map(async (fleet, index) => {
		const launched = await launchFleet({...fleet, zones: options.zones, seed: options.seed + (index * 1000)});
		processes.push(...launched.processes);
		return launched;
	}));

	const start = async (): Promise<Cluster> => {
		const [log, hosts, balancer, fleets] = await Promise.all([
			launchTracked('log'),
			launchTracked('hosts', {'lag-ms': options.hostListLagMs}),
			launchTracked('balancer'),
			launchFleets(),
		]);

		const publish = async (baseVersion: number, change: unknown) => sendJson('POST', `http://${log.address}/streams/configuration/records`, {
			kind: 'command', commandId: `cluster-${baseVersion}`, baseVersion, author: 'cluster', change,
		});

		await publish(0, {kind: 'replace', declarations: createDeclarations(options, fleets)});
		const entries = await launchReadyEntries({
			...options,
			logAddress: log.address,
			hostsAddress: hosts.address,
			directory,
			onLaunch(entry) {
				processes.push(entry.process);
			},
		});
		await sendJson('PUT', `http://${hosts.address}/hosts`, {
			hosts: entries.map(({id, zone, peerAddress}) => ({
				id, zone, address: peerAddress, state: 'live',
			})),
		});
		await sendJson('PUT', `http://${balancer.controlAddress}/targets`, {
			targets: entries.map(entry => ({address: entry.callerAddress})),
		});
		return {
			log, hosts, balancer, entries, fleets, publish, stop,
		};
	};

	try {
		return await start();
	} catch (error) {
		await stop();
		throw error;
	}
};
