/** Builds heartbeats: what the receiver already has is left out. */
import {type Host} from 'chivestream-core';
import {type DigestTable, formatRun} from './digest-table.js';
import {
	type ConfigurationMark, type Digest, type HeartbeatRequest, type HostRecord,
} from './generated/peer.js';
import {type KnownHost} from './host-table.js';

/** What has been acknowledged by one receiver, by publisher id. */
export type Acknowledged = Map<string, {run: string; version: number; sequence: number}>;

/** What this host has to say. */
export type HeartbeatSource = {
	self: () => HostRecord;
	configuration: () => ConfigurationMark | undefined;
	/** Hosts of this host's zone that it hears itself. */
	heard: () => KnownHost[];
	digests: DigestTable;
	isRepresentative: () => boolean;
};

/** One receiver of heartbeats. */
export type Receiver = {
	host: Host;
	acknowledged: Acknowledged;
	payload: Uint8Array;
};

/** Builds and accounts for the heartbeats of one host. */
export type HeartbeatWriter = {
	write: (receiver: Receiver) => HeartbeatRequest;
	/** Notes what a receiver has now. */
	acknowledge: (acknowledged: Acknowledged, request: HeartbeatRequest, missingPublisherIds: readonly string[]) => void;
};

const publisherRun = (digest: Digest): string =>
	formatRun({id: digest.publisherId, incarnation: digest.publisherIncarnation});

const withoutKnownHosts = (digest: Digest, acknowledged: Acknowledged): Digest => {
	const held = acknowledged.get(digest.publisherId);
	const isKnown = held?.run === publisherRun(digest) && held.version === digest.version;
	return isKnown ? {...digest, hasHosts: false, hosts: []} : digest;
};

const isFurther = (digest: Digest, acknowledged: Acknowledged): boolean => {
	const held = acknowledged.get(digest.publisherId);
	return held?.run !== publisherRun(digest) || digest.sequence > held.sequence;
};

/** Creates the writer of a host's heartbeats. */
export const createHeartbeatWriter = (source: HeartbeatSource): HeartbeatWriter => {
	let sequence = 0;
	let version = 0;
	let heardBefore = '';

	const publishOwn = (): Digest => {
		const self = source.self();
		const hosts = [self, ...source.heard().map(({record}) => record)];
		const heardNow = hosts.map(host => `${formatRun(host)}~${host.revision}`).toSorted().join(' ');
		if (heardNow !== heardBefore) {
			heardBefore = heardNow;
			version += 1;
		}

		return {
			publisherId: self.id,
			publisherIncarnation: self.incarnation,
			zone: self.zone,
			sequence,
			version,
			hasHosts: true,
			hosts,
			configuration: source.configuration(),
		};
	};

	const relayed = (receiver: Receiver): Digest[] => {
		const {zone} = source.self();
		if (receiver.host.zone !== zone || !source.isRepresentative()) {
			return [];
		}

		return source.digests.all()
			.map(({digest}) => digest)
			.filter(digest => digest.zone !== zone && isFurther(digest, receiver.acknowledged));
	};

	return {
		write(receiver) {
			sequence += 1;
			const digests = [publishOwn(), ...relayed(receiver)];
			return {
				sender: source.self(),
				receiverIncarnation: receiver.host.incarnation,
				sequence,
				configuration: source.configuration(),
				digests: digests.map(digest => withoutKnownHosts(digest, receiver.acknowledged)),
				payload: receiver.payload,
			};
		},
		acknowledge(acknowledged, request, missingPublisherIds) {
			for (const digest of request.digests) {
				acknowledged.set(digest.publisherId, {
					run: publisherRun(digest), version: digest.version, sequence: digest.sequence,
				});
			}

			for (const publisherId of missingPublisherIds) {
				acknowledged.delete(publisherId);
			}
		},
	};
};
