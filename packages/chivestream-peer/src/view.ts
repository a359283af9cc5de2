/** What this host believes of all others, computed from the evidence it has. */
import {type DigestTable, formatRun} from './digest-table.js';
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

const note = (times: Map<string, number>, run: string, time: number) => {
	times.set(run, Math.max(times.get(run) ?? 0, time));
};

/** For each run of a host, the latest time at which another host's digest vouched for it. */
const collectVouchers = ({digests}: Evidence): Map<string, number> => {
	const times = new Map<string, number>();
	for (const {digest, heard, advancedAt} of digests.all()) {
		note(times, formatRun({id: digest.publisherId, incarnation: digest.publisherIncarnation}), advancedAt);
		for (const run of heard) {
			note(times, run, advancedAt);
		}
	}

	return times;
};

/** All known hosts with their states at a time. A host that no digest lists any more is suspected at once. */
export const computeMembers = (evidence: Evidence, now: number): Member[] => {
	const {hosts, zone, timing} = evidence;
	const vouchers = collectVouchers(evidence);
	return hosts.all().map(known => {
		const {host, phase, configuration} = known;
		const latest = Math.max(known.heardAt, known.learnedAt, vouchers.get(known.run) ?? 0);
		known.evidenceAt = Math.max(known.evidenceAt, latest);
		const {evidenceAt} = known;
		const suspicionMs = host.zone === zone ? timing.suspicionMs : timing.zoneSuspicionMs;
		const state = stateOf(known, now - latest < suspicionMs, now - evidenceAt >= timing.deadMs);
		return {
			host, phase, configuration, evidenceAt, state,
		};
	});
};

/** Ids of the hosts of this host's own zone that it hears itself. */
export const listHeard = ({hosts, zone, timing}: Evidence, now: number): KnownHost[] => hosts.all()
	.filter(({host}) => host.zone === zone)
	.filter(({phase, heardAt}) => phase !== hostPhase.left && now - heardAt < timing.suspicionMs);
