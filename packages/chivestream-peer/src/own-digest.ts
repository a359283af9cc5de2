/** This host's own digest: the hosts of its zone that it hears itself. */
import {formatRun} from './digest-table.js';
import {type ConfigurationMark, type Digest, type HostRecord} from './generated/peer.js';

/** Publishes digests of one host, each newer than the last. */
export type OwnDigest = (self: HostRecord, heard: readonly HostRecord[], configuration: ConfigurationMark | undefined) => Digest;

/** Creates the publisher. */
export const createOwnDigest = (): OwnDigest => {
	let sequence = 0;
	let version = 0;
	let contentBefore = '';

	return (self, heard, configuration) => {
		const hosts = [self, ...heard];
		const content = hosts.map(host => `${formatRun(host)}~${host.revision}`).toSorted().join(' ');
		if (content !== contentBefore) {
			contentBefore = content;
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
