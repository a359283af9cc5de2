/** Which hosts of a zone speak for it towards other zones. */
import {rankByRendezvous} from 'chivestream-core';
import {isLive, memberState, type Member} from './member.js';

const representativeCount = 2;

/** The ids that speak for a zone: the first two in rendezvous order, the same for all who see the same live hosts. */
export const chooseRepresentatives = (zone: string, liveIds: readonly string[]): string[] =>
	rankByRendezvous(zone, liveIds).slice(0, representativeCount);

/** The representatives of a zone among its live members; among all that may come back where none is live. */
export const representativesOf = (zone: string, members: readonly Member[]): Member[] => {
	const inZone = members.filter(member => member.host.zone === zone && member.state !== memberState.left);
	const live = inZone.filter(member => isLive(member));
	const candidates = live.length > 0 ? live : inZone;
	const chosen = new Set(chooseRepresentatives(zone, candidates.map(({host}) => host.id)));
	return candidates.filter(({host}) => chosen.has(host.id));
};
