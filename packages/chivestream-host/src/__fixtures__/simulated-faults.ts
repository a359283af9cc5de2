/** Faults of a simulated site. */
import {type SimulatedCallers, type SimulatedHost} from './simulated-callers.js';
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

type FaultKind = (typeof siteFault)[keyof typeof siteFault] | (typeof newerFault)[keyof typeof newerFault];

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

/** The share of requests that a disturbance meets, chosen by a number. */
const shareOf = (other: number): number => (1 + (other % 5)) / 10;

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
