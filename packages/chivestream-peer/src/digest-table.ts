/** The latest digest of each publisher: the hosts that it observes directly, and when the digest last advanced. */
import {type Digest} from './generated/peer.js';

/** The latest digest of a publisher. */
export type HeldDigest = {
	digest: Digest;
	/** Local time, in milliseconds, at which a digest with a higher sequence last arrived. */
	advancedAt: number;
	/** Received from the publisher itself, not relayed by another host. */
	isDirect: boolean;
};

/** The digests by publisher id. */
export type DigestTable = {
	/** Stores a digest if it is newer than the one held. Returns false if it omits hosts that are not held for its version. */
	merge: (digest: Digest, now: number, isDirect: boolean) => boolean;
	all: () => HeldDigest[];
	remove: (publisherId: string) => void;
	/** Moves all recorded times forward, which excludes a pause of this process from timeouts. */
	shiftTimes: (offsetMs: number) => void;
};

/** Map key that identifies one incarnation of a host. */
export const incarnationKey = ({id, incarnation}: {id: string; incarnation: string}): string => `${id}~${incarnation}`;

const isNewer = (digest: Digest, held: HeldDigest | undefined): boolean => {
	if (!held || digest.publisherIncarnation > held.digest.publisherIncarnation) {
		return true;
	}

	return digest.publisherIncarnation === held.digest.publisherIncarnation && digest.sequence > held.digest.sequence;
};

/** Creates an empty table. */
export const createDigestTable = (): DigestTable => {
	const digests = new Map<string, HeldDigest>();
	return {
		merge(digest, now, isDirect) {
			const held = digests.get(digest.publisherId);
			if (!isNewer(digest, held)) {
				return true;
			}

			const isSameVersion = held?.digest.version === digest.version
				&& held.digest.publisherIncarnation === digest.publisherIncarnation;
			if (digest.hasHosts) {
				digests.set(digest.publisherId, {
					digest, advancedAt: now, isDirect,
				});
				return true;
			}

			if (!held || !isSameVersion) {
				return false;
			}

			const updated = {...held.digest, sequence: digest.sequence, configuration: digest.configuration};
			digests.set(digest.publisherId, {
				digest: updated, advancedAt: now, isDirect,
			});
			return true;
		},
		all: () => [...digests.values()],
		remove(publisherId) {
			digests.delete(publisherId);
		},
		shiftTimes(offsetMs) {
			for (const held of digests.values()) {
				held.advancedAt += offsetMs;
			}
		},
	};
};
