/** State received from other hosts in heartbeats: their records, digests and configurations. */
import {type Clock, type Host} from 'chivestream-core';
import {createDigestTable, type DigestTable} from './digest-table.js';
import {
	type ConfigurationMark, type Digest, type HeartbeatMessage, type HostRecord,
} from './generated/peer.js';
import {createHostTable, type HostTable} from './host-table.js';
import {createHeartbeatSession, type HeartbeatSession} from './heartbeat-session.js';

/** Dependencies and callbacks of the received state. */
export type ReceivedStateOptions = {
	self: Host;
	clock: Clock;
	/** Called when a host, an incarnation or a phase is new, or when a host that was not live has sent a message. */
	onHostChange: () => void;
	/** Called for each configuration that a host reports, also when it has not changed. */
	onConfiguration: (hostId: string, mark: ConfigurationMark) => void;
	/** Called when a newer incarnation of this host is reported. */
	onSuperseded: (incarnation: string) => void;
	/** Called when a host acknowledges a message, with the time at which that message was sent. */
	onAcknowledged: (host: Host, sentAt: number) => void;
	isLive: (hostId: string) => boolean;
};

/** Result of processing a message; the fields are those of the reply. */
export type AcceptResult = {
	/** The latest incarnation of the sender if the message is from an ended one, else empty. */
	newerIncarnation: string;
	/** Publishers whose digest omits hosts that are needed here, and the sender if its record is missing. */
	missingPublisherIds: string[];
};

/** The state that one host has received from the others. */
export type ReceivedState = {
	hosts: HostTable;
	digests: DigestTable;
	/** Returns the session with an incarnation. Replaces the session with any other incarnation of the host. */
	sessionWith: (peer: {id: string; incarnation: string}) => HeartbeatSession;
	/** Processes a request or a reply. */
	accept: (message: HeartbeatMessage) => AcceptResult;
	/** Removes all that was received from a host. */
	remove: (hostId: string) => void;
	/** Moves all recorded times forward, which excludes a pause of this process from timeouts. */
	shiftTimes: (offsetMs: number) => void;
};

/** Creates the empty state of a host that has received nothing yet. */
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

	/** Returns true if the record contained a new host, incarnation or phase. */
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

	/** Records that a message was received from a host directly. Returns false if its record is missing. */
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
