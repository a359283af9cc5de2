/** All known hosts, each in its latest incarnation, and the incarnations that have ended. */
import {type Host} from 'chivestream-core';
import {type ConfigurationMark, type HostRecord} from './generated/peer.js';
import {hostPhase, type HostPhase} from './handlers.js';
import {toHost, toHostPhase} from './member.js';

/** Limits the hosts whose latest incarnation is kept. Beyond it, the one updated least recently is dropped. */
const maxTrackedHosts = 10_000;

/** A known host. Times are in milliseconds on the local clock. */
export type KnownHost = {
	host: Host;
	record: HostRecord;
	phase: HostPhase;
	/** Time at which a message was last received from it directly; 0 if never. */
	lastReceivedAt: number;
	/** Time at which this incarnation was first recorded. */
	discoveredAt: number;
	/** Latest time at which a digest that lists it advanced; 0 if none lists it. */
	lastListedAt: number;
	/** Time of the latest sign of life, direct or by a digest. It is kept when no digest lists the host any more. */
	lastSeenAt: number;
	configuration: ConfigurationMark | undefined;
};

/** Result of applying a record. */
export type ApplyResult = {
	/** The known host; undefined if the incarnation of the record has ended. */
	known: KnownHost | undefined;
	/** The record contained a new host, incarnation or phase. */
	isChanged: boolean;
};

/** Known hosts by id. */
export type HostTable = {
	/** Records a host unless its incarnation has ended or its revision is not newer. */
	apply: (record: HostRecord, now: number) => ApplyResult;
	get: (id: string) => KnownHost | undefined;
	all: () => KnownHost[];
	remove: (id: string) => void;
	/** The latest incarnation of a host recorded so far, also of a removed host. */
	latestIncarnation: (id: string) => string | undefined;
	/** Whether a newer incarnation is recorded, or the host left in this one. */
	hasEnded: (id: string, incarnation: string) => boolean;
	/** Moves all recorded times forward, which excludes a pause of this process from timeouts. */
	shiftTimes: (offsetMs: number) => void;
};

type LatestIncarnation = {incarnation: string; hasLeft: boolean};

/** Creates an empty table. */
export const createHostTable = (): HostTable => {
	const hosts = new Map<string, KnownHost>();
	const latestIncarnations = new Map<string, LatestIncarnation>();

	const trackLatest = (id: string, latest: LatestIncarnation) => {
		latestIncarnations.delete(id);
		latestIncarnations.set(id, latest);
		const [oldest] = latestIncarnations.keys();
		if (latestIncarnations.size > maxTrackedHosts && oldest !== undefined) {
			latestIncarnations.delete(oldest);
		}
	};

	const hasEnded = (id: string, incarnation: string): boolean => {
		const latest = latestIncarnations.get(id);
		return latest !== undefined && (incarnation < latest.incarnation || (incarnation === latest.incarnation && latest.hasLeft));
	};

	return {
		apply(record, now) {
			const {id, incarnation} = record;
			if (hasEnded(id, incarnation)) {
				return {known: undefined, isChanged: false};
			}

			const previous = hosts.get(id);
			const isSameIncarnation = previous?.host.incarnation === incarnation;
			if (isSameIncarnation && previous.record.revision >= record.revision) {
				return {known: previous, isChanged: false};
			}

			const phase = toHostPhase(record);
			const known: KnownHost = {
				host: toHost(record),
				record,
				phase,
				lastReceivedAt: isSameIncarnation ? previous.lastReceivedAt : 0,
				lastListedAt: 0,
				discoveredAt: isSameIncarnation ? previous.discoveredAt : now,
				lastSeenAt: isSameIncarnation ? previous.lastSeenAt : now,
				configuration: isSameIncarnation ? previous.configuration : undefined,
			};
			hosts.set(id, known);
			trackLatest(id, {incarnation, hasLeft: phase === hostPhase.left});
			return {known, isChanged: true};
		},
		get: id => hosts.get(id),
		all: () => [...hosts.values()],
		remove(id) {
			hosts.delete(id);
		},
		latestIncarnation: id => latestIncarnations.get(id)?.incarnation,
		hasEnded,
		shiftTimes(offsetMs) {
			for (const known of hosts.values()) {
				known.lastReceivedAt += known.lastReceivedAt === 0 ? 0 : offsetMs;
				known.discoveredAt += offsetMs;
				known.lastSeenAt += offsetMs;
			}
		},
	};
};
