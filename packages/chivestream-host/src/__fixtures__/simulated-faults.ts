/** Faults of a simulated site. */
import {type SimulatedCallers, type SimulatedHost} from './simulated-callers.js';
import {linkDirection} from './simulated-links.js';
import {type SimulatedMinion} from './simulated-minion.js';
import {lateLease, type SimulatedNetwork} from './simulated-network.js';
import {type Simulation} from './simulation.js';

/** Kinds of faults. */
export const siteFault = {
	kill: 'kill',
	/** A planned stop, after which the host starts again. */
	stop: 'stop',
	freeze: 'freeze',
	/** The path between two hosts is cut. */
	cutHosts: 'cut of two hosts',
	/** The paths between a host and all others are cut. */
	isolate: 'cut of a host from all others',
	/** The paths between a host and half of the minions are cut. */
	cutMinions: 'cut of a host from minions',
	/** Connections of a host are reset, those of callers included. */
	reset: 'reset',
	/** The store turns a host away. */
	turnAway: 'store turns a host away',
	/** The store turns all hosts away. */
	storeAway: 'store away',
	/** The entries of some minions expire. */
	lapse: 'lapse',
	minionCrash: 'crash of a minion',
} as const;

/** Kinds of faults that came later; a list of their own keeps the cases that are drawn from the list above. */
export const newerFault = {
	/** Requests to minions are carried out late, and not answered. */
	lateOrders: 'late orders',
	/** The same for requests that carry a lease, whose length counts from their arrival. */
	lateGrants: 'late grants',
	/** A minion restarts while its paths to all hosts are cut. */
	restartBehindCut: 'restart behind a cut',
	/** A host handles its events late, in order. */
	slowHost: 'slow host',
	/** The time of day of a host steps, and later back. */
	clockStep: 'clock step',
	/** Some minions refuse connections, and go on running. */
	refusingMinions: 'refusing minions',
	/** The paths of callers to a host are cut, and they go on waiting. */
	cutCallers: 'cut of callers',
	/** Callers give their connections to a host up, which notices it late. */
	halfOpenCallers: 'half-open callers',
	/** The store does writes late, out of order and without an answer. */
	lateWrites: 'late writes',
} as const;

/** Kinds of faults that came last; for the same reason in a list of their own. */
export const latestFault = {
	/** The machine of a host stands still, and its steady clock with it. */
	suspension: 'suspension',
	/** The same while the time of day is set back by about as much. */
	suspensionWithStep: 'suspension with a step back',
	/** Open connections of a host go silent for good, and new ones work. */
	silentChannels: 'silent channels',
	/** A minion restarts at another address, and another minion takes its old one later. */
	movedMinion: 'minion at another address',
	/** The same while hosts read the store as it was up to 3 s before. */
	movedMinionStaleReads: 'minion at another address with stale reads',
	/** Minions close connections without an answer, and refuse others for moments. */
	closingMinions: 'closing minions',
} as const;

/** Kinds of faults of the links of hosts, which came after all of these. */
export const linkFault = {
	/** What a host sends and receives waits in the queues of its link. */
	fullLink: 'full link',
	fullInbound: 'full inbound link',
	fullOutbound: 'full outbound link',
	/** The links of all hosts are full. */
	fullLinks: 'full links',
} as const;

type FaultKind = (typeof siteFault)[keyof typeof siteFault] | (typeof newerFault)[keyof typeof newerFault] | (typeof latestFault)[keyof typeof latestFault] | (typeof linkFault)[keyof typeof linkFault];

/** A fault at a time after the start of the load, both times in milliseconds; the targets are chosen by their numbers. */
export type ScheduledFault = {at: number; kind: FaultKind; target: number; other: number; lengthMs: number};

/** The parts of a site that faults affect. */
export type FaultySite = {
	simulation: Simulation;
	network: SimulatedNetwork;
	hosts: readonly SimulatedHost[];
	minions: readonly SimulatedMinion[];
	callers: SimulatedCallers;
	/** Until when the minions write no entries, by their ids. */
	lapsedUntil: Map<string, number>;
	restartHost: (host: SimulatedHost) => void;
	writeEntry: (minion: SimulatedMinion) => void;
	log: (host: string, event: string, fields: Record<string, unknown>) => void;
};

const longestClockStepMs = 4000;

/** By how much a read of the store is out of date at most, in milliseconds. */
const longestReadLagMs = 3000;

/** How often and for how long a minion that closes connections refuses others, in milliseconds. */
const refusalIntervalMs = 300;
const refusalMs = 60;

