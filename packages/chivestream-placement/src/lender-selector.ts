/** Selects the hosts from which to request slots, by the idle slots they last reported, local zone first. */

import {type LendingPolicy} from './lending.js';

/** A request to one host for a number of slots. */
export type SlotRequest = {
	lenderId: string;
	upstream: string;
	count: number;
};

/** A host that may lend slots. */
export type Lender = {
	id: string;
	/** Whether the host is in the local zone. */
	isInZone: boolean;
};

/** Idle slots that other hosts last reported for each upstream, and the requests that await an answer. */
export type LenderSelector = {
	/** Records the idle slots that a host reported for an upstream. */
	recordIdleSlots: (lender: Lender, upstream: string, count: number) => void;
	/** Removes a host that is no longer live. */
	removeLender: (lenderId: string) => void;
	/**
	Plans requests for at most `count` slots in total, to hosts of the local zone before others and to those with most idle
	slots first. Empty while a request for the upstream awaits its answer.
	*/
	plan: (upstream: string, count: number, policy: Pick<LendingPolicy, 'maxLendersPerRequest' | 'canBorrowAcrossZones'>) => SlotRequest[];
	/** Applies the answer to a request: the number of slots lent, 0 also when the host did not answer. */
	handleAnswer: (request: SlotRequest, granted: number) => void;
};

/** Share of its idle slots that a host is expected to lend. */
const expectedLentShare = 0.5;

/** Creates a selector without lenders. */
export const createLenderSelector = (): LenderSelector => {
	const idleByUpstream = new Map<string, Map<string, number>>();
	const pendingUpstreams = new Set<string>();
	const isInZoneById = new Map<string, boolean>();

	const getOrCreateIdleCounts = (upstream: string): Map<string, number> => {
		let counts = idleByUpstream.get(upstream);
		if (!counts) {
			counts = new Map();
			idleByUpstream.set(upstream, counts);
		}

		return counts;
	};

	return {
		recordIdleSlots(lender, upstream, count) {
			isInZoneById.set(lender.id, lender.isInZone);
			getOrCreateIdleCounts(upstream).set(lender.id, count);
		},
		removeLender(lenderId) {
			for (const counts of idleByUpstream.values()) {
				counts.delete(lenderId);
			}
		},
		plan(upstream, count, {maxLendersPerRequest, canBorrowAcrossZones}) {
			if (pendingUpstreams.has(upstream)) {
				return [];
			}

			let remaining = count;
			const requests: SlotRequest[] = [];
			const zoneDistance = (lenderId: string) => isInZoneById.get(lenderId) ? 0 : 1;
			const lenders = [...getOrCreateIdleCounts(upstream)].filter(([id]) => canBorrowAcrossZones || isInZoneById.get(id)).toSorted(([left, leftIdle], [right, rightIdle]) =>
				(zoneDistance(left) - zoneDistance(right)) || (rightIdle - leftIdle));
			for (const [lenderId, lenderIdle] of lenders) {
				const requested = Math.min(remaining, Math.ceil(lenderIdle * expectedLentShare));
				if (requested > 0 && requests.length < maxLendersPerRequest) {
					requests.push({lenderId, upstream, count: requested});
					remaining -= requested;
				}
			}

			if (requests.length > 0) {
				pendingUpstreams.add(upstream);
			}

			return requests;
		},
		handleAnswer({lenderId, upstream, count}, granted) {
			pendingUpstreams.delete(upstream);
			const counts = getOrCreateIdleCounts(upstream);
			const lastIdle = counts.get(lenderId) ?? 0;
			counts.set(lenderId, granted < count ? 0 : Math.max(0, lastIdle - granted));
		},
	};
};
