/**
Whether this host may hold slots of its zone. It may while others acknowledge its heartbeats. After a silence of its own it
may again only once every host of the zone that it sees live has acknowledged a heartbeat sent since, or, where it sees
none, after a wait.
*/
import {type Timing} from './timing.js';

/** The share of this host. */
export type SlotEligibility = {
	/** Notes that a heartbeat sent at a time was acknowledged. */
	recordAcknowledgement: (id: string, sentAt: number) => void;
	/** Looks at the time and the live hosts of the zone; true while slots may be held. */
	update: (now: number, livePeerIds: readonly string[], timing: Timing) => boolean;
};

/** Creates the share of a host that has just started. */
export const createSlotEligibility = (startedAt: number): SlotEligibility => {
	const acknowledgedAt = new Map<string, number>();
	let ineligibleSince = startedAt;
	let isEligible = false;
	let isSoleHost = false;

	const canRemainEligible = (now: number, livePeerIds: readonly string[], {acknowledgementTimeoutMs}: Timing): boolean => {
		if (livePeerIds.length === 0) {
			return isSoleHost || now - Math.max(...acknowledgedAt.values()) < acknowledgementTimeoutMs;
		}

		return livePeerIds.some(id => now - (acknowledgedAt.get(id) ?? 0) < acknowledgementTimeoutMs);
	};

	const canBecomeEligible = (now: number, livePeerIds: readonly string[], {acknowledgementTimeoutMs, soleHostDelayMs}: Timing): boolean => {
		if (livePeerIds.length === 0) {
			return now - ineligibleSince >= soleHostDelayMs;
		}

		return livePeerIds.every(id => {
			const sentAt = acknowledgedAt.get(id) ?? 0;
			return sentAt > ineligibleSince && now - sentAt < acknowledgementTimeoutMs;
		});
	};

	return {
		recordAcknowledgement(id, sentAt) {
			acknowledgedAt.set(id, Math.max(sentAt, acknowledgedAt.get(id) ?? 0));
		},
		update(now, livePeerIds, timing) {
			if (isEligible && !canRemainEligible(now, livePeerIds, timing)) {
				isEligible = false;
				ineligibleSince = now;
			}

			isEligible ||= canBecomeEligible(now, livePeerIds, timing);

			isSoleHost = isEligible && livePeerIds.length === 0;
			return isEligible;
		},
	};
};
