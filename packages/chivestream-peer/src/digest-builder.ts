/** This host's own digest: the hosts of its zone that it hears itself. */
import {incarnationKey} from './digest-table.js';
import {type ConfigurationMark, type Digest, type HostRecord} from './generated/peer.js';

/** Publishes digests of one host, each newer than the last. */
export type DigestBuilder = (self: HostRecord, directlyObserved: readonly HostRecord[], configuration: ConfigurationMark | undefined) => Digest;

/** Creates the publisher. */
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
