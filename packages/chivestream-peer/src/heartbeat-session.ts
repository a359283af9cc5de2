/** What passes between this host and one run of another: numbering, acknowledgements, and what the other already has. */
import {incarnationKey} from './digest-table.js';
import {type Digest, type HeartbeatMessage} from './generated/peer.js';

const maxUnacknowledgedMessages = 8;

type PeerDigestVersion = {incarnationKey: string; version: number; sequence: number};
type SentMessage = {sentAt: number; digests: readonly Digest[]};

/** The state of the exchange with one run of a host. */
export type HeartbeatSession = {
	/** The digests that the other lacks, each without its hosts where the other has those. */
	selectDigests: (digests: readonly Digest[]) => Digest[];
	/** Numbers a message that is about to be sent. */
	recordSent: (digests: readonly Digest[], now: number) => {sequence: number; acknowledgedSequence: number};
	/** Takes in a received message; gives the time at which the message that it acknowledges was sent. */
	recordReceived: (message: HeartbeatMessage) => number | undefined;
};

const publisherKey = ({publisherId, publisherIncarnation}: Digest): string =>
	incarnationKey({id: publisherId, incarnation: publisherIncarnation});

/** Creates the state of an exchange that has not begun. */
export const createHeartbeatSession = (): HeartbeatSession => {
	const peerVersions = new Map<string, PeerDigestVersion>();
	const sentMessages = new Map<number, SentMessage>();
	let sentSequence = 0;
	let receivedSequence = 0;

	const isNewer = (digest: Digest): boolean => {
		const peerVersion = peerVersions.get(digest.publisherId);
		return peerVersion?.incarnationKey !== publisherKey(digest) || digest.sequence > peerVersion.sequence;
	};

	const omitKnownHosts = (digest: Digest): Digest => {
		const peerVersion = peerVersions.get(digest.publisherId);
		const isHeldByPeer = peerVersion?.incarnationKey === publisherKey(digest) && peerVersion.version === digest.version;
		return isHeldByPeer
			? {
				...digest, zone: '', hasHosts: false, hosts: [],
			}
			: digest;
	};

	const recordHeld = (digests: readonly Digest[]) => {
		for (const digest of digests) {
			peerVersions.set(digest.publisherId, {incarnationKey: publisherKey(digest), version: digest.version, sequence: digest.sequence});
		}
	};

	return {
		selectDigests: digests => digests.filter(digest => isNewer(digest)).map(digest => omitKnownHosts(digest)),
		recordSent(digests, now) {
			sentSequence += 1;
			sentMessages.set(sentSequence, {sentAt: now, digests});
			sentMessages.delete(sentSequence - maxUnacknowledgedMessages);
			return {sequence: sentSequence, acknowledgedSequence: receivedSequence};
		},
		recordReceived({sequence, acknowledgedSequence, missingPublisherIds}) {
			receivedSequence = Math.max(receivedSequence, sequence);
			const acknowledgedMessage = sentMessages.get(acknowledgedSequence);
			recordHeld(acknowledgedMessage?.digests ?? []);
			for (const publisherId of missingPublisherIds) {
				peerVersions.delete(publisherId);
			}

			return acknowledgedMessage?.sentAt;
		},
	};
};
