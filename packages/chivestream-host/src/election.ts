/**
 * Chooses the host that dispatches for each cell of a zone.
 *
 * Safety doesn't depend on agreement between the hosts: a minion refuses requests with a lower token than the highest
 * that it has received, and a dispatcher reads from a minion what runs there before it sends any start or stop request.
 * The choice only has to converge quickly, and an isolated host must not take minions away from the other hosts.
 */
import {type CellClaim, type HostRecord, type HostStatus} from './messages.js';

/** Reachability of a host, as observed by another. */
export const reachability = {
	alive: 'alive',
	/** Nothing has been received for a while: the host has lost power, is paused or is cut off from the network. */
	silent: 'silent',
	/** Its address refuses connections, so the process has ended. */
	dead: 'dead',
} as const;

/** One of the values of `reachability`. */
export type Reachability = (typeof reachability)[keyof typeof reachability];

/** A host of the zone with the state last received from it. */
export type Candidate = Pick<HostStatus, 'cellCount' | 'isLeaving'> & {
	record: HostRecord;
	claims: ReadonlyArray<Pick<CellClaim, 'cell' | 'token'>>;
	reachability: Reachability;
};

/** The choice for one cell: follow the dispatcher on the host of the record, which may be this one, claim the cell, or neither. */
export type DispatcherChoice
	= | {kind: 'follow'; record: HostRecord}
		| {kind: 'claim'}
	/** As far as this host can observe, no host may dispatch for the cell. */
		| {kind: 'none'};

/** A cell is handed over if the other host's load with that cell is below this fraction of this host's load, in cells per core. */
const handoverLoadRatio = 0.7;

/** Whether a host is preferred as a dispatcher over another: the larger one, or among equals the first by name. */
export const isPreferred = (one: HostRecord, other: HostRecord): boolean =>
	one.cpuShare === other.cpuShare ? one.name < other.name : one.cpuShare > other.cpuShare;

const claimToken = (host: Candidate, cell: number): number => host.claims.find(claim => claim.cell === cell)?.token ?? 0;

const eligibleHosts = (self: Candidate, others: readonly Candidate[]): Candidate[] =>
	[self, ...others.filter(other => other.reachability === reachability.alive)].filter(host => !host.isLeaving);

const findClaimant = (eligible: readonly Candidate[], cell: number): Candidate | undefined => {
	let claimant: Candidate | undefined;
	for (const host of eligible) {
		if (claimToken(host, cell) > (claimant === undefined ? 0 : claimToken(claimant, cell))) {
			claimant = host;
		}
	}

	return claimant;
};

/** The host with the lowest load after one more cell, in cells per core; among equals the one with the most cores. */
const leastLoaded = (hosts: readonly HostRecord[], cellCounts: ReadonlyMap<HostRecord, number>): HostRecord | undefined => {
	const loadWithOneMore = (host: HostRecord) => ((cellCounts.get(host) ?? 0) + 1) / host.cpuShare;
	let best: HostRecord | undefined;
	for (const host of hosts) {
		const difference = best === undefined ? -1 : loadWithOneMore(host) - loadWithOneMore(best);
		if (best === undefined || difference < 0 || (difference === 0 && isPreferred(host, best))) {
			best = host;
		}
	}

	return best;
};

/** The number of cells of each host that would dispatch if none of the cells had a claimant. */
export const distributeCells = (hosts: readonly HostRecord[], cellCount: number): ReadonlyMap<HostRecord, number> => {
	const cellCounts = new Map<HostRecord, number>();
	for (let cell = 0; cell < cellCount; cell += 1) {
		const host = leastLoaded(hosts, cellCounts);
		if (host !== undefined) {
			cellCounts.set(host, (cellCounts.get(host) ?? 0) + 1);
		}
	}

	return cellCounts;
};

/** Chooses the dispatcher of each cell: the host that claims it with the highest token, or else the least loaded one. */
export const chooseDispatchers = (self: Candidate, others: readonly Candidate[], canReachStore: boolean, cellCount: number): DispatcherChoice[] => {
	const eligible = eligibleHosts(self, others);
	const records = eligible.map(({record}) => record);
	const cellCounts = new Map<HostRecord, number>();
	const claimants = Array.from({length: cellCount}, (_, cell) => findClaimant(eligible, cell));
	for (const claimant of claimants) {
		if (claimant !== undefined) {
			cellCounts.set(claimant.record, (cellCounts.get(claimant.record) ?? 0) + 1);
		}
	}

	// A host that can't reach the store may claim only while at most half of the zone's hosts are silent.
	const silent = others.filter(other => other.reachability === reachability.silent).length;
	const mayClaim = canReachStore || others.length - silent + 1 >= silent;
	return claimants.map(claimant => {
		if (claimant !== undefined) {
			return {kind: 'follow', record: claimant.record};
		}

		const selected = leastLoaded(records, cellCounts);
		if (selected === undefined) {
			return {kind: 'none'};
		}

		cellCounts.set(selected, (cellCounts.get(selected) ?? 0) + 1);
		if (selected !== self.record) {
			return {kind: 'follow', record: selected};
		}

		return mayClaim ? {kind: 'claim'} : {kind: 'none'};
	});
};

const load = ({claims, record}: Candidate): number => claims.length / record.cpuShare;

/**
 * Whether another host should take over one of this host's cells, for example because this host started first and claimed them all.
 * Only the host with the highest load hands over, so that several don't do so for the same host with few cells.
 */
export const shouldHandOver = (self: Candidate, others: readonly Candidate[]): boolean => {
	const hosts = eligibleHosts(self, others).filter(host => host !== self);
	const isMostLoaded = hosts.every(other => load(other) < load(self) || (load(other) === load(self) && isPreferred(other.record, self.record)));
	return isMostLoaded && hosts.some(other => (other.claims.length + 1) / other.record.cpuShare < handoverLoadRatio * load(self));
};
