/** Nine entry hosts in three zones in one process, over links, streams and minions in memory. */
import {
	createIncarnation, createRandom, silentLogger, type Clock, type Host, type Random,
} from 'chivestream-core';
import {createEntryHost, type EntryHost, type HostParts} from 'chivestream-entry';
import {type Stream} from 'chivestream-log';
import {type MemoryStream} from 'chivestream-stand-ins';
import {Ok, type Result} from 'ts-results-es';
import {createHostRun, type HostRun} from './host-run.js';
import {
	type Links, type Place, platformPlace,
} from './links.js';
import {type MemoryMinions} from './memory-minions.js';
import {createMemoryPeers, type Callee} from './memory-peers.js';

/** A running entry host of the cluster. */
export type ClusterHost = Callee & {
	configurationStream: Stream;
	startedAt: number;
	/** When a fault last touched it. */
	disturbedAt: number;
	/** Callers' requests in progress. */
	openCalls: Set<Record<string, unknown>>;
	isLeaving: boolean;
};

/** What a cluster is made of. */
export type ClusterOptions = {
	clock: Clock;
	random: Random;
	links: Links;
	configurationStream: MemoryStream;
	claimsStream: MemoryStream;
	minions: MemoryMinions;
	parts: Partial<HostParts>;
	keyEpochMs: number;
	/** Most that a host's clock is off. */
	maxSkewMs: number;
	/** How late the platform's list of hosts is. */
	listLagMs: number;
};

/** The entry hosts of a run. */
export type Cluster = {
	places: readonly Place[];
	/** Whether a host runs at a place now. */
	isRunning: (hostId: string) => boolean;
	hosts: () => ClusterHost[];
	start: (place: Place) => ClusterHost;
	kill: (host: ClusterHost) => void;
	/** A planned stop; resolves with the number of requests that it cut. */
	stop: (host: ClusterHost, waits: boolean) => Promise<number>;
};

/** Zones of every run. */
export const zones = ['a', 'b', 'c'] as const;

const hostsPerZone = 3;
const drainMs = 30_000;
const longestStopMs = 60_000;
const stopPollMs = 50;
const maxRememberedJobs = 1_000_000;
const maxRememberedBytes = 100_000_000;

const addressOf = (hostId: string) => `${hostId}:7200`;

/** The stream as one run of a host sees it: nothing reaches a paused or ended run. */
const gateStream = (run: HostRun, stream: Stream, clock: Clock): Stream => ({
	async append(value) {
		const result = await stream.append(value);
		await run.gate();
		return result;
	},
	async read(range) {
		// The host's clock may be off; what counts is how long it is ready to wait.
		const waitMs = range.waitDeadline - run.clock.now();
		const result = await stream.read({...range, waitDeadline: clock.now() + waitMs});
		await run.gate();
		return result;
	},
});

/** Builds a cluster of which no host runs yet. */
export const createCluster = (options: ClusterOptions): Cluster => {
	const {
		clock, random, links, minions,
	} = options;
	const places = zones.flatMap(zone => Array.from({length: hostsPerZone}, (_, index) => ({name: `${zone}${index + 1}`, zone})));
	const skews = new Map(places.map(({name}) => [name, Math.round((random() - 0.5) * 2 * options.maxSkewMs)]));
	const running = new Map<string, ClusterHost>();
	const listChanges: Array<{at: number; ids: string[]}> = [];

	const noteList = () => {
		listChanges.push({at: clock.now(), ids: [...running.keys()]});
	};

	const listHosts = () => {
		const seen = listChanges.findLast(({at}) => at <= clock.now() - options.listLagMs);
		return (seen?.ids ?? []).map(id => ({
			id, zone: id.slice(0, 1), address: addressOf(id), state: 'live' as const,
		}));
	};

	const connect = (run: HostRun, place: Place, stream: MemoryStream): Stream =>
		gateStream(run, stream.connect(() => links.isCut(place, platformPlace) || links.isCut(platformPlace, place)), clock);

	const findByAddress = (address: string) => running.get(address.split(':')[0] ?? '');

	const build = (run: HostRun, place: Place, hostRandom: Random, configurationStream: Stream): EntryHost => {
		const self: Host = {
			id: place.name,
			region: 'r',
			zone: place.zone,
			incarnation: run.incarnation,
			peerAddress: addressOf(place.name),
			callerAddress: `${place.name}:7100`,
			operatorAddress: `${place.name}:7300`,
		};
		return createEntryHost({
			self,
			clock: run.clock,
			random: hostRandom,
			logger: silentLogger,
			links: {
				configurationStream,
				claimsStream: connect(run, place, options.claimsStream),
				async listHosts(): Promise<Result<ReturnType<typeof listHosts>, never>> {
					await run.gate();
					return Ok(listHosts());
				},
				peers: createMemoryPeers({
					run, place, links, findCallee: findByAddress,
				}),
				onDeclarations() {
				// The minions of the run hold no connections.
				},
				runAttempt: async order => minions.runAttempt(run, place, order),
			},
			limits: {
				maxRememberedJobs, maxRememberedBytes, keyEpochMs: options.keyEpochMs, drainMs,
			},
			seeds: places.map(({name, zone}) => ({id: name, zone, address: addressOf(name)})),
			parts: options.parts,
		});
	};

	const remove = (host: ClusterHost) => {
		if (running.get(host.place.name) === host) {
			running.delete(host.place.name);
			noteList();
		}

		host.run.end();
	};

	const waitForCalls = async (host: ClusterHost, deadline: number) => {
		while (host.openCalls.size > 0 && clock.now() < deadline && host.run.isAlive()) {
			// eslint-disable-next-line no-await-in-loop -- polls until idle
			await new Promise<void>(resolve => {
				clock.at(clock.now() + stopPollMs, resolve);
			});
		}
	};

	return {
		places,
		isRunning: hostId => running.has(hostId),
		hosts: () => [...running.values()],
		start(place) {
			const hostRandom = createRandom(Math.floor(random() * (2 ** 31)));
			const run = createHostRun({
				hostId: place.name,
				zone: place.zone,
				incarnation: createIncarnation(clock.now(), hostRandom),
				clock,
				skewMs: skews.get(place.name) ?? 0,
			});
			const configurationStream = connect(run, place, options.configurationStream);
			const host = build(run, place, hostRandom, configurationStream);
			const entry: ClusterHost = {
				run, host, place, configurationStream, startedAt: clock.now(), disturbedAt: clock.now(), openCalls: new Set(), isLeaving: false,
			};
			running.set(place.name, entry);
			noteList();
			host.start();
			return entry;
		},
		kill(host) {
			remove(host);
		},
		async stop(host, waits) {
			host.isLeaving = true;
			const deadline = clock.now() + longestStopMs;
			if (waits) {
				await Promise.race([host.host.drain(), host.run.ended]);
				await waitForCalls(host, deadline);
			}

			if (!host.run.isAlive()) {
				return 0;
			}

			const cut = host.openCalls.size;
			remove(host);
			return cut;
		},
	};
};
