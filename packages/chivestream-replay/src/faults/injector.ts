/** Injects each planned fault and heals it at its end. */
import {pickRandom, type Clock, type Random} from 'chivestream-core';
import {type MemoryStream} from 'chivestream-stand-ins';
import {type Callers} from './callers.js';
import {zones, type Cluster, type ClusterHost} from './cluster.js';
import {faultKind, type Fault, type FaultKind} from './fault-plan.js';
import {platformEndpoint, type Cut, type Links} from './links.js';
import {minionMode, type MemoryMinion, type MinionMode} from './memory-minions.js';

/** Parts of a run that faults act on. */
export type InjectorOptions = {
	clock: Clock;
	random: Random;
	cluster: Cluster;
	links: Links;
	callers: Callers;
	/** Streams of the log. */
	streams: readonly MemoryStream[];
	minions: readonly MemoryMinion[];
	/** Whether a planned stop waits for requests in progress. */
	plannedStopsWait: boolean;
};

/** Injects the faults of a run. */
export type Injector = {
	/** Number of faults that have started, by kind. */
	counts: Record<string, number>;
	/** Number of requests that planned stops have cut. */
	cutByStop: () => number;
	/** Injects a fault when its time comes. */
	schedule: (fault: Fault) => void;
	/** Ends every fault in effect and starts every host that is down. */
	healAll: () => void;
	/** Resolves once every planned stop has ended. */
	settled: () => Promise<void>;
};

/** Share of minions, or of hosts, that one fault affects. */
const affectedShare = 0.2;
const faultyMessageShare = 0.15;
const slowLogLatencyMs = 800;
const normalLogLatencyMs = 4;
const lostAppendAnswerShare = 0.6;
const minHostsPerZone = 2;
const maxClockJumpMs = 5000;
/** How long a replaced process runs beside its replacement after it resumes. */
const staleProcessMs = 3000;
/** Age above which a retention fault deletes records. */
const retentionMs = 8000;

type MinionFault = Extract<FaultKind, `minion-${MinionMode}`>;

const modeOfFault: Record<MinionFault, MinionMode> = {
	[faultKind.minionFailing]: minionMode.failing,
	[faultKind.minionHanging]: minionMode.hanging,
	[faultKind.minionStraggling]: minionMode.straggling,
	[faultKind.minionCrossing]: minionMode.crossing,
	[faultKind.minionRepeating]: minionMode.repeating,
	[faultKind.minionRefusing]: minionMode.refusing,
	[faultKind.minionDead]: minionMode.dead,
};

const isMinionFault = (kind: FaultKind): kind is MinionFault => Object.hasOwn(modeOfFault, kind);

const isBetween = (left: string, right: string, from: string, to: string) =>
	(from === left && to === right) || (from === right && to === left);

