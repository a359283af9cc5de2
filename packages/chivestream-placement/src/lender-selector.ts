/** Decides which hosts to ask for slots, from what they last said of their idle ones: those of the own zone first. */

import {type LendingPolicy} from './lending.js';

/** A request for slots to one host. */
export type SlotRequest = {
	lenderId: string;
	upstream: string;
	count: number;
};

/** A host that may lend. */
export type Lender = {
	id: string;
	isInZone: boolean;
};

/** What one host knows of the idle slots of the others, for each upstream. */
export type LenderSelector = {
	/** Takes what a host said of its idle slots. */
	recordIdleSlots: (lender: Lender, upstream: string, count: number) => void;
	/** Forgets a host that left. */
	removeLender: (lenderId: string) => void;
	/** Whom to ask for how many, the one with most idle slots first; nothing while an answer is outstanding. */
	plan: (upstream: string, count: number, policy: Pick<LendingPolicy, 'maxLendersPerRequest' | 'canBorrowAcrossZones'>) => SlotRequest[];
	/** Takes the answer to a request; 0 when the host lent nothing or did not answer. */
	handleAnswer: (request: SlotRequest, granted: number) => void;
};

/** Share of a host's idle slots that it may be expected to lend. */
const expectedLentShare = 0.5;

/** A choice that knows no lender yet. */
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
