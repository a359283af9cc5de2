/** Monitors which configuration each host has in force, and compares it with the log. */
import {
	type Clock, type Random, pickRandom, type Configuration,
} from 'chivestream-core';
import {applyRecord, initialState, type State} from 'chivestream-configuration';
import {type MemoryStream} from 'chivestream-stand-ins';
import {zones, type Cluster, type ClusterHost} from './cluster.js';
import {type Links, type Endpoint, platformEndpoint} from './links.js';
import {type AcceptedCommand} from './operators.js';
import {type TaskStart} from './memory-minions.js';

/** Observes the configuration of a cluster; times are in milliseconds. */
export type ConfigurationMonitor = {
	/** How often a host or a caller saw an older version than before. */
	reverts: () => number;
	/** How often a caller that sends no version would have seen an older one than before. */
	staleViews: () => number;
	/** Longest time from a version in the log until a host without faults had it in force. */
	inForceMs: () => number;
	/** Checks every host now, and reads the version of one host per caller. */
	check: () => void;
	/** Longest time from a drain in the log until a start on the drained minion by a host that had no fault in between. */
	newWorkAfterLeaveMs: (starts: Iterable<readonly TaskStart[]>) => number;
	/** Number of accepted commands that the log does not confirm. */
	lostCommands: (accepted: readonly AcceptedCommand[]) => number;
};

/** Dependencies and settings of the monitor. */
export type MonitorOptions = {
	clock: Clock;
	random: Random;
	links: Links;
	cluster: Cluster;
	/** The log of configuration records. */
	stream: MemoryStream;
	/** Whether callers send the version that they saw last. */
	sendsSeenVersion: boolean;
};

type VersionRecord = {version: number; at: number; configuration: Configuration; baseVersion: number};
type SimulatedCaller = {zone: string; seenVersion: number};

const callersPerZone = 3;
/** How long after a fault a host still counts as disturbed. */
const settlingMs = 1000;
const reachVersionTimeoutMs = 2000;

/** Creates a monitor of one cluster. */
export const createConfigurationMonitor = ({
	clock, random, links, cluster, stream, sendsSeenVersion,
}: MonitorOptions): ConfigurationMonitor => {
	const callers: SimulatedCaller[] = zones.flatMap(zone => Array.from({length: callersPerZone}, () => ({zone, seenVersion: 0})));
	const highestVersions = new WeakMap<ClusterHost, number>();
	/** Spans of time in which a fault affected a host, by host id. */
	const disturbances = new Map<string, Array<{from: number; until: number}>>();
	const versions: VersionRecord[] = [];
	let state: State = initialState;
	let readUpTo = 0;
	let reverts = 0;
	let staleViews = 0;
	let inForceMs = 0;

	const readLog = () => {
		for (const record of stream.records().slice(readUpTo)) {
			const before = state.configuration.version;
			state = applyRecord(state, record);
			readUpTo = record.offset + 1;
			if (state.configuration.version > before) {
				versions.push({
					version: state.configuration.version, at: record.at, configuration: state.configuration, baseVersion: before,
				});
			}
		}
	};

	const isReachable = (endpoint: Endpoint) => {
		const others = [platformEndpoint, ...cluster.endpoints];
		return others.every(other => !links.isCut(endpoint, other) && !links.isCut(other, endpoint));
	};

	const isLogHealthy = () => clock.now() >= stream.faults.outageUntil && stream.faults.latencyMs < settlingMs / 10;

	const recordDisturbance = ({endpoint, process, host, disturbedAt}: ClusterHost) => {
		const isDisturbed = process.isPaused() || !isReachable(endpoint) || !isLogHealthy() || host.follower.inForce === undefined
			|| links.faults.lostAnswers > 0 || links.faults.delays > 0;
		const spans = disturbances.get(endpoint.name) ?? [];
		disturbances.set(endpoint.name, spans);
		const last = spans.at(-1);
		const now = clock.now();
		if (!isDisturbed && disturbedAt <= (last?.until ?? -1)) {
			return;
		}

		const until = isDisturbed ? now : disturbedAt;
		if (last && until - last.until <= settlingMs) {
			last.until = Math.max(last.until, until);
		} else {
			spans.push({from: until, until});
		}
	};

	const wasDisturbed = (hostId: string, from: number, until: number) =>
		(disturbances.get(hostId) ?? []).some(span => span.until + settlingMs >= from && span.from <= until);

	const versionInForce = ({host}: ClusterHost) => host.peerHandlers.readConfiguration()?.version ?? 0;

	/** Measures the time until the first check that finds a version in force; it grows with every check that does not. */
	const measureInForce = (host: ClusterHost, before: number) => {
		for (const {version, at} of versions) {
			if (version > before && at >= host.startedAt && !wasDisturbed(host.endpoint.name, at, clock.now())) {
				inForceMs = Math.max(inForceMs, clock.now() - at);
			}
		}
	};

	const checkHost = (host: ClusterHost) => {
		const version = versionInForce(host);
		const before = highestVersions.get(host) ?? 0;
		if (version < before) {
			reverts += 1;
		}

		highestVersions.set(host, Math.max(before, version));
		measureInForce(host, before);
	};

	/** Reads the version of a random host in the caller's zone. A caller that sends the version it saw last must never see an older one. */
	const readAsCaller = async (caller: SimulatedCaller) => {
		const candidates = cluster.hosts().filter(({endpoint, process, host}) => endpoint.zone === caller.zone && !process.isPaused() && host.callerHandlers.isReady());
		if (candidates.length === 0) {
			return;
		}

		const target = pickRandom(random, candidates);
		const {seenVersion} = caller;
		staleViews += versionInForce(target) < seenVersion ? 1 : 0;
		const isReached = !sendsSeenVersion || await target.host.callerHandlers.reachVersion(seenVersion, target.process.clock.now() + reachVersionTimeoutMs);
		if (!isReached) {
			return;
		}

		const version = versionInForce(target);
		reverts += version < seenVersion ? 1 : 0;
		caller.seenVersion = Math.max(caller.seenVersion, version);
	};

	/** When the drain that was in effect at the given time was accepted; undefined if the minion was not drained. */
	const drainedSince = (minionId: string, at: number): number | undefined => {
		let since: number | undefined;
		for (const {configuration, at: acceptedAt} of versions) {
			if (acceptedAt > at) {
				break;
			}

			const isDrained = configuration.declarations.drains.includes(minionId);
			since = isDrained ? since ?? acceptedAt : undefined;
		}

		return since;
	};

	return {
		reverts: () => reverts,
		staleViews: () => staleViews,
		inForceMs: () => Math.round(inForceMs),
		check() {
			readLog();
			for (const host of cluster.hosts()) {
				recordDisturbance(host);
				checkHost(host);
			}

			for (const caller of callers) {
				void readAsCaller(caller);
			}
		},
		newWorkAfterLeaveMs(starts) {
			let longest = 0;
			for (const list of starts) {
				for (const {minionId, hostId, at} of list) {
					const since = drainedSince(minionId, at);
					if (since !== undefined && !wasDisturbed(hostId, since, at)) {
						longest = Math.max(longest, at - since);
					}
				}
			}

			return Math.round(longest);
		},
		lostCommands(accepted) {
			readLog();
			return accepted.filter(({command, version}) => {
				const record = versions.find(other => other.version === version);
				return record === undefined || command.baseVersion !== version - 1;
			}).length;
		},
	};
};
