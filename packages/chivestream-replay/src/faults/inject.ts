/** Brings each planned fault about, and heals it. */
import {pickRandom, type Clock, type Random} from 'chivestream-core';
import {type MemoryStream} from 'chivestream-stand-ins';
import {type Callers} from './callers.js';
import {zones, type Cluster, type ClusterHost} from './cluster.js';
import {faultKind, type Fault, type FaultKind} from './fault-plan.js';
import {platformPlace, type Cut, type Links} from './links.js';
import {minionMode, type MemoryMinion, type MinionMode} from './memory-minions.js';

/** What faults act on. */
export type InjectOptions = {
	clock: Clock;
	random: Random;
	cluster: Cluster;
	links: Links;
	callers: Callers;
	streams: readonly MemoryStream[];
	minions: readonly MemoryMinion[];
	/** Whether a planned stop waits for what is in progress. */
	stopsWait: boolean;
};

/** Faults of a run. */
export type Injector = {
	counts: Record<string, number>;
	/** Requests that planned stops cut. */
	cutByStop: () => number;
	/** Brings a fault about at its time. */
	schedule: (fault: Fault) => void;
	/** Ends every fault and starts every host that is down. */
	healAll: () => void;
	/** Resolves once every planned stop has ended. */
	settled: () => Promise<void>;
};

const faultyShare = 0.2;
const lostShare = 0.15;
const slowLogMs = 800;
const normalLogMs = 4;
const lostAppendShare = 0.6;
const fewestHostsOfZone = 2;
const longestJumpMs = 5000;
const wakeMs = 3000;
const retainedMs = 8000;
const modes: Partial<Record<FaultKind, MinionMode>> = {
	[faultKind.minionFailing]: minionMode.failing,
	[faultKind.minionHanging]: minionMode.hanging,
	[faultKind.minionStraggling]: minionMode.straggling,
	[faultKind.minionCrossing]: minionMode.crossing,
	[faultKind.minionRepeating]: minionMode.repeating,
	[faultKind.minionRefusing]: minionMode.refusing,
	[faultKind.minionDead]: minionMode.dead,
};

const isBetween = (left: string, right: string, from: string, to: string) =>
	(from === left && to === right) || (from === right && to === left);

