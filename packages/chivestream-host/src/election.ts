/**
 * Which hosts of a zone dispatch to its minions: one for each cell.
 *
 * No agreement is needed for safety: a minion obeys the highest token it has seen, and a dispatcher learns from it what
 * runs there before it orders anything. The choice only has to settle soon, and a host that is cut off must not take
 * the minions from the others.
 */
import {type CellClaim, type HostRecord, type HostStatus} from './messages.js';

/** What a host knows of the way to another. */
export const contact = {
	alive: 'alive',
	/** Nothing comes back: dead without power, frozen or cut off. */
	silent: 'silent',
	/** Its address refuses connections: the process has ended. */
	dead: 'dead',
} as const;

/** One of the kinds of contact. */
export type Contact = (typeof contact)[keyof typeof contact];

/** A host of the zone, as another sees it. */
export type Candidate = Pick<HostStatus, 'cellCount' | 'isLeaving'> & {
	record: HostRecord;
	claims: ReadonlyArray<Pick<CellClaim, 'cell' | 'token'>>;
	contact: Contact;
};

/** What the choice leads to. */
export type Choice
	= | {kind: 'follow'; record: HostRecord}
		| {kind: 'claim'}
	/** Nobody may dispatch as far as this host can see. */
		| {kind: 'none'};

/** A cell goes to another host where that has so much less to do for its size than this one has. */
const handoverShare = 0.7;

const isBefore = (one: HostRecord, other: HostRecord): boolean =>
	one.cpuShare === other.cpuShare ? one.name < other.name : one.cpuShare > other.cpuShare;

const tokenFor = (host: Candidate, cell: number): number => host.claims.find(claim => claim.cell === cell)?.token ?? 0;

const aliveOf = (self: Candidate, others: readonly Candidate[]): Candidate[] =>
	[self, ...others.filter(other => other.contact === contact.alive)].filter(host => !host.isLeaving);

const claimantOf = (alive: readonly Candidate[], cell: number): Candidate | undefined => {
	let claimant: Candidate | undefined;
	for (const host of alive) {
		if (tokenFor(host, cell) > (claimant === undefined ? 0 : tokenFor(claimant, cell))) {
			claimant = host;
		}
	}

	return claimant;
};

/** The host that has the least to do for its size with one cell more; among equals the largest. */
const leastLoaded = (alive: readonly Candidate[], cells: ReadonlyMap<Candidate, number>): Candidate | undefined => {
	const loadWithOneMore = (host: Candidate) => ((cells.get(host) ?? 0) + 1) / host.record.cpuShare;
	let best: Candidate | undefined;
	for (const host of alive) {
		const difference = best === undefined ? -1 : loadWithOneMore(host) - loadWithOneMore(best);
		if (best === undefined || difference < 0 || (difference === 0 && isBefore(host.record, best.record))) {
			best = host;
		}
	}

	return best;
};

/** Chooses the dispatcher of each cell: who claims it with the highest token, or else the host with the least to do. */
export const chooseDispatchers = (self: Candidate, others: readonly Candidate[], canReachStore: boolean, cellCount: number): Choice[] => {
	const alive = aliveOf(self, others);
	const cells = new Map<Candidate, number>();
	const chosen = Array.from({length: cellCount}, (_, cell) => claimantOf(alive, cell));
	for (const claimant of chosen) {
		if (claimant !== undefined) {
			cells.set(claimant, (cells.get(claimant) ?? 0) + 1);
		}
	}

	const silent = others.filter(other => other.contact === contact.silent).length;
	const mayClaim = canReachStore || others.length - silent + 1 >= silent;
	return chosen.map(claimant => {
		if (claimant !== undefined) {
			return {kind: 'follow', record: claimant.record};
		}

		const first = leastLoaded(alive, cells);
		if (first === undefined) {
			return {kind: 'none'};
		}

		cells.set(first, (cells.get(first) ?? 0) + 1);
		if (first !== self) {
			return {kind: 'follow', record: first.record};
		}

		return mayClaim ? {kind: 'claim'} : {kind: 'none'};
	});
};

/** Whether another host should take one of this host's cells, as after a start at which this host was there first. */
export const shouldHandOver = (self: Candidate, others: readonly Candidate[]): boolean =>
	aliveOf(self, others).some(other => other !== self
		&& (other.claims.length + 1) / other.record.cpuShare < handoverShare * (self.claims.length / self.record.cpuShare));
