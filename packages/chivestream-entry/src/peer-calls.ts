/** Requests from this entry host to the others, addressed by host or claimant instead of by network address. */
import {
	type Clock, type Job, type JobAnswer, type KeyStatus, type Logger,
} from 'chivestream-core';
import {type PeerState} from 'chivestream-configuration';
import {
	isLive, type Member, type Membership, type PeerClients,
} from 'chivestream-peer';
import {type SlotDemand, type SlotGrant} from 'chivestream-placement';
import {type StreamRecord} from 'chivestream-log';
import {isSameIncarnation, type Claimant} from './claims.js';
import {type ClaimantClient} from './job-router.js';
import {parseGrants} from './lending.js';
import {
	formatPeerRequest, parsePeerReply, type PeerReplies, type PeerRequest,
} from './peer-request.js';

/** Requests to other entry hosts. */
export type PeerCalls = ClaimantClient & {
	/** Sends one request to one member; resolves with undefined if the call failed or the reply is malformed. */
	sendRequest: <Kind extends PeerRequest['kind']>(member: Member, request: Extract<PeerRequest, {kind: Kind}>, deadline: number) => Promise<PeerReplies[Kind] | undefined>;
	/** Requests slots from a lender; resolves with an empty list if it grants none or can't be reached. */
	requestLoan: (lenderId: string, demand: SlotDemand) => Promise<SlotGrant[]>;
	/** Requests the extension of grants; resolves with those that were extended. */
	requestExtension: (lenderId: string, grants: SlotGrant[]) => Promise<SlotGrant[]>;
	/** Fetches the configurations held by the hosts of the zone and a few others; hosts without a reply are left out. */
	fetchStates: () => Promise<PeerState[]>;
	/**
	Offers the records up to an offset to the hosts of the zone. Resolves once `holders` hosts, this one included, hold it,
	or all calls have ended.
	*/
	offerRecords: (offset: number, records: readonly StreamRecord[], holders: number, deadline: number) => Promise<void>;
};

/** Dependencies of the calls. */
export type PeerCallsOptions = {
	selfId: string;
	zone: string;
	clock: Clock;
	logger: Logger;
	peers: PeerClients;
	/** Returns the membership, which is created after the calls. */
	membership: () => Membership;
	isSameIncarnation?: (left: Claimant, right: Claimant) => boolean;
	/** Hosts to contact before any member is known. */
	seeds: ReadonlyArray<{zone: string; address: string}>;
	/** Counts a forwarded job, and whether it was answered. */
	countForward: (wasAnswered: boolean) => void;
};

const loanTimeoutMs = 200;
const stateTimeoutMs = 1000;
const maxStatesFromOtherZones = 3;
const cancelTimeoutMs = 30_000;
const forwardGraceMs = 2000;

/** Creates the calls of one host over its peer clients. */
export const createPeerCalls = (options: PeerCallsOptions): PeerCalls => {
	const {
		selfId, clock, logger, peers, membership,
	} = options;

	const findHome = (home: Claimant): Member | undefined => {
		const member = membership().findMember(home.hostId);
		const memberIncarnation = member && {hostId: member.host.id, incarnation: member.host.incarnation};
		return memberIncarnation && (options.isSameIncarnation ?? isSameIncarnation)(memberIncarnation, home) ? member : undefined;
	};

	const sendRequestTo = async <Kind extends PeerRequest['kind']>(address: string, request: Extract<PeerRequest, {kind: Kind}>, deadline: number): Promise<PeerReplies[Kind] | undefined> => {
		const reply = await peers.get(address).query(formatPeerRequest(request), deadline);
		if (reply.isErr()) {
			logger.debug('peer request failed', {step: request.kind, peer: address, reason: reply.error.message});
			return undefined;
		}

		return parsePeerReply<Kind>(request.kind, reply.value);
	};

	const sendRequest: PeerCalls['sendRequest'] = async (member, request, deadline) => sendRequestTo(member.host.peerAddress, request, deadline);

	const zoneMembers = () => membership().members().filter(member => member.host.zone === options.zone && isLive(member));

	/**
	All hosts of the zone, whose replies prove a state, and a few of other zones. Their number is limited because the replies
	of all hosts of a large system would overload a starting host.
	*/
	const stateAddresses = () => {
		const live = membership().members().filter(member => isLive(member)).map(({host}) => ({zone: host.zone, address: host.peerAddress}));
		const candidates = [...live, ...options.seeds];
		const inZone = candidates.filter(({zone}) => zone === options.zone);
		const otherZones = candidates.filter(({zone}) => zone !== options.zone).slice(0, maxStatesFromOtherZones);
		return new Set([...inZone, ...otherZones].map(({address}) => address));
	};

	return {
		sendRequest,
		hasEnded: home => membership().hasEnded(home.hostId, home.incarnation),
		async submit(home, job: Job): Promise<JobAnswer | undefined> {
			const member = findHome(home);
			if (!member) {
				return undefined;
			}

			const reply = await peers.get(member.host.peerAddress).submit(job, job.deadline + forwardGraceMs);
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
			return member && sendRequest(member, {kind: 'fetch', key, waitDeadline}, waitDeadline + forwardGraceMs);
		},
		async cancel(home, key): Promise<KeyStatus | undefined> {
			const member = findHome(home);
			return member && sendRequest(member, {kind: 'cancel', key, isForced: false}, clock.now() + cancelTimeoutMs);
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

			return await sendRequest<'extend'>(lender, {kind: 'extend', borrowerId: selfId, grants}, clock.now() + loanTimeoutMs) ?? [];
		},
		async fetchStates() {
			const deadline = clock.now() + stateTimeoutMs;
			const replies = await Promise.all([...stateAddresses()].map(async address => sendRequestTo(address, {kind: 'state'}, deadline)));
			return replies.filter(state => state !== undefined);
		},
		async offerRecords(offset, records, holders, deadline) {
			const others = zoneMembers();
			let missing = Math.min(holders - 1, others.length);
			if (missing === 0) {
				return;
			}

			await new Promise<void>(resolve => {
				const countHolder = (heldOffset: number | undefined) => {
					missing -= heldOffset !== undefined && heldOffset >= offset ? 1 : 0;
					if (missing === 0) {
						resolve();
					}
				};

				const offers = others.map(async member => {
					countHolder(await sendRequest<'hold'>(member, {
						kind: 'hold', offset, records: [...records], deadline,
					}, deadline));
				});
				void Promise.allSettled(offers).then(() => {
					resolve();
				});
			});
		},
	};
};
