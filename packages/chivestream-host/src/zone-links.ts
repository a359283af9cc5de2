/**
 * Chooses the hosts of the local zone to which a host keeps links.
 *
 * With a link between each pair, the status messages of a zone grow with the square of its hosts, and a mass restart opens
 * hundreds of connections at once. A host needs links only to the dispatchers and to the hosts that would replace them,
 * which are the largest ones; a host that dispatches is reached over the links of the others.
 */
import {isPreferred} from './election.js';
import {type HostRecord} from './messages.js';

/** A known host of the local zone. */
export type ZoneHost = {
	record: HostRecord;
	/** Whether the host has claimed a cell, as far as is known. */
	isDispatcher: boolean;
	/** How long its link has been without a reply, in milliseconds; 0 without a link. */
	unreachableMs: number;
};

/** Number of linked hosts in addition to one for each cell, so that the loss of some dispatchers finds candidates already linked. */
const spareCandidates = 3;

/** Time without a reply after which the next host in the order takes the place of a candidate, in milliseconds: longer than the start of
 * a process and than the reconnection after a reset. */
const replacedAfterMs = 1000;

/**
 * Selects the hosts to link to: all dispatchers, and in the order of preference as many others as can replace them. A candidate that has
 * been unreachable for a while stays linked, but no longer counts.
 */
export const selectZoneLinks = (hosts: readonly ZoneHost[], cellCount: number): HostRecord[] => {
	const selected: HostRecord[] = [];
	let reachableCount = 0;
	for (const {record, isDispatcher, unreachableMs} of hosts.toSorted((one, other) => isPreferred(one.record, other.record) ? -1 : 1)) {
		const isCandidate = reachableCount < cellCount + spareCandidates;
		if (isCandidate || isDispatcher) {
			selected.push(record);
		}

		if (isCandidate && unreachableMs < replacedAfterMs) {
			reachableCount += 1;
		}
	}

	return selected;
};
