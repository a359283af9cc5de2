/** Heartbeat exchange with one incarnation of another host: sequence numbers, acknowledgements and digests that it already has. */
import {incarnationKey} from './digest-table.js';
import {type Digest, type HeartbeatMessage} from './generated/peer.js';

/** Sent messages that are kept for their acknowledgement; older ones are dropped. */
const maxUnacknowledgedMessages = 8;

/** The latest digest of a publisher that the peer is known to have. */
type PeerDigestVersion = {incarnationKey: string; version: number; sequence: number};
type SentMessage = {sentAt: number; digests: readonly Digest[]};

/** State of the exchange with one incarnation of a host, the peer. */
export type HeartbeatSession = {
	/** Returns the digests that the peer does not have, without their hosts if it has those of the same version. */
	selectDigests: (digests: readonly Digest[]) => Digest[];
	/** Records a message before it is sent, and returns its sequence numbers. */
	recordSent: (digests: readonly Digest[], now: number) => {sequence: number; acknowledgedSequence: number};
	/** Records a received message. Returns the time at which the message that it acknowledges was sent, if that is still kept. */
	recordReceived: (message: HeartbeatMessage) => number | undefined;
};

const publisherKey = ({publisherId, publisherIncarnation}: Digest): string =>
	incarnationKey({id: publisherId, incarnation: publisherIncarnation});

/** Creates the state of an exchange in which no message was sent yet. */
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

	const recordPeerVersions = (digests: readonly Digest[]) => {
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
			recordPeerVersions(acknowledgedMessage?.digests ?? []);
			for (const publisherId of missingPublisherIds) {
				peerVersions.delete(publisherId);
			}

			return acknowledgedMessage?.sentAt;
		},
	};
};