/** Time after which another minion may take an address, in milliseconds: `addr_reuse_s` of the bounds. */
const addressReuseMs = 2000;

/** The share of requests that a disturbance meets, chosen by a number. */
const shareOf = (other: number): number => (1 + (other % 5)) / 10;

/** Least rate of a full link, in bytes per millisecond. */
const leastBytesPerMs = 20;

/** Injects a fault now. */
export const injectFault = (site: FaultySite, {kind, target, other, lengthMs}: ScheduledFault): void => {
	const {
		simulation, network, hosts, minions,
	} = site;
	const host = hosts[target % hosts.length]!;
	const {process} = host;
	const others = hosts.filter(found => found !== host).map(found => found.process.name);
	const minion = minions[target % minions.length]!;
	site.log('-', `fault: ${kind}`, {
		host: process.name, minion: minion.record.id, other, lengthMs,
	});
	const restartAfter = (delayMs: number) => {
		simulation.schedule(delayMs, () => {
			site.restartHost(host);
		});
	};

	const end = () => {
		if (process.isAlive) {
			process.isAlive = false;
			network.close(process);
			site.callers.failAttempts(process, 1);
		}
	};

	const fill = (names: readonly string[], directions: ReadonlyArray<(typeof linkDirection)[keyof typeof linkDirection]>) => {
		for (const name of names) {
			for (const direction of directions) {
				network.links.fill(name, direction, {bytesPerMs: leastBytesPerMs * (1 + (other % 6)), lengthMs});
			}
		}
	};

	switch (kind) {
		case siteFault.kill: {
			if (process.isAlive) {
				end();
				restartAfter(Math.min(1500, lengthMs));
			}

			break;
		}

		case siteFault.stop: {
			if (process.isAlive && process.pausedUntil <= simulation.time) {
				simulation.runAs(process, () => {
					void host.entryHost!.stop().then(() => {
						if (process.isAlive) {
							end();
							restartAfter(Math.min(1000, lengthMs));
						}
					});
				});
			}

			break;
		}

		case siteFault.freeze: {
			process.pausedUntil = Math.max(process.pausedUntil, simulation.time + lengthMs);
			break;
		}

		case siteFault.cutHosts: {
			network.cut(process.name, others[other % others.length]!, lengthMs);
			break;
		}

		case siteFault.isolate: {
			for (const name of others) {
				network.cut(process.name, name, lengthMs);
			}

			break;
		}

		case siteFault.cutMinions: {
			for (const [number, {record}] of minions.entries()) {
				if ((number + other) % 2 === 0) {
					network.cut(process.name, record.id, lengthMs);
				}
			}

			break;
		}

		case siteFault.reset: {
			const share = (1 + (other % 4)) / 4;
			network.reset(process.name, share);
			site.callers.failAttempts(process, share);
			break;
		}

		case siteFault.turnAway: {
			network.turnAway(process.name, lengthMs);
			break;
		}

		case siteFault.storeAway: {
			network.turnAway('*', lengthMs);
			break;
		}

		case siteFault.lapse: {
			for (const [number, {record}] of minions.entries()) {
				if ((number + other) % 3 === 0) {
					site.lapsedUntil.set(record.id, simulation.time + lengthMs);
					network.write('keyed.servers', record.id, undefined);
				}
			}

			break;
		}

		case siteFault.minionCrash: {
			if (minion.isUp) {
				minion.crash();
				network.closeMinion(minion.record.id);
				simulation.schedule(Math.min(1000, lengthMs), () => {
					minion.restart();
					site.writeEntry(minion);
				});
			}

			break;
		}

		case newerFault.lateOrders: {
			network.delayRequests(shareOf(other), lateLease.kept, lengthMs);
			break;
		}

		case newerFault.lateGrants: {
			network.delayRequests(shareOf(other), lateLease.fromArrival, lengthMs);
			break;
		}

		case newerFault.restartBehindCut: {
			restartBehindCut(site, minion, {hidesEntry: other % 2 === 0, lengthMs});
			break;
		}

		case newerFault.slowHost: {
			simulation.slowDown(process, 100 * (1 + (other % 7)), lengthMs);
			break;
		}

		case newerFault.clockStep: {
			const stepMs = (2 * longestClockStepMs * (other % 12) / 11) - longestClockStepMs;
			process.clockStepMs += stepMs;
			simulation.schedule(lengthMs, () => {
				host.process.clockStepMs -= stepMs;
			});
			break;
		}

		case newerFault.refusingMinions: {
			for (const [number, {record}] of minions.entries()) {
				if ((number + other) % 4 === 0) {
					network.refuse(record.id, lengthMs);
				}
			}

			break;
		}

		case newerFault.cutCallers: {
			site.callers.cutAttempts(process, (1 + (other % 4)) / 4, lengthMs);
			break;
		}

		case newerFault.halfOpenCallers: {
			site.callers.halfOpenAttempts(process, (1 + (other % 4)) / 4, lengthMs);
			break;
		}

		case newerFault.lateWrites: {
			network.delayWrites(lengthMs);
			break;
		}

		case latestFault.suspension: {
			simulation.suspend(process, lengthMs);
			break;
		}

		case latestFault.suspensionWithStep: {
			simulation.suspend(process, lengthMs);
			process.clockStepMs -= lengthMs;
			simulation.schedule(2 * lengthMs, () => {
				host.process.clockStepMs += lengthMs;
			});
			break;
		}

		case latestFault.silentChannels: {
			network.silence(process.name, (1 + (other % 4)) / 4);
			break;
		}

		case latestFault.movedMinion: {
			moveMinion(site, minion, {takenBy: minions[(target + 1 + other) % minions.length]!, lengthMs});
			break;
		}

		case latestFault.movedMinionStaleReads: {
			for (const [number, found] of hosts.entries()) {
				if ((number + other) % 2 === 0) {
					network.lagReads(found.process.name, Math.min(longestReadLagMs, lengthMs), longestReadLagMs + lengthMs);
				}
			}

			moveMinion(site, minion, {takenBy: minions[(target + 1 + other) % minions.length]!, lengthMs});
			break;
		}

		case latestFault.closingMinions: {
			for (const [number, {record}] of minions.entries()) {
				if ((number + other) % 3 === 0) {
					network.closeRequests(record.id, lengthMs);
					for (let at = 0; at < lengthMs; at += refusalIntervalMs) {
						simulation.schedule(at, () => {
							network.refuse(record.id, refusalMs);
						});
					}
				}
			}

			break;
		}

		case linkFault.fullLink: {
			fill([process.name], [linkDirection.inbound, linkDirection.outbound]);
			break;
		}

		case linkFault.fullInbound: {
			fill([process.name], [linkDirection.inbound]);
			break;
		}

		case linkFault.fullOutbound: {
			fill([process.name], [linkDirection.outbound]);
			break;
		}

		case linkFault.fullLinks: {
			fill(hosts.map(found => found.process.name), [linkDirection.inbound, linkDirection.outbound]);
		}
	}
};