/** Creates the injector of one run. */
export const createInjector = (options: InjectorOptions): Injector => {
	const {
		clock, random, cluster, links, callers, streams, minions,
	} = options;
	const counts: Record<string, number> = {};
	const pendingHeals = new Set<() => void>();
	const plannedStops = new Set<Promise<void>>();
	let cutByStop = 0;

	const markDisturbed = (hosts: readonly ClusterHost[]) => {
		for (const host of hosts) {
			host.disturbedAt = clock.now();
		}
	};

	/** Calls back once: at the end of a fault, or earlier on `healAll`. */
	const healAt = (until: number, heal: () => void) => {
		const healOnce = () => {
			if (pendingHeals.delete(healOnce)) {
				heal();
			}
		};

		pendingHeals.add(healOnce);
		clock.at(until, healOnce);
	};

	const addCut = (cut: Cut, until: number, isAffected: (host: ClusterHost) => boolean) => {
		links.cuts.add(cut);
		healAt(until, () => {
			links.cuts.delete(cut);
			markDisturbed(cluster.hosts().filter(host => isAffected(host)));
		});
	};

	/** Whether a fault may take the host down and still leave another host of its zone running. */
	const isExpendable = (host: ClusterHost) => !host.process.isPaused() && !host.isLeaving
		&& cluster.hosts().filter(({endpoint, process}) => endpoint.zone === host.endpoint.zone && !process.isPaused()).length >= minHostsPerZone;

	const pickExpendableHost = (): ClusterHost | undefined => {
		const expendable = cluster.hosts().filter(host => isExpendable(host));
		return expendable.length > 0 ? pickRandom(random, expendable) : undefined;
	};

	const restartAt = (host: ClusterHost, until: number) => {
		healAt(until, () => {
			const {name} = host.endpoint;
			if (!cluster.isRunning(name)) {
				cluster.start(host.endpoint);
			}
		});
	};

	const stopAndRestart = async (host: ClusterHost, until: number) => {
		cutByStop += await cluster.stop(host, options.plannedStopsWait);
		restartAt(host, Math.max(clock.now() + 1, until));
	};

	/** Pauses a host and starts a second process at its address; the paused process resumes later and runs for a while. */
	const pauseAndReplace = (until: number) => {
		const host = pickExpendableHost();
		if (!host) {
			return;
		}

		host.process.pause();
		clock.at(clock.now() + ((until - clock.now()) / 2), () => {
			cluster.start(host.endpoint);
		});
		healAt(until, () => {
			host.process.resume();
		});
		clock.at(until + staleProcessMs, () => {
			cluster.kill(host);
		});
	};

	const dropOldRecords = (stream: MemoryStream) => {
		const firstRetained = stream.records().findIndex(({at}) => at >= clock.now() - retentionMs);
		stream.dropBelow(firstRetained === -1 ? stream.records().length : firstRetained);
	};

	const activateUntil = (setActive: (isActive: boolean) => void, until: number) => {
		setActive(true);
		healAt(until, () => {
			setActive(false);
		});
	};

	const setMinionModes = (mode: MinionMode, until: number) => {
		for (const minion of minions.filter(() => random() < affectedShare)) {
			activateUntil(isActive => {
				minion.mode = isActive ? mode : minionMode.normal;
			}, until);
		}
	};

	const activateOnLogs = (until: number, setActive: (stream: MemoryStream, isActive: boolean) => void) => {
		activateUntil(isActive => {
			for (const stream of streams) {
				setActive(stream, isActive);
			}

			markDisturbed(cluster.hosts());
		}, until);
	};

	const cutZone = (until: number) => {
		const zone = pickRandom(random, zones);
		const keepsPlatformLink = random() < 0.5;
		const isInside = (name: string) => name === zone;
		addCut((from, to) => {
			const isOutside = (other: string) => !isInside(other) && other !== 'callers' && !(keepsPlatformLink && other === platformEndpoint.zone);
			return (isInside(from.zone) && isOutside(to.zone)) || (isInside(to.zone) && isOutside(from.zone));
		}, until, ({endpoint}) => endpoint.zone === zone);
	};

	const cutHosts = (until: number, isOneWay: boolean) => {
		const left = pickRandom(random, cluster.endpoints);
		const right = pickRandom(random, cluster.endpoints);
		addCut(
			(from, to) => isOneWay ? from.name === left.name && to.name === right.name : isBetween(left.name, right.name, from.name, to.name),
			until,
			({endpoint}) => endpoint === left || endpoint === right,
		);
	};

	const injectors: Record<Exclude<FaultKind, MinionFault>, (until: number) => void> = {
		[faultKind.kill](until) {
			const host = pickExpendableHost();
			if (host) {
				cluster.kill(host);
				restartAt(host, until);
			}
		},
		[faultKind.pause](until) {
			const host = pickExpendableHost();
			if (host) {
				host.process.pause();
				healAt(until, () => {
					markDisturbed([host]);
					host.process.resume();
				});
			}
		},
		[faultKind.replacedWhilePaused]: pauseAndReplace,
		[faultKind.clockJump]() {
			const host = pickExpendableHost();
			if (host) {
				host.process.jumpClock((random() - 0.5) * 2 * maxClockJumpMs);
				markDisturbed([host]);
			}
		},
		[faultKind.minionCut](until) {
			const hosts = new Set(cluster.endpoints.filter(() => random() < affectedShare).map(({name}) => name));
			const cutMinions = new Set(minions.filter(() => random() < affectedShare).map(({endpoint}) => endpoint.name));
			addCut((from, to) => cutMinions.has(from.name) && hosts.has(to.name), until, ({endpoint}) => hosts.has(endpoint.name));
		},
		[faultKind.retention]() {
			for (const stream of streams) {
				dropOldRecords(stream);
			}
		},
		[faultKind.plannedStop](until) {
			const host = pickExpendableHost();
			if (host) {
				const ended = stopAndRestart(host, until);
				plannedStops.add(ended);
			}
		},
		[faultKind.zoneCut]: cutZone,
		[faultKind.oneWayCut](until) {
			cutHosts(until, true);
		},
		[faultKind.hostCut](until) {
			cutHosts(until, false);
		},
		[faultKind.logOutage](until) {
			activateOnLogs(until, (stream, isActive) => {
				stream.faults.outageUntil = isActive ? until : 0;
			});
		},
		[faultKind.logSlow](until) {
			activateOnLogs(until, (stream, isActive) => {
				stream.faults.latencyMs = isActive ? slowLogLatencyMs : normalLogLatencyMs;
			});
		},
		[faultKind.appendAnswerLost](until) {
			activateOnLogs(until, (stream, isActive) => {
				stream.faults.losesAnswer = () => isActive && random() < lostAppendAnswerShare;
			});
		},
		[faultKind.lostAnswers](until) {
			activateUntil(isActive => {
				links.faults.lostAnswers = isActive ? faultyMessageShare : 0;
			}, until);
		},
		[faultKind.delays](until) {
			activateUntil(isActive => {
				links.faults.delays = isActive ? faultyMessageShare : 0;
			}, until);
		},
		[faultKind.duplicates](until) {
			activateUntil(isActive => {
				links.faults.duplicates = isActive ? faultyMessageShare : 0;
			}, until);
		},
		[faultKind.cancelWave]() {
			callers.cancelWave(random());
		},
	};

	return {
		counts,
		cutByStop: () => cutByStop,
		schedule(fault) {
			clock.at(fault.at, () => {
				counts[fault.kind] = (counts[fault.kind] ?? 0) + 1;
				if (isMinionFault(fault.kind)) {
					setMinionModes(modeOfFault[fault.kind], fault.until);
				} else {
					injectors[fault.kind](fault.until);
				}
			});
		},
		healAll() {
			for (const heal of pendingHeals) {
				heal();
			}
		},
		async settled() {
			await Promise.all(plannedStops);
		},
	};
};
