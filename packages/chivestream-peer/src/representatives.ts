/** Selection of the hosts that represent a zone to other zones, and of the hosts to send heartbeats to. */
import {rankByRendezvous} from 'chivestream-core';
import {isLive, memberState, type Member} from './member.js';

const representativesPerZone = 2;

const cachedChoices = new Map<string, {candidates: string; chosen: string[]}>();

/** Returns the ids of the first two hosts in rendezvous order. Hosts with the same set of live ids choose the same ones. */
export const chooseRepresentatives = (zone: string, liveIds: readonly string[]): string[] => {
	const candidates = liveIds.toSorted().join(' ');
	const last = cachedChoices.get(zone);
	if (last?.candidates === candidates) {
		return last.chosen;
	}

	const chosen = rankByRendezvous(zone, liveIds).slice(0, representativesPerZone);
	cachedChoices.set(zone, {candidates, chosen});
	return chosen;
};

/** Returns the representatives of a zone by rank, chosen among its live members, or all that have not left if none is live. */
export const representativesOf = (zone: string, members: readonly Member[]): Member[] => {
	const inZone = members.filter(member => member.host.zone === zone && member.state !== memberState.left);
	const live = inZone.filter(member => isLive(member));
	const candidates = new Map((live.length > 0 ? live : inZone).map(member => [member.host.id, member]));
	return chooseRepresentatives(zone, [...candidates.keys()])
		.map(id => candidates.get(id))
		.filter(member => member !== undefined);
};

/**
Returns the members with which a host exchanges heartbeats: every host of its zone and, if it is a representative, the
representative of the same rank in each other zone (or its last one, if that zone has fewer).
*/
export const listHeartbeatTargets = (self: Member, members: readonly Member[]): Member[] => {
	const {zone} = self.host;
	const present = members.filter(({state}) => state !== memberState.left);
	const inZone = present.filter(({host}) => host.zone === zone);
	const rank = representativesOf(zone, [...inZone, self]).indexOf(self);
	if (rank === -1) {
		return inZone;
	}

	const otherZones = new Set(present.map(({host}) => host.zone));
	otherZones.delete(zone);
	const counterparts = [...otherZones].map(otherZone => {
		const representatives = representativesOf(otherZone, present);
		return representatives[rank] ?? representatives.at(-1);
	});
	return [...inZone, ...counterparts.filter(member => member !== undefined)];
};
