/** Takes in what other hosts say and keeps the evidence. */
import {type Clock, type Host} from 'chivestream-core';
import {createDigestTable, type DigestTable} from './digest-table.js';
import {
	type ConfigurationMark, type Digest, type HeartbeatMessage, type HostRecord,
} from './generated/peer.js';
import {createHostTable, type HostTable} from './host-table.js';
import {createLink, type Link} from './link.js';

/** Whom the evidence concerns and who is told. */
export type KnowledgeOptions = {
	self: Host;
	clock: Clock;
	/** Called when a host, an incarnation or a phase is new, or a silent host has spoken. */
	onNews: () => void;
	onConfiguration: (hostId: string, mark: ConfigurationMark) => void;
	onSuperseded: (incarnation: string) => void;
	/** Called with the time at which an acknowledged message was sent. */
	onAcknowledged: (host: Host, sentAt: number) => void;
	isLive: (hostId: string) => boolean;
};

/** What a received message lacks or shows. */
export type Acceptance = {
	/** The sender is over: a newer incarnation of it is known. */
	newerIncarnation: string;
	missingPublisherIds: string[];
};

/** The evidence of one host. */
export type Knowledge = {
	hosts: HostTable;
	digests: DigestTable;
	linkTo: (run: {id: string; incarnation: string}) => Link;
	accept: (message: HeartbeatMessage) => Acceptance;
	forget: (hostId: string) => void;
	excuse: (lengthMs: number) => void;
};

/** Creates the evidence of a host that knows nobody. */
export const createKnowledge = (options: KnowledgeOptions): Knowledge => {
	const {self, clock} = options;
	const hosts = createHostTable();
	const digests = createDigestTable();
	const links = new Map<string, {incarnation: string; link: Link}>();

	const linkTo = ({id, incarnation}: {id: string; incarnation: string}): Link => {
		const existing = links.get(id);
		if (existing?.incarnation === incarnation) {
			return existing.link;
		}

		const link = createLink();
		links.set(id, {incarnation, link});
		return link;
	};

	const checkSuperseded = (incarnation: string) => {
		if (incarnation > self.incarnation) {
			options.onSuperseded(incarnation);
		}
	};

	/** True where the record brought something new. */
	const observe = (record: HostRecord): boolean => {
		if (record.id === self.id) {
			checkSuperseded(record.incarnation);
			return false;
		}

		return hosts.observe(record, clock.now()).isNews;
	};

	const observeAll = (records: readonly HostRecord[]): boolean =>
		records.map(record => observe(record)).some(Boolean);

	const noteConfiguration = (hostId: string, mark: ConfigurationMark | undefined) => {
		const known = hosts.get(hostId);
		if (known && mark) {
			known.configuration = mark;
			options.onConfiguration(hostId, mark);
		}
	};

	const mergeDigest = (digest: Digest, senderId: string): boolean =>
		digest.publisherId === self.id || digests.merge(digest, clock.now(), digest.publisherId === senderId);

	/** Notes that a host spoke to this one directly; false where its record is missing. */
	const hear = (message: HeartbeatMessage): boolean => {
		const known = hosts.get(message.senderId);
		if (known?.host.incarnation !== message.senderIncarnation) {
			return false;
		}

		known.heardAt = clock.now();
		const sentAt = linkTo(known.host).noteReceived(message);
		if (sentAt !== undefined && message.newerIncarnation === '') {
			options.onAcknowledged(known.host, sentAt);
		}

		return true;
	};

	const acceptCurrent = (message: HeartbeatMessage): string[] => {
		const isNews = observeAll([...message.hosts, ...message.digests.flatMap(digest => digest.hosts)]);
		const missing = message.digests
			.filter(digest => !mergeDigest(digest, message.senderId))
			.map(({publisherId}) => publisherId);
		if (!hear(message)) {
			return [...missing, message.senderId];
		}

		if (isNews || !options.isLive(message.senderId)) {
			options.onNews();
		}

		noteConfiguration(message.senderId, message.configuration);
		for (const {publisherId, configuration} of message.digests) {
			noteConfiguration(publisherId, configuration);
		}

		return missing;
	};

	return {
		hosts,
		digests,
		linkTo,
		accept(message) {
			checkSuperseded(message.newerIncarnation);
			const {senderId, senderIncarnation} = message;
			const latest = senderId === self.id ? self.incarnation : hosts.latestIncarnation(senderId) ?? '';
			if (senderId === self.id || latest > senderIncarnation) {
				checkSuperseded(senderId === self.id ? senderIncarnation : '');
				return {newerIncarnation: latest > senderIncarnation ? latest : '', missingPublisherIds: []};
			}

			return {newerIncarnation: '', missingPublisherIds: acceptCurrent(message)};
		},
		forget(hostId) {
			hosts.forget(hostId);
			digests.drop(hostId);
			links.delete(hostId);
		},
		excuse(lengthMs) {
			hosts.excuse(lengthMs);
			digests.excuse(lengthMs);
		},
	};
};
