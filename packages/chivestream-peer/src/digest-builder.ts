/** Builds the digest of this host, which lists itself and the hosts of its zone that it observes directly. */
import {incarnationKey} from './digest-table.js';
import {type ConfigurationMark, type Digest, type HostRecord} from './generated/peer.js';

/** Builds a digest with the next sequence number. Its version grows only when the listed hosts have changed. */
export type DigestBuilder = (self: HostRecord, directlyObserved: readonly HostRecord[], configuration: ConfigurationMark | undefined) => Digest;

/** Creates a builder whose sequence and version start at 1. */
export const createDigestBuilder = (): DigestBuilder => {
	let sequence = 0;
	let version = 0;
	let previousContent = '';

	return (self, directlyObserved, configuration) => {
		const hosts = [self, ...directlyObserved];
		const content = hosts.map(host => `${incarnationKey(host)}~${host.revision}`).toSorted().join(' ');
		if (content !== previousContent) {
			previousContent = content;
			version += 1;
		}

		sequence += 1;
		return {
			publisherId: self.id,
			publisherIncarnation: self.incarnation,
			zone: self.zone,
			sequence,
			version,
			hasHosts: true,
			hosts,
			configuration,
		};
	};
};
