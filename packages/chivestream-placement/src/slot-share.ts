/** Divides the slots of a minion or worker among the entry hosts of its zone. */
import {rankByRendezvous} from 'chivestream-core';

/**
Number of slots or cores of a target that belong to host `selfId`, out of `count`. The hosts are ranked by rendezvous hashing
of the target id, and unit i belongs to the host of rank i mod n; 0 when the host is not among `hostIds`.
*/
export const computeHostShare = (targetId: string, count: number, hostIds: readonly string[], selfId: string): number => {
	const rank = rankByRendezvous(targetId, hostIds).indexOf(selfId);
	if (rank === -1 || rank >= count) {
		return 0;
	}

	return Math.floor((count - rank - 1) / hostIds.length) + 1;
};
