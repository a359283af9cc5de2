/** What passes between this host and one run of another: numbering, acknowledgements, and what the other already has. */
import {formatRun} from './digest-table.js';
import {type Digest, type HeartbeatMessage} from './generated/peer.js';

const maxUnacknowledged = 8;

type Held = {run: string; version: number; sequence: number};
type Sent = {sentAt: number; digests: readonly Digest[]};

/** The state of the exchange with one run of a host. */
export type Link = {
	/** The digests that the other lacks, each without its hosts where the other has those. */
	selectDigests: (digests: readonly Digest[]) => Digest[];
	/** Numbers a message that is about to be sent. */
	noteSent: (digests: readonly Digest[], now: number) => {sequence: number; acknowledgedSequence: number};
	/** Takes in a received message; gives the time at which the message that it acknowledges was sent. */
	noteReceived: (message: HeartbeatMessage) => number | undefined;
};

const publisherRun = ({publisherId, publisherIncarnation}: Digest): string =>
	formatRun({id: publisherId, incarnation: publisherIncarnation});

/** Creates the state of an exchange that has not begun. */
export const createLink = (): Link => {
	const held = new Map<string, Held>();
	const sent = new Map<number, Sent>();
	let sentSequence = 0;
	let receivedSequence = 0;

	const isNews = (digest: Digest): boolean => {
		const before = held.get(digest.publisherId);
		return before?.run !== publisherRun(digest) || digest.sequence > before.sequence;
	};

	const strip = (digest: Digest): Digest => {
		const before = held.get(digest.publisherId);
		const isKnown = before?.run === publisherRun(digest) && before.version === digest.version;
		return isKnown
			? {
				...digest, zone: '', hasHosts: false, hosts: [],
			}
			: digest;
	};

	const noteHeld = (digests: readonly Digest[]) => {
		for (const digest of digests) {
			held.set(digest.publisherId, {run: publisherRun(digest), version: digest.version, sequence: digest.sequence});
		}
	};

	return {
		selectDigests: digests => digests.filter(digest => isNews(digest)).map(digest => strip(digest)),
		noteSent(digests, now) {
			sentSequence += 1;
			sent.set(sentSequence, {sentAt: now, digests});
			sent.delete(sentSequence - maxUnacknowledged);
			return {sequence: sentSequence, acknowledgedSequence: receivedSequence};
		},
		noteReceived({sequence, acknowledgedSequence, missingPublisherIds}) {
			receivedSequence = Math.max(receivedSequence, sequence);
			const acknowledged = sent.get(acknowledgedSequence);
			noteHeld(acknowledged?.digests ?? []);
			for (const publisherId of missingPublisherIds) {
				held.delete(publisherId);
			}

			return acknowledged?.sentAt;
		},
	};
};
