/** Splits the slots of a minion or worker among the entry hosts that share it. */
import {rankByRendezvous} from 'chivestream-core';

/** How many of `count` units of a target fall to this host: unit i goes to the host of rank i mod n. */
export const computeHostShare = (targetId: string, count: number, hostIds: readonly string[], selfId: string): number => {
	const rank = rankByRendezvous(targetId, hostIds).indexOf(selfId);
	if (rank === -1 || rank >= count) {
		return 0;
	}

	return Math.floor((count - rank - 1) / hostIds.length) + 1;
};
