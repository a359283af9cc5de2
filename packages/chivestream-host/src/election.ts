/**
 * Which hosts of a zone dispatch to its minions: one for each cell.
 *
 * No agreement is needed for safety: a minion obeys the highest token it has seen, and a dispatcher learns from it what
 * runs there before it orders anything. The choice only has to settle soon, and a host that is cut off must not take
 * the minions from the others.
 */
import {type CellClaim, type HostRecord, type HostStatus} from './messages.js';

/** What a host knows of the way to another. */
export const reachability = {
	alive: 'alive',
	/** Nothing comes back: dead without power, frozen or cut off. */
	silent: 'silent',
	/** Its address refuses connections: the process has ended. */
	dead: 'dead',
} as const;

/** One of the kinds of contact. */
export type Reachability = (typeof reachability)[keyof typeof reachability];

/** A host of the zone, as another sees it. */
export type Candidate = Pick<HostStatus, 'cellCount' | 'isLeaving'> & {
	record: HostRecord;
	claims: ReadonlyArray<Pick<CellClaim, 'cell' | 'token'>>;
	reachability: Reachability;
};

/** What the choice leads to. */
export type DispatcherChoice
	= | {kind: 'follow'; record: HostRecord}
		| {kind: 'claim'}
	/** Nobody may dispatch as far as this host can see. */
		| {kind: 'none'};

/** A cell goes to another host where that has so much less to do for its size than this one has. */
const handoverLoadRatio = 0.7;

const isPreferred = (one: HostRecord, other: HostRecord): boolean =>
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

/** The host that has the least to do for its size with one cell more; among equals the largest. */
const leastLoaded = (eligible: readonly Candidate[], cellCounts: ReadonlyMap<Candidate, number>): Candidate | undefined => {
	const loadWithOneMore = (host: Candidate) => ((cellCounts.get(host) ?? 0) + 1) / host.record.cpuShare;
	let best: Candidate | undefined;
	for (const host of eligible) {
		const difference = best === undefined ? -1 : loadWithOneMore(host) - loadWithOneMore(best);
		if (best === undefined || difference < 0 || (difference === 0 && isPreferred(host.record, best.record))) {
			best = host;
		}
	}

	return best;
};

/** Chooses the dispatcher of each cell: who claims it with the highest token, or else the host with the least to do. */
export const chooseDispatchers = (self: Candidate, others: readonly Candidate[], canReachStore: boolean, cellCount: number): DispatcherChoice[] => {
	const eligible = eligibleHosts(self, others);
	const cellCounts = new Map<Candidate, number>();
	const claimants = Array.from({length: cellCount}, (_, cell) => findClaimant(eligible, cell));
	for (const claimant of claimants) {
		if (claimant !== undefined) {
			cellCounts.set(claimant, (cellCounts.get(claimant) ?? 0) + 1);
		}
	}

	const silent = others.filter(other => other.reachability === reachability.silent).length;
	const mayClaim = canReachStore || others.length - silent + 1 >= silent;
	return claimants.map(claimant => {
		if (claimant !== undefined) {
			return {kind: 'follow', record: claimant.record};
		}

		const selected = leastLoaded(eligible, cellCounts);
		if (selected === undefined) {
			return {kind: 'none'};
		}

		cellCounts.set(selected, (cellCounts.get(selected) ?? 0) + 1);
		if (selected !== self) {
			return {kind: 'follow', record: selected.record};
		}

		return mayClaim ? {kind: 'claim'} : {kind: 'none'};
	});
};

/** Whether another host should take one of this host's cells, as after a start at which this host was there first. */
export const shouldHandOver = (self: Candidate, others: readonly Candidate[]): boolean =>
	eligibleHosts(self, others).some(other => other !== self
		&& (other.claims.length + 1) / other.record.cpuShare < handoverLoadRatio * (self.claims.length / self.record.cpuShare));
