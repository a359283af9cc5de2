/** Members: entry hosts as recorded by another entry host. */
import {type Host} from 'chivestream-core';
import {type ConfigurationMark, type HostRecord, Phase} from './generated/peer.js';
import {hostPhase, type HostPhase} from './handlers.js';

/** State of another host in the local view. */
export const memberState = {
	alive: 'alive',
	/** No sign of life within the suspicion timeout. The next sign of life revokes it. */
	suspected: 'suspected',
	/** No sign of life within the dead timeout. The next sign of life revokes it, unless the incarnation has ended. */
	dead: 'dead',
	draining: 'draining',
	left: 'left',
} as const;

/** One of the values of `memberState`. */
export type MemberState = (typeof memberState)[keyof typeof memberState];

/** An incarnation of an entry host with its state in the local view. */
export type Member = {
	host: Host;
	phase: HostPhase;
	state: MemberState;
	/** The configuration that it last reported; undefined while none is known. */
	configuration: ConfigurationMark | undefined;
};

const phaseNumbers = {
	[hostPhase.joining]: Phase.PHASE_JOINING,
	[hostPhase.serving]: Phase.PHASE_SERVING,
	[hostPhase.draining]: Phase.PHASE_DRAINING,
	[hostPhase.left]: Phase.PHASE_LEFT,
} as const;

const phasesByNumber = new Map<Phase, HostPhase>([
	[Phase.PHASE_SERVING, hostPhase.serving],
	[Phase.PHASE_DRAINING, hostPhase.draining],
	[Phase.PHASE_LEFT, hostPhase.left],
]);

/** Converts a host and its phase to the wire format. */
export const toHostRecord = (host: Host, phase: HostPhase, revision: number): HostRecord => ({
	...host, phase: phaseNumbers[phase], revision,
});

/** Reads the host from its wire format. */
export const toHost = (record: HostRecord): Host => ({
	id: record.id,
	region: record.region,
	zone: record.zone,
	incarnation: record.incarnation,
	peerAddress: record.peerAddress,
	callerAddress: record.callerAddress,
	operatorAddress: record.operatorAddress,
});

/** Reads the phase from a host record. Unspecified and unknown values mean `joining`. */
export const toHostPhase = (record: HostRecord): HostPhase => phasesByNumber.get(record.phase) ?? hostPhase.joining;

/** Whether a member is alive or draining, and so may still answer. */
export const isLive = (member: Member): boolean =>
	member.state === memberState.alive || member.state === memberState.draining;
