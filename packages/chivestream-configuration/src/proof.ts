/**
The rule by which a host that has just started shows that it is not behind any configuration that was ever in force near
it. Either it read the log to its end after the start, or enough hosts of its zone told it what they hold.
*/
import {type State} from './state.js';

/** What another entry host holds. */
export type PeerState = {
	hostId: string;
	zone: string;
	/** Whether that host has itself shown that it is not behind. */
	isProven: boolean;
	state: State;
};

/** What a host has learnt since its start. */
export type Evidence = {
	hasReachedLogEnd: boolean;
	/** Whether the peers that can be reached have been asked. */
	havePeersAnswered: boolean;
	/** Other hosts of the zone that told what they hold and are themselves not behind. */
	zoneAnswers: ReadonlySet<string>;
	/** Entry hosts known in the zone, this one included. */
	zoneSize: number;
};

/** Hosts that must hold a version before it comes into force in a zone of this size. */
export const holdersNeeded = (zoneSize: number): number => Math.floor(zoneSize / 2) + 1;

/**
Answers that a starting host needs from the other hosts of its zone: at least one of any such answers comes from a
host among every set of `holdersNeeded` hosts, even if the starting host was itself one of them before it restarted.
*/
export const answersNeeded = (zoneSize: number): number => zoneSize - holdersNeeded(zoneSize) + 1;

/** Whether a host may put its state in force. */
export type Proof = (evidence: Evidence) => boolean;

/** The rule itself. */
export const isProven: Proof = ({hasReachedLogEnd, havePeersAnswered, zoneAnswers, zoneSize}) =>
	(hasReachedLogEnd && havePeersAnswered) || zoneAnswers.size >= answersNeeded(zoneSize);
