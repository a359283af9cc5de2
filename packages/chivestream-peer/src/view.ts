/** What this host believes of all others, computed from the evidence it has. */
import {type DigestTable} from './digest-table.js';
import {hostPhase} from './handlers.js';
import {type HostTable, type KnownHost} from './host-table.js';
import {memberState, type Member, type MemberState} from './member.js';
import {type Timing} from './timing.js';

/** What a view is computed from. */
export type Evidence = {
	hosts: HostTable;
	digests: DigestTable;
	zone: string;
	timing: Timing;
};

const stateOf = (known: KnownHost, isHeard: boolean, isSilentForLong: boolean): MemberState => {
	if (known.phase === hostPhase.left) {
		return memberState.left;
	}

	if (isHeard) {
		return known.phase === hostPhase.draining ? memberState.draining : memberState.alive;
	}

	return isSilentForLong ? memberState.dead : memberState.suspected;
};

/** Notes for each host the latest time at which a digest that still lists it advanced. */
const noteVouchers = ({hosts, digests}: Evidence) => {
	for (const known of hosts.all()) {
		known.vouchedAt = 0;
	}

	for (const {digest, advancedAt} of digests.all()) {
		for (const {id, incarnation} of digest.hosts) {
			const known = hosts.get(id);
			if (known?.host.incarnation === incarnation) {
				known.vouchedAt = Math.max(known.vouchedAt, advancedAt);
			}
		}
	}
};

const isSame = (member: Member, known: KnownHost, state: MemberState): boolean =>
	member.host === known.host
	&& member.state === state
	&& member.configuration?.nextOffset === known.configuration?.nextOffset;

/**
All known hosts with their states at a time. A host that no digest lists any more is suspected at once. A member that has not
changed is the same object as before.
*/
export const computeMembers = (evidence: Evidence, now: number, before: ReadonlyMap<string, Member>): Member[] => {
	const {hosts, zone, timing} = evidence;
	noteVouchers(evidence);
	return hosts.all().map(known => {
		const {host, phase, configuration} = known;
		const latest = Math.max(known.heardAt, known.learnedAt, known.vouchedAt);
		known.evidenceAt = Math.max(known.evidenceAt, latest);
		const suspicionMs = host.zone === zone ? timing.suspicionMs : timing.zoneSuspicionMs;
		const state = stateOf(known, now - latest < suspicionMs, now - known.evidenceAt >= timing.deadMs);
		const previous = before.get(host.id);
		return previous && isSame(previous, known, state)
			? previous
			: {
				host, phase, configuration, state,
			};
	});
};

/** The hosts of this host's own zone that it hears itself. */
export const listHeard = ({hosts, zone, timing}: Evidence, now: number): KnownHost[] => hosts.all()
	.filter(({host}) => host.zone === zone)
	.filter(({phase, heardAt}) => phase !== hostPhase.left && now - heardAt < timing.suspicionMs);
