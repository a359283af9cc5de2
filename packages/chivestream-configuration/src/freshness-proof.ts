/**
The rule by which a host that has just started proves that its state is fresh: not behind any configuration that was ever in
force in its zone. Either it has read the log to its end since the start and has queried its peers, or enough hosts of its
zone have sent the states that they hold.
*/
import {type State} from './state.js';

/** The state that another entry host holds. */
export type PeerState = {
	hostId: string;
	zone: string;
	/** Whether that host has itself proven that its state is fresh. */
	isProven: boolean;
	state: State;
};

/** What a host has observed since its start. */
export type FreshnessEvidence = {
	hasReachedLogEnd: boolean;
	/** Whether a round of state requests to the peers has ended, even if some of them did not reply. */
	havePeersAnswered: boolean;
	/** Ids of the other hosts of the zone that have sent their state and have proven it fresh. */
	provenZoneHosts: ReadonlySet<string>;
	/** Entry hosts known in the zone, this one included. */
	zoneSize: number;
};

/** Number of hosts of a zone that should hold a version before it comes into force there: a majority. */
export const writeQuorum = (zoneSize: number): number => Math.floor(zoneSize / 2) + 1;

/**
Number of other hosts of its zone whose states prove that a starting host is fresh. Any so many hosts include one of every
set of `writeQuorum` hosts, even if the starting host itself belonged to that set before it restarted.
*/
export const readQuorum = (zoneSize: number): number => zoneSize - writeQuorum(zoneSize) + 1;

/** Decides whether a host has proven that its state is fresh, so that it may put it in force. */
export type FreshnessProof = (evidence: FreshnessEvidence) => boolean;

/** The default rule: reading the log to its end and querying the peers, or a read quorum of the zone. */
export const isProvenFresh: FreshnessProof = ({hasReachedLogEnd, havePeersAnswered, provenZoneHosts, zoneSize}) =>
	(hasReachedLogEnd && havePeersAnswered) || provenZoneHosts.size >= readQuorum(zoneSize);