/** An injector over one run. */
export const createInjector = (options: InjectOptions): Injector => {
	const {
		clock, random, cluster, links, callers, streams, minions,
	} = options;
	const counts: Record<string, number> = {};
	const heals = new Set<() => void>();
	const stops = new Set<Promise<void>>();
	let cutByStop = 0;

	const disturb = (hosts: readonly ClusterHost[]) => {
		for (const host of hosts) {
			host.disturbedAt = clock.now();
		}
	};

	/** Calls back at the end of a fault, once. */
	const healAt = (until: number, heal: () => void) => {
		const end = () => {
			if (heals.delete(end)) {
				heal();
			}
		};

		heals.add(end);
		clock.at(until, end);
	};

	const addCut = (cut: Cut, until: number, touches: (host: ClusterHost) => boolean) => {
		links.cuts.add(cut);
		healAt(until, () => {
			links.cuts.delete(cut);
			disturb(cluster.hosts().filter(host => touches(host)));
		});
	};

	const isSpare = (host: ClusterHost) => !host.run.isPaused() && !host.isLeaving
		&& cluster.hosts().filter(({place, run}) => place.zone === host.place.zone && !run.isPaused()).length >= fewestHostsOfZone;

	const pickSpare = (): ClusterHost | undefined => {
		const spare = cluster.hosts().filter(host => isSpare(host));
		return spare.length > 0 ? pickRandom(random, spare) : undefined;
	};

	const restartAt = (host: ClusterHost, until: number) => {
		healAt(until, () => {
			const {name} = host.place;
			if (!cluster.isRunning(name)) {
				cluster.start(host.place);
			}
		});
	};

	const stop = async (host: ClusterHost, until: number) => {
		cutByStop += await cluster.stop(host, options.stopsWait);
		restartAt(host, Math.max(clock.now() + 1, until));
	};

	/** Starts a new run on the address of a paused one, which then wakes for a while. */
	const replacePaused = (until: number) => {
		const host = pickSpare();
		if (!host) {
			return;
		}

		host.run.pause();
		clock.at(clock.now() + ((until - clock.now()) / 2), () => {
			cluster.start(host.place);
		});
		healAt(until, () => {
			host.run.resume();
		});
		clock.at(until + wakeMs, () => {
			cluster.kill(host);
		});
	};

	const dropOld = (stream: MemoryStream) => {
		const firstYoung = stream.records().findIndex(({at}) => at >= clock.now() - retainedMs);
		stream.dropBelow(firstYoung === -1 ? stream.records().length : firstYoung);
	};

	const setFaults = (set: (isOn: boolean) => void, until: number) => {
		set(true);
		healAt(until, () => {
			set(false);
		});
	};

	const spoilMinions = (mode: MinionMode, until: number) => {
		for (const minion of minions.filter(() => random() < faultyShare)) {
			setFaults(isOn => {
				minion.mode = isOn ? mode : minionMode.normal;
			}, until);
		}
	};

	const onLog = (until: number, set: (stream: MemoryStream, isOn: boolean) => void) => {
		setFaults(isOn => {
			for (const stream of streams) {
				set(stream, isOn);
			}

			disturb(cluster.hosts());
		}, until);
	};

	const cutZone = (until: number) => {
		const zone = pickRandom(random, zones);
		const keepsPlatform = random() < 0.5;
		const isInside = (name: string) => name === zone;
		addCut((from, to) => {
			const isOutside = (other: string) => !isInside(other) && other !== 'callers' && !(keepsPlatform && other === platformPlace.zone);
			return (isInside(from.zone) && isOutside(to.zone)) || (isInside(to.zone) && isOutside(from.zone));
		}, until, ({place}) => place.zone === zone);
		return zone;
	};

	const cutHosts = (until: number, isOneWay: boolean) => {
		const left = pickRandom(random, cluster.places);
		const right = pickRandom(random, cluster.places);
		addCut(
			(from, to) => isOneWay ? from.name === left.name && to.name === right.name : isBetween(left.name, right.name, from.name, to.name),
			until,
			({place}) => place === left || place === right,
		);
	};

	const apply: Record<FaultKind, (until: number) => void> = {
		[faultKind.kill](until) {
			const host = pickSpare();
			if (host) {
				cluster.kill(host);
				restartAt(host, until);
			}
		},
		[faultKind.pause](until) {
			const host = pickSpare();
			if (host) {
				host.run.pause();
				healAt(until, () => {
					disturb([host]);
					host.run.resume();
				});
			}
		},
		[faultKind.replacedWhilePaused]: replacePaused,
		[faultKind.clockJump]() {
			const host = pickSpare();
			if (host) {
				host.run.jump((random() - 0.5) * 2 * longestJumpMs);
				disturb([host]);
			}
		},
		[faultKind.minionCut](until) {
			const hosts = new Set(cluster.places.filter(() => random() < faultyShare).map(({name}) => name));
			const lost = new Set(minions.filter(() => random() < faultyShare).map(({place}) => place.name));
			addCut((from, to) => lost.has(from.name) && hosts.has(to.name), until, ({place}) => hosts.has(place.name));
		},
		[faultKind.retention]() {
			for (const stream of streams) {
				dropOld(stream);
			}
		},
		[faultKind.plannedStop](until) {
			const host = pickSpare();
			if (host) {
				const ended = stop(host, until);
				stops.add(ended);
			}
		},
		[faultKind.zoneCut](until) {
			cutZone(until);
		},
		[faultKind.oneWayCut](until) {
			cutHosts(until, true);
		},
		[faultKind.hostCut](until) {
			cutHosts(until, false);
		},
		[faultKind.logOutage](until) {
			onLog(until, (stream, isOn) => {
				stream.faults.outageUntil = isOn ? until : 0;
			});
		},
		[faultKind.logSlow](until) {
			onLog(until, (stream, isOn) => {
				stream.faults.latencyMs = isOn ? slowLogMs : normalLogMs;
			});
		},
		[faultKind.appendAnswerLost](until) {
			onLog(until, (stream, isOn) => {
				stream.faults.losesAnswer = () => isOn && random() < lostAppendShare;
			});
		},
		[faultKind.lostAnswers](until) {
			setFaults(isOn => {
				links.faults.lostAnswers = isOn ? lostShare : 0;
			}, until);
		},
		[faultKind.delays](until) {
			setFaults(isOn => {
				links.faults.delays = isOn ? lostShare : 0;
			}, until);
		},
		[faultKind.duplicates](until) {
			setFaults(isOn => {
				links.faults.duplicates = isOn ? lostShare : 0;
			}, until);
		},
		[faultKind.minionFailing](until) {
			spoilMinions(modes[faultKind.minionFailing]!, until);
		},
		[faultKind.minionHanging](until) {
			spoilMinions(modes[faultKind.minionHanging]!, until);
		},
		[faultKind.minionStraggling](until) {
			spoilMinions(modes[faultKind.minionStraggling]!, until);
		},
		[faultKind.minionCrossing](until) {
			spoilMinions(modes[faultKind.minionCrossing]!, until);
		},
		[faultKind.minionRepeating](until) {
			spoilMinions(modes[faultKind.minionRepeating]!, until);
		},
		[faultKind.minionRefusing](until) {
			spoilMinions(modes[faultKind.minionRefusing]!, until);
		},
		[faultKind.minionDead](until) {
			spoilMinions(modes[faultKind.minionDead]!, until);
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
				apply[fault.kind](fault.until);
			});
		},
		healAll() {
			for (const heal of heals) {
				heal();
			}
		},
		async settled() {
			await Promise.all(stops);
		},
	};
};
