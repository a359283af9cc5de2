/** Nine entry hosts in three zones, run in one process over in-memory links, streams and minions. */
import {
	createIncarnation, createRandom, silentLogger, type Clock, type Host, type Random,
} from 'chivestream-core';
import {createEntryHost, type EntryHost, type HostParts} from 'chivestream-entry';
import {type Stream} from 'chivestream-log';
import {type MemoryStream} from 'chivestream-stand-ins';
import {Ok, type Result} from 'ts-results-es';
import {createHostProcess, type HostProcess} from './host-process.js';
import {
	type Links, type Endpoint, platformEndpoint,
} from './links.js';
import {type MemoryMinions} from './memory-minions.js';
import {createMemoryPeers, type Callee} from './memory-peers.js';

/** A running entry host of the cluster. */
export type ClusterHost = Callee & {
	configurationStream: Stream;
	/** In milliseconds of the run's clock. */
	startedAt: number;
	/** When a fault last affected the host, in milliseconds of the run's clock. */
	disturbedAt: number;
	/** Requests of callers in progress. */
	openCalls: Set<Record<string, unknown>>;
	/** Whether a planned stop has started. */
	isLeaving: boolean;
};

/** Dependencies and settings of a cluster. */
export type ClusterOptions = {
	clock: Clock;
	random: Random;
	links: Links;
	configurationStream: MemoryStream;
	claimsStream: MemoryStream;
	minions: MemoryMinions;
	/** Parts of every entry host that replace the usual ones. */
	parts: Partial<HostParts>;
	keyEpochMs: number;
	/** Largest deviation of a host's clock in either direction, in milliseconds. */
	maxSkewMs: number;
	/** How late changes appear in the platform's list of hosts, in milliseconds. */
	hostListLagMs: number;
};

/** The entry hosts of a run. */
export type Cluster = {
	/** Endpoints of all hosts, running or not. */
	endpoints: readonly Endpoint[];
	/** Whether a process of the host runs now; a paused one counts as running. */
	isRunning: (hostId: string) => boolean;
	/** Running hosts, paused ones included. */
	hosts: () => ClusterHost[];
	start: (endpoint: Endpoint) => ClusterHost;
	kill: (host: ClusterHost) => void;
	/** Performs a planned stop; resolves with the number of requests that it cut. */
	stop: (host: ClusterHost, waitsForRequests: boolean) => Promise<number>;
};

/** Zones of every run. */
export const zones = ['a', 'b', 'c'] as const;

const hostsPerZone = 3;
const drainMs = 30_000;
const maxStopMs = 60_000;
const stopPollMs = 50;
const maxRememberedJobs = 1_000_000;
const maxRememberedBytes = 100_000_000;

const peerAddressOf = (hostId: string) => `${hostId}:7200`;

/** A stream whose replies reach the host only while its process is active. */
const gateStream = (process: HostProcess, stream: Stream, clock: Clock): Stream => ({
	async append(value) {
		const result = await stream.append(value);
		await process.waitUntilActive();
		return result;
	},
	async read(range) {
		// The deadline is in the host's clock, which may be skewed; only the length of the wait counts.
		const waitMs = range.waitDeadline - process.clock.now();
		const result = await stream.read({...range, waitDeadline: clock.now() + waitMs});
		await process.waitUntilActive();
		return result;
	},
});

