/** All hosts that are known, each in its latest incarnation, and the incarnations that are over. */
import {type Host} from 'chivestream-core';
import {type ConfigurationMark, type HostRecord} from './generated/peer.js';
import {hostPhase, type HostPhase} from './handlers.js';
import {toHost, toPhase} from './member.js';

const maxClosedHosts = 10_000;

/** A known host. */
export type KnownHost = {
	host: Host;
	record: HostRecord;
	phase: HostPhase;
	/** Time at which it was last heard directly; 0 if never. */
	heardAt: number;
	/** Time at which this incarnation was first heard of. */
	learnedAt: number;
	/** Time at which a digest that lists it last advanced; 0 if none does. */
	vouchedAt: number;
	/** Time of the latest evidence of life, direct or not. */
	evidenceAt: number;
	configuration: ConfigurationMark | undefined;
};

/** What a record brought; no known host where the incarnation is over. */
export type Observation = {
	known: KnownHost | undefined;
	/** A host, an incarnation or a phase that was not known before. */
	isNews: boolean;
};

/** Known hosts by id. */
export type HostTable = {
	observe: (record: HostRecord, now: number) => Observation;
	get: (id: string) => KnownHost | undefined;
	all: () => KnownHost[];
	forget: (id: string) => void;
	/** The latest incarnation ever seen of a host. */
	latestIncarnation: (id: string) => string | undefined;
	isClosed: (id: string, incarnation: string) => boolean;
	/** Leaves a silence of this host itself out of account: moves all times of evidence forward. */
	excuse: (lengthMs: number) => void;
};

type Closed = {latest: string; hasLeft: boolean};

/** Creates an empty table. */
export const createHostTable = (): HostTable => {
	const hosts = new Map<string, KnownHost>();
	const seen = new Map<string, Closed>();

	const remember = (id: string, closed: Closed) => {
		seen.delete(id);
		seen.set(id, closed);
		const [oldest] = seen.keys();
		if (seen.size > maxClosedHosts && oldest !== undefined) {
			seen.delete(oldest);
		}
	};

	const isClosed = (id: string, incarnation: string): boolean => {
		const closed = seen.get(id);
		return closed !== undefined && (incarnation < closed.latest || (incarnation === closed.latest && closed.hasLeft));
	};

	return {
		observe(record, now) {
			const {id, incarnation} = record;
			if (isClosed(id, incarnation)) {
				return {known: undefined, isNews: false};
			}

			const before = hosts.get(id);
			const isSameRun = before?.host.incarnation === incarnation;
			if (isSameRun && before.record.revision >= record.revision) {
				return {known: before, isNews: false};
			}

			const phase = toPhase(record);
			const known: KnownHost = {
				host: toHost(record),
				record,
				phase,
				heardAt: isSameRun ? before.heardAt : 0,
				vouchedAt: 0,
				learnedAt: isSameRun ? before.learnedAt : now,
				evidenceAt: isSameRun ? before.evidenceAt : now,
				configuration: isSameRun ? before.configuration : undefined,
			};
			hosts.set(id, known);
			remember(id, {latest: incarnation, hasLeft: phase === hostPhase.left});
			return {known, isNews: true};
		},
		get: id => hosts.get(id),
		all: () => [...hosts.values()],
		forget(id) {
			hosts.delete(id);
		},
		latestIncarnation: id => seen.get(id)?.latest,
		isClosed,
		excuse(lengthMs) {
			for (const known of hosts.values()) {
				known.heardAt += known.heardAt === 0 ? 0 : lengthMs;
				known.learnedAt += lengthMs;
				known.evidenceAt += lengthMs;
			}
		},
	};
};
