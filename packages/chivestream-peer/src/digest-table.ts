/** The digests of all publishers: which hosts each of them hears directly, and when it last spoke. */
import {type Digest} from './generated/peer.js';

/** A publisher's latest digest. */
export type HeldDigest = {
	digest: Digest;
	/** Time at which its sequence last grew. */
	advancedAt: number;
	/** Came from the publisher itself. */
	isDirect: boolean;
};

/** The digests by publisher id. */
export type DigestTable = {
	/** Takes in a digest if it is newer than the one held; false where its hosts are needed and were left out. */
	merge: (digest: Digest, now: number, isDirect: boolean) => boolean;
	all: () => HeldDigest[];
	remove: (publisherId: string) => void;
	/** Leaves a silence of this host itself out of account: moves all times of evidence forward. */
	shiftTimes: (lengthMs: number) => void;
};

/** Text form of one run of a host. */
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
