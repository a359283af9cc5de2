/** Replays a trace through the decisions of every entry host, in one process on a fake clock. */
import {type Configuration, createRandom} from 'chivestream-core';
import {
	createEntryModel, type EntryLinks, type EntryModel, type JobEnd, upstreamName,
} from './entry-model.js';
import {createEventQueue} from './event-queue.js';
import {type JobRecord, type ReplayRecord} from './measures.js';
import {createMessageCounts} from './messages.js';
import {createMinionModel} from './minion-model.js';
import {type Policy} from './policies.js';
import {
	type Deployment, type JobEvent, type Trace, type TraceEvent,
} from './trace.js';

/** Times of the membership and the balancer, in milliseconds. */
export type ReplayTiming = {
	heartbeatIntervalMs: number;
	/** Between the heartbeats of two zones, sent by one host of each. */
	zoneIntervalMs: number;
	/** Until the hosts of a zone know that one of them died. */
	hostDeathMs: number;
	/** Until the zones know that one of them is cut off, or is back. */
	zoneCutMs: number;
	/** Until the balancer sends nothing more to a dead host. */
	balancerMs: number;
};

/** Times as the entry hosts are set by default. */
export const defaultTiming: ReplayTiming = {
	heartbeatIntervalMs: 500, zoneIntervalMs: 1000, hostDeathMs: 2000, zoneCutMs: 4000, balancerMs: 3000,
};

const longestDrainMs = 60_000;

const createConfiguration = ({minions, teams, preference, retryRatio}: Deployment): Configuration => ({
	version: 1,
	offset: 1,
	declarations: {
		upstreams: {
			[upstreamName]: {
				minions: minions.map(({id, zone, slots, connections}) => ({
					id, zone, address: id, slots, connections,
				})),
				workers: [],
				notStartedStatuses: [503],
				preference,
			},
		},
		teams: Object.fromEntries(teams.map(({name, weight, maxTasksInFlight}) => [name, {weight, maxTasksInFlight}])),
		drains: [],
		limits: {maxTasksPerJob: 180, maxDeadlineMs: 600_000, retryRatio},
		objectives: [],
	},
});

