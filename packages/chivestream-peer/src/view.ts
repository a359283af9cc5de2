/** What this host believes of all others, computed from the evidence it has. */
import {type DigestTable} from './digest-table.js';
import {hostPhase} from './handlers.js';
import {type HostTable, type KnownHost} from './host-table.js';
import {memberState, type Member, type MemberState} from './member.js';
import {type Timing} from './timing.js';

/** What a view is computed from. */
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

/** Notes for each host the latest time at which a digest that still lists it advanced. */
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
All known hosts with their states at a time. A host that no digest lists any more is suspected at once. A member that has not
changed is the same object as before.
*/
export const computeMembers = (inputs: ViewInputs, now: number, previousMembers: ReadonlyMap<string, Member>): Member[] => {
	const {hosts, zone, timing} = inputs;
	updateListedTimes(inputs);
	return hosts.all().map(known => {
		const {host, phase, configuration} = known;
		const confirmedAt = Math.max(known.lastReceivedAt, known.discoveredAt, known.lastListedAt);
		known.lastSeenAt = Math.max(known.lastSeenAt, confirmedAt);
		const suspicionMs = host.zone === zone ? timing.suspicionTimeoutMs : timing.interZoneSuspicionTimeoutMs;
		const state = deriveState(known, now - confirmedAt < suspicionMs, now - known.lastSeenAt >= timing.deadTimeoutMs);
		const previous = previousMembers.get(host.id);
		return previous && isUnchanged(previous, known, state)
			? previous
			: {
				host, phase, configuration, state,
			};
	});
};

/** The hosts of this host's own zone that it hears itself. */
export const listDirectlyObserved = ({hosts, zone, timing}: ViewInputs, now: number): KnownHost[] => hosts.all()
	.filter(({host}) => host.zone === zone)
	.filter(({phase, lastReceivedAt}) => phase !== hostPhase.left && now - lastReceivedAt < timing.suspicionTimeoutMs);
