/** Which hosts of a zone speak for it towards other zones. */
import {rankByRendezvous} from 'chivestream-core';
import {isLive, memberState, type Member} from './member.js';

const representativesPerZone = 2;

const cachedChoices = new Map<string, {candidates: string; chosen: string[]}>();

/** The ids that speak for a zone: the first two in rendezvous order, the same for all who see the same live hosts. */
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

/** The representatives of a zone in order of rank: among its live members, or among all that may come back where none is live. */
export const representativesOf = (zone: string, members: readonly Member[]): Member[] => {
	const inZone = members.filter(member => member.host.zone === zone && member.state !== memberState.left);
	const live = inZone.filter(member => isLive(member));
	const candidates = new Map((live.length > 0 ? live : inZone).map(member => [member.host.id, member]));
	return chooseRepresentatives(zone, [...candidates.keys()])
		.map(id => candidates.get(id))
		.filter(member => member !== undefined);
};

/**
Whom a host exchanges heartbeats with: every host of its zone and, if it is a representative, the one of the same rank in
each other zone.
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
