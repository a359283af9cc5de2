/**
Whether this host may hold slots of its zone. It may while others acknowledge its heartbeats. After a silence of its own it
may again only once every host of the zone that it sees live has acknowledged a heartbeat sent since, or, where it sees
none, after a wait.
*/
import {type Timing} from './timing.js';

/** The share of this host. */
export type Sharing = {
	/** Notes that a heartbeat sent at a time was acknowledged. */
	acknowledge: (id: string, sentAt: number) => void;
	/** Looks at the time and the live hosts of the zone; true while slots may be held. */
	check: (now: number, livePeerIds: readonly string[], timing: Timing) => boolean;
};

/** Creates the share of a host that has just started. */
export const createSharing = (startedAt: number): Sharing => {
	const acknowledgedAt = new Map<string, number>();
	let lapsedAt = startedAt;
	let isSharing = false;
	let isAlone = false;

	const isHeld = (now: number, livePeerIds: readonly string[], {holdMs}: Timing): boolean => {
		if (livePeerIds.length === 0) {
			return isAlone || now - Math.max(...acknowledgedAt.values()) < holdMs;
		}

		return livePeerIds.some(id => now - (acknowledgedAt.get(id) ?? 0) < holdMs);
	};

	const isRegained = (now: number, livePeerIds: readonly string[], {holdMs, aloneMs}: Timing): boolean => {
		if (livePeerIds.length === 0) {
			return now - lapsedAt >= aloneMs;
		}

		return livePeerIds.every(id => {
			const sentAt = acknowledgedAt.get(id) ?? 0;
			return sentAt > lapsedAt && now - sentAt < holdMs;
		});
	};

	return {
		acknowledge(id, sentAt) {
			acknowledgedAt.set(id, Math.max(sentAt, acknowledgedAt.get(id) ?? 0));
		},
		check(now, livePeerIds, timing) {
			if (isSharing && !isHeld(now, livePeerIds, timing)) {
				isSharing = false;
				lapsedAt = now;
			}

			isSharing ||= isRegained(now, livePeerIds, timing);

			isAlone = isSharing && livePeerIds.length === 0;
			return isSharing;
		},
	};
};
