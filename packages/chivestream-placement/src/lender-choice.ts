/** Decides which hosts to ask for slots, from what they last said of their idle ones: those of the own zone first. */

import {type LendingTerms} from './lending.js';

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
export type LenderChoice = {
	/** Takes what a host said of its idle slots. */
	noteIdle: (lender: Lender, upstream: string, count: number) => void;
	/** Forgets a host that left. */
	forget: (lenderId: string) => void;
	/** Whom to ask for how many, the one with most idle slots first; nothing while an answer is outstanding. */
	plan: (upstream: string, count: number, terms: Pick<LendingTerms, 'lendersPerRequest' | 'isAcrossZones'>) => SlotRequest[];
	/** Takes the answer to a request; 0 when the host lent nothing or did not answer. */
	noteAnswer: (request: SlotRequest, granted: number) => void;
};

/** Share of a host's idle slots that it may be expected to lend. */
const expectedLentShare = 0.5;

/** A choice that knows no lender yet. */
export const createLenderChoice = (): LenderChoice => {
	const idle = new Map<string, Map<string, number>>();
	const outstanding = new Set<string>();
	const isInZone = new Map<string, boolean>();

	const idleOf = (upstream: string): Map<string, number> => {
		let counts = idle.get(upstream);
		if (!counts) {
			counts = new Map();
			idle.set(upstream, counts);
		}

		return counts;
	};

	return {
		noteIdle(lender, upstream, count) {
			isInZone.set(lender.id, lender.isInZone);
			idleOf(upstream).set(lender.id, count);
		},
		forget(lenderId) {
			for (const counts of idle.values()) {
				counts.delete(lenderId);
			}
		},
		plan(upstream, count, {lendersPerRequest, isAcrossZones}) {
			if (outstanding.has(upstream)) {
				return [];
			}

			let left = count;
			const requests: SlotRequest[] = [];
			const farness = (lenderId: string) => isInZone.get(lenderId) ? 0 : 1;
			const lenders = [...idleOf(upstream)].filter(([id]) => isAcrossZones || isInZone.get(id)).toSorted(([left, leftIdle], [right, rightIdle]) =>
				(farness(left) - farness(right)) || (rightIdle - leftIdle));
			for (const [lenderId, lenderIdle] of lenders) {
				const asked = Math.min(left, Math.floor(lenderIdle * expectedLentShare));
				if (asked > 0 && requests.length < lendersPerRequest) {
					requests.push({lenderId, upstream, count: asked});
					left -= asked;
				}
			}

			if (requests.length > 0) {
				outstanding.add(upstream);
			}

			return requests;
		},
		noteAnswer({lenderId, upstream, count}, granted) {
			outstanding.delete(upstream);
			const counts = idleOf(upstream);
			const known = counts.get(lenderId) ?? 0;
			counts.set(lenderId, granted < count ? 0 : Math.max(0, known - granted));
		},
	};
};
