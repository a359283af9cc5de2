/** Watches which configuration is in force where, from outside, and compares it with the log. */
import {
	type Clock, type Random, pickRandom, type Configuration,
} from 'chivestream-core';
import {applyRecord, initialState, type State} from 'chivestream-configuration';
import {type MemoryStream} from 'chivestream-stand-ins';
import {zones, type Cluster, type ClusterHost} from './cluster.js';
import {type Links, type Place, platformPlace} from './links.js';
import {type AcceptedCommand} from './operators.js';
import {type TaskStart} from './memory-minions.js';

/** What was seen of the configuration. */
export type ConfigurationWatch = {
	reverts: () => number;
	/** How often a caller that names no version would have seen an older one than before. */
	staleViews: () => number;
	inForceMs: () => number;
	/** Looks at every host now. */
	look: () => void;
	/** Longest time between a drain in the log and a start on the drained minion by a host that was reachable all the time. */
	newWorkAfterLeaveMs: (starts: Iterable<readonly TaskStart[]>) => number;
	/** Accepted commands that the log's fold does not confirm. */
	lostCommands: (accepted: readonly AcceptedCommand[]) => number;
};

/** What the watch works with. */
export type WatchOptions = {
	clock: Clock;
	random: Random;
	links: Links;
	cluster: Cluster;
	stream: MemoryStream;
	/** Whether callers name the version that they saw last. */
	namesVersion: boolean;
};

type VersionRecord = {version: number; at: number; configuration: Configuration; baseVersion: number};
type Caller = {zone: string; seen: number};

const callersPerZone = 3;
const settledMs = 1000;
const reachVersionMs = 2000;

/** A watch over one cluster. */
export const createConfigurationWatch = ({
	clock, random, links, cluster, stream, namesVersion,
}: WatchOptions): ConfigurationWatch => {
	const callers: Caller[] = zones.flatMap(zone => Array.from({length: callersPerZone}, () => ({zone, seen: 0})));
	const highest = new WeakMap<ClusterHost, number>();
	/** For each run of a host, the time from which it has had no fault. */
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

	const isReachable = (place: Place) => {
		const others = [platformPlace, ...cluster.places];
		return others.every(other => !links.isCut(place, other) && !links.isCut(other, place));
	};

	const isLogWhole = () => clock.now() >= stream.faults.outageUntil && stream.faults.latencyMs < settledMs / 10;

	const noteDisturbance = ({place, run, host, disturbedAt}: ClusterHost) => {
		const isDisturbed = run.isPaused() || !isReachable(place) || !isLogWhole() || host.follower.inForce === undefined
			|| links.faults.lostAnswers > 0 || links.faults.delays > 0;
		const list = disturbances.get(place.name) ?? [];
		disturbances.set(place.name, list);
		const last = list.at(-1);
		const now = clock.now();
		if (!isDisturbed && disturbedAt <= (last?.until ?? -1)) {
			return;
		}

		const until = isDisturbed ? now : disturbedAt;
		if (last && until - last.until <= settledMs) {
			last.until = Math.max(last.until, until);
		} else {
			list.push({from: until, until});
		}
	};

	const wasDisturbed = (hostId: string, from: number, until: number) =>
		(disturbances.get(hostId) ?? []).some(span => span.until + settledMs >= from && span.from <= until);

	const versionAt = ({host}: ClusterHost) => host.peerHandlers.readConfiguration()?.version ?? 0;

	/** Measures until the first look that finds a version in force, or on and on while none does. */
	const measureInForce = (host: ClusterHost, before: number) => {
		for (const {version, at} of versions) {
			if (version > before && at >= host.startedAt && !wasDisturbed(host.place.name, at, clock.now())) {
				inForceMs = Math.max(inForceMs, clock.now() - at);
			}
		}
	};

	const lookAtHost = (host: ClusterHost) => {
		const version = versionAt(host);
		const before = highest.get(host) ?? 0;
		if (version < before) {
			reverts += 1;
		}

		highest.set(host, Math.max(before, version));
		measureInForce(host, before);
	};

	/** A caller asks one host of its zone after the other, naming the version that it saw last, and must never see an older one. */
	const moveCaller = async (caller: Caller) => {
		const candidates = cluster.hosts().filter(({place, run, host}) => place.zone === caller.zone && !run.isPaused() && host.callerHandlers.isReady());
		if (candidates.length === 0) {
			return;
		}

		const target = pickRandom(random, candidates);
		const {seen} = caller;
		staleViews += versionAt(target) < seen ? 1 : 0;
		const isReached = !namesVersion || await target.host.callerHandlers.reachVersion(seen, target.run.clock.now() + reachVersionMs);
		if (!isReached) {
			return;
		}

		const version = versionAt(target);
		reverts += version < seen ? 1 : 0;
		caller.seen = Math.max(caller.seen, version);
	};

	const isDrainedSince = (minionId: string, at: number): number | undefined => {
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
		look() {
			readLog();
			for (const host of cluster.hosts()) {
				noteDisturbance(host);
				lookAtHost(host);
			}

			for (const caller of callers) {
				void moveCaller(caller);
			}
		},
		newWorkAfterLeaveMs(starts) {
			let longest = 0;
			for (const list of starts) {
				for (const {minionId, hostId, at} of list) {
					const since = isDrainedSince(minionId, at);
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
