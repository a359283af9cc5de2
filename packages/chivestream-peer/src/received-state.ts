/** Takes in what other hosts say and keeps the evidence. */
import {type Clock, type Host} from 'chivestream-core';
import {createDigestTable, type DigestTable} from './digest-table.js';
import {
	type ConfigurationMark, type Digest, type HeartbeatMessage, type HostRecord,
} from './generated/peer.js';
import {createHostTable, type HostTable} from './host-table.js';
import {createHeartbeatSession, type HeartbeatSession} from './heartbeat-session.js';

/** Whom the evidence concerns and who is told. */
export type ReceivedStateOptions = {
	self: Host;
	clock: Clock;
	/** Called when a host, an incarnation or a phase is new, or a silent host has spoken. */
	onHostChange: () => void;
	onConfiguration: (hostId: string, mark: ConfigurationMark) => void;
	onSuperseded: (incarnation: string) => void;
	/** Called with the time at which an acknowledged message was sent. */
	onAcknowledged: (host: Host, sentAt: number) => void;
	isLive: (hostId: string) => boolean;
};

/** What a received message lacks or shows. */
export type AcceptResult = {
	/** The sender is over: a newer incarnation of it is known. */
	newerIncarnation: string;
	missingPublisherIds: string[];
};

/** The evidence of one host. */
export type ReceivedState = {
	hosts: HostTable;
	digests: DigestTable;
	sessionWith: (run: {id: string; incarnation: string}) => HeartbeatSession;
	accept: (message: HeartbeatMessage) => AcceptResult;
	remove: (hostId: string) => void;
	shiftTimes: (lengthMs: number) => void;
};

/** Creates the evidence of a host that knows nobody. */
export const createReceivedState = (options: ReceivedStateOptions): ReceivedState => {
	const {self, clock} = options;
	const hosts = createHostTable();
	const digests = createDigestTable();
	const sessions = new Map<string, {incarnation: string; session: HeartbeatSession}>();

	const sessionWith = ({id, incarnation}: {id: string; incarnation: string}): HeartbeatSession => {
		const existing = sessions.get(id);
		if (existing?.incarnation === incarnation) {
			return existing.session;
		}

		const session = createHeartbeatSession();
		sessions.set(id, {incarnation, session});
		return session;
	};

	const checkSuperseded = (incarnation: string) => {
		if (incarnation > self.incarnation) {
			options.onSuperseded(incarnation);
		}
	};

	/** True where the record brought something new. */
	const applyRecord = (record: HostRecord): boolean => {
		if (record.id === self.id) {
			checkSuperseded(record.incarnation);
			return false;
		}

		return hosts.apply(record, clock.now()).isChanged;
	};

	const applyRecords = (records: readonly HostRecord[]): boolean =>
		records.map(record => applyRecord(record)).some(Boolean);

	const recordConfiguration = (hostId: string, mark: ConfigurationMark | undefined) => {
		const known = hosts.get(hostId);
		if (known && mark) {
			known.configuration = mark;
			options.onConfiguration(hostId, mark);
		}
	};

	const mergeDigest = (digest: Digest, senderId: string): boolean =>
		digest.publisherId === self.id || digests.merge(digest, clock.now(), digest.publisherId === senderId);

	/** Notes that a host spoke to this one directly; false where its record is missing. */
	const recordDirectMessage = (message: HeartbeatMessage): boolean => {
		const known = hosts.get(message.senderId);
		if (known?.host.incarnation !== message.senderIncarnation) {
			return false;
		}

		known.lastReceivedAt = clock.now();
		const sentAt = sessionWith(known.host).recordReceived(message);
		if (sentAt !== undefined && message.newerIncarnation === '') {
			options.onAcknowledged(known.host, sentAt);
		}

		return true;
	};

	const acceptCurrent = (message: HeartbeatMessage): string[] => {
		const isChanged = applyRecords([...message.hosts, ...message.digests.flatMap(digest => digest.hosts)]);
		const missing = message.digests
			.filter(digest => !mergeDigest(digest, message.senderId))
			.map(({publisherId}) => publisherId);
		if (!recordDirectMessage(message)) {
			return [...missing, message.senderId];
		}

		if (isChanged || !options.isLive(message.senderId)) {
			options.onHostChange();
		}

		recordConfiguration(message.senderId, message.configuration);
		for (const {publisherId, configuration} of message.digests) {
			recordConfiguration(publisherId, configuration);
		}

		return missing;
	};

	return {
		hosts,
		digests,
		sessionWith,
		accept(message) {
			checkSuperseded(message.newerIncarnation);
			const {senderId, senderIncarnation} = message;
			const latestIncarnation = senderId === self.id ? self.incarnation : hosts.latestIncarnation(senderId) ?? '';
			if (senderId === self.id || latestIncarnation > senderIncarnation) {
				checkSuperseded(senderId === self.id ? senderIncarnation : '');
				return {newerIncarnation: latestIncarnation > senderIncarnation ? latestIncarnation : '', missingPublisherIds: []};
			}

			return {newerIncarnation: '', missingPublisherIds: acceptCurrent(message)};
		},
		remove(hostId) {
			hosts.remove(hostId);
			digests.remove(hostId);
			sessions.delete(hostId);
		},
		shiftTimes(offsetMs) {
			hosts.shiftTimes(offsetMs);
			digests.shiftTimes(offsetMs);
		},
	};
};