/** Replays the trace with the policy at every entry host. The same seed gives the same record. */
export const replayTrace = ({deployment, events}: Trace, policy: Policy, timing: ReplayTiming = defaultTiming): ReplayRecord => {
	const queue = createEventQueue();
	const random = createRandom(deployment.seed + 2);
	const configuration = createConfiguration(deployment);
	const messages = createMessageCounts();
	const minions = new Map(deployment.minions.map(minion => [minion.id, createMinionModel(minion, queue)]));
	const jobs = new Map<string, JobRecord>();
	const eventsByKey = new Map(events.flatMap(event => event.kind === 'job' ? [[event.key, event] as const] : []));
	const started = new Set<string>();
	const doneWork: ReplayRecord['doneWork'] = [];
	const homes = new Map<string, EntryModel>();
	const knownDead = new Set<string>();
	const cutZones = new Set<string>();
	const minionZones = new Map(deployment.minions.map(({id, zone}) => [id, zone]));
	/** Zones that are cut off now, whether or not it is known. */
	const severed = new Set<string>();
	let doubleStarts = 0;

	const isConnected = (zone: string, otherZone: string) => zone === otherZone || (!severed.has(zone) && !severed.has(otherZone));

	const links: EntryLinks = {
		clock: queue,
		deployment,
		minions,
		messages,
		reach(fromZone, hostId) {
			const other = entries.get(hostId)!;
			return other.isAlive() && isConnected(fromZone, other.zone) ? other : undefined;
		},
		isConnected,
		zoneOfHost: hostId => entries.get(hostId)!.zone,
		zoneOfMinion: minionId => minionZones.get(minionId)!,
		onStart(key, taskIndex) {
			const name = `${key}/${taskIndex}`;
			doubleStarts += started.has(name) ? 1 : 0;
			started.add(name);
		},
		onDone(key, taskIndex) {
			doneWork.push({at: queue.now(), workMs: eventsByKey.get(key)!.tasks[taskIndex]!.workMs, key});
		},
	};
	const createEntry = (host: Deployment['hosts'][number], index: number): [string, EntryModel] =>
		[host.id, createEntryModel(host, policy(queue, createRandom(deployment.seed + 3 + index)), links)];
	const entries: ReadonlyMap<string, EntryModel> = new Map(deployment.hosts.map((host, index) => createEntry(host, index)));

	const configureAll = () => {
		for (const entry of entries.values()) {
			const seen = deployment.hosts.filter(({id}) => !knownDead.has(id));
			const reachable = seen.filter(({zone}) => zone === entry.zone || (!cutZones.has(zone) && !cutZones.has(entry.zone)));
			if (entry.isAlive()) {
				entry.configure(configuration, {
					selfId: entry.id,
					zone: entry.zone,
					hostIds: seen.filter(({zone}) => zone === entry.zone).map(({id}) => id),
					totalHosts: reachable.length,
				});
			}
		}
	};

	const later = (delayMs: number, run: () => void) => {
		queue.at(queue.now() + delayMs, run);
	};

	const finish = (event: JobEvent, end: JobRecord['end']) => {
		if (!jobs.has(event.key)) {
			jobs.set(event.key, {event, end, endedAt: queue.now()});
		}
	};

	const answerCaller = (event: JobEvent) => (end: JobEnd) => {
		later(deployment.oneWayMs.caller, () => {
			finish(event, end);
		});
	};

	/** The caller's connection fails at a dead host; it knows that nothing ran, and turns to the next. */
	const submit = (event: JobEvent, hostId: string) => {
		later(deployment.oneWayMs.caller, () => {
			const entry = entries.get(hostId)!;
			if (entry.isAlive()) {
				homes.set(event.key, entry);
				entry.submit(event, answerCaller(event));
				return;
			}

			messages.resubmissions += 2;
			later(deployment.oneWayMs.caller, () => {
				submit(event, nextHost(hostId));
			});
		});
	};

	const nextHost = (hostId: string): string => {
		const alive = deployment.hosts.filter(({id}) => id !== hostId && !knownDead.has(id));
		return alive[Math.floor(random() * alive.length)]!.id;
	};

	const kill = (hostId: string) => {
		const entry = entries.get(hostId)!;
		entry.kill();
		for (const [key, home] of homes) {
			if (home === entry && !jobs.has(key)) {
				finish(eventsByKey.get(key)!, 'lost');
			}
		}

		later(timing.hostDeathMs, () => {
			knownDead.add(hostId);
			configureAll();
		});
	};

	const cut = (zone: string, until: number) => {
		severed.add(zone);
		queue.at(until, () => {
			severed.delete(zone);
		});
		later(timing.zoneCutMs, () => {
			cutZones.add(zone);
			configureAll();
		});
		queue.at(until + timing.zoneCutMs, () => {
			cutZones.delete(zone);
			configureAll();
		});
	};

	const happen = (event: TraceEvent) => {
		switch (event.kind) {
			case 'job': {
				messages.jobs += 2;
				submit(event, knownDead.has(event.hostId) ? nextHost(event.hostId) : event.hostId);
				break;
			}

			case 'cancel': {
				messages.cancellations += 2;
				later(deployment.oneWayMs.caller, () => {
					homes.get(event.key)?.cancel(event.key);
				});
				break;
			}

			case 'minion-slows': {
				minions.get(event.minionId)!.slowDown(event.factor);
				break;
			}

			case 'minion-fails': {
				minions.get(event.minionId)!.failAll();
				break;
			}

			case 'minion-hangs': {
				minions.get(event.minionId)!.hang();
				break;
			}

			case 'host-killed': {
				kill(event.hostId);
				break;
			}

			case 'zone-cut': {
				cut(event.zone, event.until);
				break;
			}
		}
	};

	/** One host of each zone tells one of each other zone what its zone's hosts have idle; that one passes it on with its own heartbeats. */
	const exchangeBetweenZones = () => {
		const alive = [...entries.values()].filter(entry => entry.isAlive());
		for (const from of new Set(minionZones.values())) {
			const idle = alive.filter(({zone}) => zone === from).map(({id, scheduler}) => ({id, count: scheduler.idleSlots()[0]?.count ?? 0}));
			for (const to of new Set(minionZones.values())) {
				if (from === to) {
					continue;
				}

				messages.heartbeats++;
				if (isConnected(from, to)) {
					messages.heartbeats++;
					later(deployment.oneWayMs.betweenZones + timing.heartbeatIntervalMs, () => {
						for (const entry of alive.filter(({zone}) => zone === to)) {
							for (const {id, count} of idle) {
								entry.noteIdle(id, from, count);
							}
						}
					});
				}
			}
		}
	};

	for (let at = 0; at < deployment.endsAt; at += timing.zoneIntervalMs) {
		queue.at(at, exchangeBetweenZones);
	}

	configureAll();
	for (const event of events) {
		queue.at(event.at, () => {
			happen(event);
		});
	}

	for (const [index, entry] of [...entries.values()].entries()) {
		const offset = timing.heartbeatIntervalMs * index / entries.size;
		for (let at = offset; at < deployment.endsAt; at += timing.heartbeatIntervalMs) {
			queue.at(at, () => {
				if (entry.isAlive()) {
					entry.heartbeat();
				}
			});
		}
	}

	queue.runUntil(deployment.endsAt + longestDrainMs);
	for (const event of eventsByKey.values()) {
		finish(event, 'lost');
	}

	return {
		deployment,
		jobs: [...jobs.values()],
		messages,
		doneWork,
		startedTasks: started.size,
		slotOverruns: [...minions.values()].reduce((sum, minion) => sum + minion.overruns(), 0),
		doubleStarts,
	};
};
