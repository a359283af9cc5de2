/** Calls from this entry host to the others, by host rather than by address. */
import {
	type Clock, type Job, type JobAnswer, type KeyStatus, type Logger,
} from 'chivestream-core';
import {type PeerState} from 'chivestream-configuration';
import {
	isLive, type Member, type Membership, type PeerClients,
} from 'chivestream-peer';
import {type SlotDemand, type SlotGrant} from 'chivestream-placement';
import {type StreamRecord} from 'chivestream-log';
import {isSameRun, type Claimant} from './claims.js';
import {type Relay} from './job-router.js';
import {parseGrants} from './lending.js';
import {
	formatPeerRequest, parsePeerReply, type PeerReplies, type PeerRequest,
} from './peer-request.js';

/** Calls to other entry hosts. */
export type PeerCalls = Relay & {
	/** One request to one member; undefined where it gave no reply. */
	ask: <Kind extends PeerRequest['kind']>(member: Member, request: Extract<PeerRequest, {kind: Kind}>, deadline: number) => Promise<PeerReplies[Kind] | undefined>;
	requestLoan: (lenderId: string, demand: SlotDemand) => Promise<SlotGrant[]>;
	requestExtension: (lenderId: string, grants: SlotGrant[]) => Promise<SlotGrant[]>;
	fetchStates: () => Promise<PeerState[]>;
	/** Offers the records up to an offset to the hosts of the zone; resolves once enough hold it or all have answered. */
	offerRecords: (offset: number, records: readonly StreamRecord[], holders: number, deadline: number) => Promise<void>;
};

/** What the calls need. */
export type PeerCallsOptions = {
	selfId: string;
	zone: string;
	clock: Clock;
	logger: Logger;
	peers: PeerClients;
	/** The membership, which is made after the calls. */
	membership: () => Membership;
	isSameRun?: (left: Claimant, right: Claimant) => boolean;
	/** Hosts to ask before any member is known. */
	seeds: ReadonlyArray<{zone: string; address: string}>;
	/** Counts jobs handed to their home. */
	countForward: (wasAnswered: boolean) => void;
};

const loanTimeoutMs = 200;
const stateTimeoutMs = 1000;
const statesFromElsewhere = 3;
const cancelTimeoutMs = 30_000;
const relayGraceMs = 2000;

/** Calls over the clients of one host. */
export const createPeerCalls = (options: PeerCallsOptions): PeerCalls => {
	const {
		selfId, clock, logger, peers, membership,
	} = options;

	const findHome = (home: Claimant): Member | undefined => {
		const member = membership().findMember(home.hostId);
		const run = member && {hostId: member.host.id, incarnation: member.host.incarnation};
		return run && (options.isSameRun ?? isSameRun)(run, home) ? member : undefined;
	};

	const askAddress = async <Kind extends PeerRequest['kind']>(address: string, request: Extract<PeerRequest, {kind: Kind}>, deadline: number): Promise<PeerReplies[Kind] | undefined> => {
		const reply = await peers.get(address).query(formatPeerRequest(request), deadline);
		if (reply.isErr()) {
			logger.debug('peer request failed', {step: request.kind, peer: address, reason: reply.error.message});
			return undefined;
		}

		return parsePeerReply<Kind>(request.kind, reply.value);
	};

	const ask: PeerCalls['ask'] = async (member, request, deadline) => askAddress(member.host.peerAddress, request, deadline);

	const zoneMembers = () => membership().members().filter(member => member.host.zone === options.zone && isLive(member));

	/** Hosts of the zone, whose answers prove a state, and a few others; not all, or a large system would drown a new host. */
	const stateAddresses = () => {
		const live = membership().members().filter(member => isLive(member)).map(({host}) => ({zone: host.zone, address: host.peerAddress}));
		const known = [...live, ...options.seeds];
		const inZone = known.filter(({zone}) => zone === options.zone);
		const elsewhere = known.filter(({zone}) => zone !== options.zone).slice(0, statesFromElsewhere);
		return new Set([...inZone, ...elsewhere].map(({address}) => address));
	};

	return {
		ask,
		isClosed: home => membership().hasEnded(home.hostId, home.incarnation),
		async submit(home, job: Job): Promise<JobAnswer | undefined> {
			const member = findHome(home);
			if (!member) {
				return undefined;
			}

			const reply = await peers.get(member.host.peerAddress).submit(job, job.deadline + relayGraceMs);
			options.countForward(reply.isOk());
			if (reply.isErr()) {
				logger.warn('forwarded job got no answer', {
					step: 'forward-job', peer: member.host.id, key: job.key, reason: reply.error.message,
				});
				return undefined;
			}

			return reply.value;
		},
		async fetch(home, key, waitDeadline): Promise<KeyStatus | undefined> {
			const member = findHome(home);
			return member && ask(member, {kind: 'fetch', key, waitDeadline}, waitDeadline + relayGraceMs);
		},
		async cancel(home, key): Promise<KeyStatus | undefined> {
			const member = findHome(home);
			return member && ask(member, {kind: 'cancel', key, isForced: false}, clock.now() + cancelTimeoutMs);
		},
		async requestLoan(lenderId, demand) {
			const lender = membership().findMember(lenderId);
			if (!lender || !isLive(lender)) {
				return [];
			}

			const reply = await peers.get(lender.host.peerAddress).lend(selfId, JSON.stringify(demand), clock.now() + loanTimeoutMs);
			return reply.isOk() ? parseGrants(reply.value) : [];
		},
		async requestExtension(lenderId, grants) {
			const lender = membership().findMember(lenderId);
			if (!lender || !isLive(lender)) {
				return [];
			}

			return await ask<'extend'>(lender, {kind: 'extend', borrowerId: selfId, grants}, clock.now() + loanTimeoutMs) ?? [];
		},
		async fetchStates() {
			const deadline = clock.now() + stateTimeoutMs;
			const replies = await Promise.all([...stateAddresses()].map(async address => askAddress(address, {kind: 'state'}, deadline)));
			return replies.filter(state => state !== undefined);
		},
		async offerRecords(offset, records, holders, deadline) {
			const others = zoneMembers();
			let missing = Math.min(holders - 1, others.length);
			if (missing === 0) {
				return;
			}

			await new Promise<void>(resolve => {
				const noteHolder = (heldOffset: number | undefined) => {
					missing -= heldOffset !== undefined && heldOffset >= offset ? 1 : 0;
					if (missing === 0) {
						resolve();
					}
				};

				const asked = others.map(async member => {
					noteHolder(await ask<'hold'>(member, {
						kind: 'hold', offset, records: [...records], deadline,
					}, deadline));
				});
				void Promise.allSettled(asked).then(() => {
					resolve();
				});
			});
		},
	};
};