/** Restarts a minion in the middle of a cut from all hosts; the store may learn of the new incarnation only after the cut. */
const restartBehindCut = ({simulation, network, hosts, lapsedUntil}: FaultySite, minion: SimulatedMinion, {hidesEntry, lengthMs}: {hidesEntry: boolean; lengthMs: number}): void => {
	const {id} = minion.record;
	for (const {process} of hosts) {
		network.cut(process.name, id, lengthMs);
	}

	if (hidesEntry) {
		lapsedUntil.set(id, simulation.time + lengthMs);
	}

	// Minions tell when they started in whole milliseconds.
	const partMs = Math.round(lengthMs / 3);
	simulation.schedule(partMs, () => {
		if (minion.isUp) {
			minion.crash();
			simulation.schedule(partMs, () => {
				minion.restart();
			});
		}
	});
};

/** Restarts a minion at another address; another one, which restarts as well, takes its old address later. */
const moveMinion = ({simulation, network, writeEntry}: FaultySite, minion: SimulatedMinion, {takenBy, lengthMs}: {takenBy: SimulatedMinion; lengthMs: number}): void => {
	if (!minion.isUp) {
		return;
	}

	const move = (moved: SimulatedMinion, address: string, delayMs: number) => {
		moved.crash();
		network.addresses.delete(moved.entry().address);
		network.closeMinion(moved.record.id);
		simulation.schedule(delayMs, () => {
			moved.restart(address);
			network.addresses.set(address, moved.record.id);
			writeEntry(moved);
		});
	};

	const oldAddress = minion.entry().address;
	const restartMs = Math.min(1000, Math.round(lengthMs / 3));
	move(minion, `127.1.0.2:${10_000 + Math.round(simulation.time)}`, restartMs);
	simulation.schedule(addressReuseMs, () => {
		if (takenBy !== minion && takenBy.isUp && !network.addresses.has(oldAddress)) {
			move(takenBy, oldAddress, 0);
		}
	});
};
