/** The local view: the state of every other host, computed from what was received. */
import {type DigestTable} from './digest-table.js';
import {hostPhase} from './handlers.js';
import {type HostTable, type KnownHost} from './host-table.js';
import {memberState, type Member, type MemberState} from './member.js';
import {type Timing} from './timing.js';

/** Received state, local zone and timing from which the view is computed. */
export type ViewInputs = {
	hosts: HostTable;
	digests: DigestTable;
	zone: string;
	timing: Timing;
};

const deriveState = (known: KnownHost, isRecentlySeen: boolean, hasTimedOut: boolean): MemberState => {
	if (known.phase === hostPhase.left) {
		return memberState.left;
	}

	if (isRecentlySeen) {
		return known.phase === hostPhase.draining ? memberState.draining : memberState.alive;
	}

	return hasTimedOut ? memberState.dead : memberState.suspected;
};

/** Sets `lastListedAt` of every host from the digests that currently list it. */
const updateListedTimes = ({hosts, digests}: ViewInputs) => {
	for (const known of hosts.all()) {
		known.lastListedAt = 0;
	}

	for (const {digest, advancedAt} of digests.all()) {
		for (const {id, incarnation} of digest.hosts) {
			const known = hosts.get(id);
			if (known?.host.incarnation === incarnation) {
				known.lastListedAt = Math.max(known.lastListedAt, advancedAt);
			}
		}
	}
};

const isUnchanged = (member: Member, known: KnownHost, state: MemberState): boolean =>
	member.host === known.host
	&& member.state === state
	&& member.configuration?.nextOffset === known.configuration?.nextOffset;

/**
Computes the members and their states at the time `now`. A host that no digest lists any more is suspected at once, unless it
has sent a message recently. An unchanged member keeps its object from `previousMembers`, so that changes can be detected by
identity.
*/
export const computeMembers = (inputs: ViewInputs, now: number, previousMembers: ReadonlyMap<string, Member>): Member[] => {
	const {hosts, zone, timing} = inputs;
	updateListedTimes(inputs);
	return hosts.all().map(known => {
		const {host, phase, configuration} = known;
		const confirmedAt = Math.max(known.lastReceivedAt, known.discoveredAt, known.lastListedAt);
		known.lastSeenAt = Math.max(known.lastSeenAt, confirmedAt);
		const suspicionTimeoutMs = host.zone === zone ? timing.suspicionTimeoutMs : timing.interZoneSuspicionTimeoutMs;
		const state = deriveState(known, now - confirmedAt < suspicionTimeoutMs, now - known.lastSeenAt >= timing.deadTimeoutMs);
		const previous = previousMembers.get(host.id);
		return previous && isUnchanged(previous, known, state)
			? previous
			: {
				host, phase, configuration, state,
			};
	});
};

/** Hosts of the local zone that have sent a message to this host within the suspicion timeout and have not left. */
export const listDirectlyObserved = ({hosts, zone, timing}: ViewInputs, now: number): KnownHost[] => hosts.all()
	.filter(({host}) => host.zone === zone)
	.filter(({phase, lastReceivedAt}) => phase !== hostPhase.left && now - lastReceivedAt < timing.suspicionTimeoutMs);
