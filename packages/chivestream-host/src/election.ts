/**
 * Which host of a zone dispatches to its minions.
 *
 * No agreement is needed for safety: a minion obeys the highest token it has seen, and a dispatcher learns from it what
 * runs there before it orders anything. The choice only has to settle soon, and a host that is cut off must not take
 * the minions from the others.
 */
import {type HostRecord} from './messages.js';

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
export type Candidate = {
	record: HostRecord;
	claim: number;
	isLeaving: boolean;
	contact: Contact;
};

/** What the choice leads to. */
export type Choice
	= | {kind: 'follow'; record: HostRecord}
		| {kind: 'claim'}
	/** Nobody may dispatch as far as this host can see. */
		| {kind: 'none'};

const isBefore = (one: HostRecord, other: HostRecord): boolean =>
	one.cpuShare === other.cpuShare ? one.name < other.name : one.cpuShare > other.cpuShare;

/** Chooses the dispatcher of the own zone: who claims it with the highest token, or the largest host that is alive. */
export const chooseDispatcher = (self: Candidate, others: readonly Candidate[], canReachStore: boolean): Choice => {
	const alive = [self, ...others.filter(other => other.contact === contact.alive)].filter(host => !host.isLeaving);
	let claimant: Candidate | undefined;
	for (const host of alive) {
		if (host.claim > (claimant?.claim ?? 0)) {
			claimant = host;
		}
	}

	if (claimant !== undefined) {
		return {kind: 'follow', record: claimant.record};
	}

	let first: Candidate | undefined;
	for (const host of alive) {
		if (first === undefined || isBefore(host.record, first.record)) {
			first = host;
		}
	}

	if (first === undefined) {
		return {kind: 'none'};
	}

	if (first !== self) {
		return {kind: 'follow', record: first.record};
	}

	const silent = others.filter(other => other.contact === contact.silent).length;
	const seen = others.length - silent + 1;
	return canReachStore || seen >= silent ? {kind: 'claim'} : {kind: 'none'};
};
