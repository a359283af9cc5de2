/** All hosts that are known, each in its latest incarnation, and the incarnations that are over. */
import {type Host} from 'chivestream-core';
import {type ConfigurationMark, type HostRecord} from './generated/peer.js';
import {hostPhase, type HostPhase} from './handlers.js';
import {toHost, toHostPhase} from './member.js';

const maxTrackedHosts = 10_000;

/** A known host. */
export type KnownHost = {
	host: Host;
	record: HostRecord;
	phase: HostPhase;
	/** Time at which it was last heard directly; 0 if never. */
	lastReceivedAt: number;
	/** Time at which this incarnation was first heard of. */
	discoveredAt: number;
	/** Time at which a digest that lists it last advanced; 0 if none does. */
	lastListedAt: number;
	/** Time of the latest evidence of life, direct or not. */
	lastSeenAt: number;
	configuration: ConfigurationMark | undefined;
};

/** What a record brought; no known host where the incarnation is over. */
export type ApplyResult = {
	known: KnownHost | undefined;
	/** A host, an incarnation or a phase that was not known before. */
	isChanged: boolean;
};

/** Known hosts by id. */
export type HostTable = {
	apply: (record: HostRecord, now: number) => ApplyResult;
	get: (id: string) => KnownHost | undefined;
	all: () => KnownHost[];
	remove: (id: string) => void;
	/** The latest incarnation ever seen of a host. */
	latestIncarnation: (id: string) => string | undefined;
	hasEnded: (id: string, incarnation: string) => boolean;
	/** Leaves a silence of this host itself out of account: moves all times of evidence forward. */
	shiftTimes: (lengthMs: number) => void;
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
