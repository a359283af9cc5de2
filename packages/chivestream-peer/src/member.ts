/** Members: entry hosts as another entry host sees them. */
import {type Host} from 'chivestream-core';
import {type ConfigurationMark, type HostRecord, Phase} from './generated/peer.js';
import {hostPhase, type HostPhase} from './handlers.js';

/** What this host believes of another. */
export const memberState = {
	alive: 'alive',
	/** No evidence of life for a while; undone by the next evidence. */
	suspected: 'suspected',
	/** No evidence of life for long; undone by the next evidence unless the incarnation is closed. */
	dead: 'dead',
	draining: 'draining',
	left: 'left',
} as const;

/** One of the states. */
export type MemberState = (typeof memberState)[keyof typeof memberState];

/** An entry host incarnation as this host sees it. */
export type Member = {
	host: Host;
	phase: HostPhase;
	state: MemberState;
	/** The configuration that it last said it has; undefined while none is known. */
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

/** A host with its phase as a message. */
export const toHostRecord = (host: Host, phase: HostPhase, revision: number): HostRecord => ({
	...host, phase: phaseNumbers[phase], revision,
});

/** The host that a message describes. */
export const toHost = (record: HostRecord): Host => ({
	id: record.id,
	region: record.region,
	zone: record.zone,
	incarnation: record.incarnation,
	peerAddress: record.peerAddress,
	callerAddress: record.callerAddress,
	operatorAddress: record.operatorAddress,
});

/** The phase that a message names. */
export const toHostPhase = (record: HostRecord): HostPhase => phasesByNumber.get(record.phase) ?? hostPhase.joining;

/** Whether a member may still answer. */
export const isLive = (member: Member): boolean =>
	member.state === memberState.alive || member.state === memberState.draining;