/** Creates a cluster without running hosts. */
export const createCluster = (options: ClusterOptions): Cluster => {
	const {
		clock, random, links, minions,
	} = options;
	const endpoints = zones.flatMap(zone => Array.from({length: hostsPerZone}, (_, index) => ({name: `${zone}${index + 1}`, zone})));
	const skews = new Map(endpoints.map(({name}) => [name, Math.round((random() - 0.5) * 2 * options.maxSkewMs)]));
	const running = new Map<string, ClusterHost>();
	const hostListHistory: Array<{at: number; ids: string[]}> = [];

	const recordHostList = () => {
		hostListHistory.push({at: clock.now(), ids: [...running.keys()]});
	};

	const listHosts = () => {
		const visible = hostListHistory.findLast(({at}) => at <= clock.now() - options.hostListLagMs);
		return (visible?.ids ?? []).map(id => ({
			id, zone: id.slice(0, 1), address: peerAddressOf(id), state: 'live' as const,
		}));
	};

	const connectStream = (process: HostProcess, endpoint: Endpoint, stream: MemoryStream): Stream =>
		gateStream(process, stream.connect(() => links.isCut(endpoint, platformEndpoint) || links.isCut(platformEndpoint, endpoint)), clock);

	const findHostByAddress = (address: string) => running.get(address.split(':')[0] ?? '');

	const createHost = (process: HostProcess, endpoint: Endpoint, hostRandom: Random, configurationStream: Stream): EntryHost => {
		const self: Host = {
			id: endpoint.name,
			region: 'r',
			zone: endpoint.zone,
			incarnation: process.incarnation,
			peerAddress: peerAddressOf(endpoint.name),
			callerAddress: `${endpoint.name}:7100`,
			operatorAddress: `${endpoint.name}:7300`,
		};
		return createEntryHost({
			self,
			clock: process.clock,
			random: hostRandom,
			logger: silentLogger,
			links: {
				configurationStream,
				claimsStream: connectStream(process, endpoint, options.claimsStream),
				async listHosts(): Promise<Result<ReturnType<typeof listHosts>, never>> {
					await process.waitUntilActive();
					return Ok(listHosts());
				},
				peers: createMemoryPeers({
					process, endpoint, links, findCallee: findHostByAddress,
				}),
				onDeclarations() {
				// In-memory minions have no connections to update.
				},
				runAttempt: async order => minions.runAttempt(process, endpoint, order),
			},
			limits: {
				maxRememberedJobs, maxRememberedBytes, keyEpochMs: options.keyEpochMs, drainMs,
			},
			seeds: endpoints.map(({name, zone}) => ({id: name, zone, address: peerAddressOf(name)})),
			parts: options.parts,
		});
	};

	const remove = (host: ClusterHost) => {
		if (running.get(host.endpoint.name) === host) {
			running.delete(host.endpoint.name);
			recordHostList();
		}

		host.process.end();
	};

	const waitForCalls = async (host: ClusterHost, deadline: number) => {
		while (host.openCalls.size > 0 && clock.now() < deadline && host.process.isAlive()) {
			// eslint-disable-next-line no-await-in-loop -- polls until no request is in progress
			await new Promise<void>(resolve => {
				clock.at(clock.now() + stopPollMs, resolve);
			});
		}
	};

	return {
		endpoints,
		isRunning: hostId => running.has(hostId),
		hosts: () => [...running.values()],
		start(endpoint) {
			const hostRandom = createRandom(Math.floor(random() * (2 ** 31)));
			const process = createHostProcess({
				hostId: endpoint.name,
				zone: endpoint.zone,
				incarnation: createIncarnation(clock.now(), hostRandom),
				clock,
				skewMs: skews.get(endpoint.name) ?? 0,
			});
			const configurationStream = connectStream(process, endpoint, options.configurationStream);
			const host = createHost(process, endpoint, hostRandom, configurationStream);
			const clusterHost: ClusterHost = {
				process, host, endpoint, configurationStream, startedAt: clock.now(), disturbedAt: clock.now(), openCalls: new Set(), isLeaving: false,
			};
			running.set(endpoint.name, clusterHost);
			recordHostList();
			host.start();
			return clusterHost;
		},
		kill(host) {
			remove(host);
		},
		async stop(host, waitsForRequests) {
			host.isLeaving = true;
			const deadline = clock.now() + maxStopMs;
			if (waitsForRequests) {
				await Promise.race([host.host.drain(), host.process.ended]);
				await waitForCalls(host, deadline);
			}

			if (!host.process.isAlive()) {
				return 0;
			}

			const cutRequests = host.openCalls.size;
			remove(host);
			return cutRequests;
		},
	};
};
