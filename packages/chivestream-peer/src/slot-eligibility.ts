/**
Decides whether this host may hold slots of its zone. It stays eligible while at least one live host of the zone
acknowledges its heartbeats. After startup or a loss of eligibility, every live host of the zone must have acknowledged a
heartbeat sent since then. If no other host of the zone is considered live, the host becomes eligible after a delay instead.
*/
import {type Timing} from './timing.js';

/** Eligibility of this host for slots. */
export type SlotEligibility = {
	/** Records that a host acknowledged a heartbeat sent at the given time. */
	recordAcknowledgement: (id: string, sentAt: number) => void;
	/** Re-evaluates the eligibility for the current time and the other live hosts of the zone. Returns true if slots may be held. */
	update: (now: number, livePeerIds: readonly string[], timing: Timing) => boolean;
};

/** Creates the eligibility of a host that has just started; it is not eligible yet. */
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
