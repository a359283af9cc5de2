/**
Borrows free slots from other entry hosts of the zone when tasks wait, and gives idle ones back. What each host has
free travels in the heartbeats, so that a request goes only to a host that can grant it; returns travel there too.
*/
import {type Clock, type Logger} from 'chivestream-core';
import {
	type Scheduler, type SlotDemand, type SlotGrant, type TargetObservation,
} from 'chivestream-placement';
import {z} from 'zod';

/** What a host adds to its heartbeats for another host of its zone. */
export type LendingPayload = {
	idle: SlotDemand[];
	observations: TargetObservation[];
	/** Grants that the receiver lent and gets back. */
	returned: SlotGrant[];
};

/** Asks a host for slots; an empty list where it grants none or can't be reached. */
export type LoanRequest = (lenderId: string, demand: SlotDemand) => Promise<SlotGrant[]>;

/** Lends and borrows slots. */
export type Lending = {
	/** Asks for slots where tasks wait and another host has free ones. */
	ask: () => void;
	payloadFor: (receiverId: string) => LendingPayload;
	receive: (senderId: string, payload: LendingPayload) => void;
	/** Forgets what a host had free. */
	forget: (hostId: string) => void;
	/** Requests sent so far. */
	requests: () => number;
};

/** What lending needs. */
export type LendingOptions = {
	scheduler: Scheduler;
	clock: Clock;
	logger: Logger;
	requestLoan: LoanRequest;
	/** Called once borrowed or returned slots can take tasks. */
	onSlots: () => void;
};

const demandSchema = z.object({upstream: z.string(), count: z.number().int().positive()});

const grantSchema = z.object({
	grantId: z.string(),
	upstream: z.string(),
	targetId: z.string(),
	count: z.number().int().positive(),
	deadline: z.number(),
});

const observationSchema = z.object({
	targetId: z.string(),
	slowness: z.number().positive(),
	isQuarantined: z.boolean(),
});

const payloadSchema = z.object({
	idle: z.array(z.object({upstream: z.string(), count: z.number().int().nonnegative()})),
	observations: z.array(observationSchema),
	returned: z.array(grantSchema),
});

/** Parses a demand from another host. */
export const parseDemand = (text: string): SlotDemand => demandSchema.parse(JSON.parse(text));

/** Parses grants from another host. */
export const parseGrants = (text: string): SlotGrant[] => z.array(grantSchema).parse(JSON.parse(text));

/** Parses the lending part of a heartbeat. */
export const parseLendingPayload = (text: string): LendingPayload => payloadSchema.parse(JSON.parse(text));

/** Lending over one scheduler. */
export const createLending = ({
	scheduler, clock, logger, requestLoan, onSlots,
}: LendingOptions): Lending => {
	const idleByHost = new Map<string, Map<string, number>>();
	const returns = new Map<string, SlotGrant[]>();
	const asking = new Set<string>();
	let requests = 0;

	const findLender = (upstream: string): {hostId: string; idle: number} | undefined => {
		let best: {hostId: string; idle: number} | undefined;
		for (const [hostId, idleByUpstream] of idleByHost) {
			const idle = idleByUpstream.get(upstream) ?? 0;
			if (idle > (best?.idle ?? 0)) {
				best = {hostId, idle};
			}
		}

		return best;
	};

	const borrowFrom = async (lenderId: string, demand: SlotDemand) => {
		requests += 1;
		const grants = await requestLoan(lenderId, demand);
		const granted = grants.reduce((sum, {count}) => sum + count, 0);
		const idleByUpstream = idleByHost.get(lenderId);
		if (idleByUpstream) {
			const left = Math.max(0, (idleByUpstream.get(demand.upstream) ?? 0) - granted);
			idleByUpstream.set(demand.upstream, granted === 0 ? 0 : left);
		}

		if (granted > 0) {
			scheduler.borrow(lenderId, grants);
			onSlots();
		}
	};

	const askFor = async ({upstream, count}: SlotDemand) => {
		asking.add(upstream);
		const lender = findLender(upstream);
		if (lender) {
			await borrowFrom(lender.hostId, {upstream, count: Math.min(count, lender.idle)});
		}

		asking.delete(upstream);
	};

	const collectReturns = () => {
		for (const {lenderId, grants} of scheduler.releaseIdle()) {
			returns.set(lenderId, [...(returns.get(lenderId) ?? []), ...grants]);
		}
	};

	return {
		ask() {
			for (const demand of scheduler.demand()) {
				if (demand.count > 0 && !asking.has(demand.upstream)) {
					void askFor(demand);
				}
			}
		},
		payloadFor(receiverId) {
			collectReturns();
			const returned = returns.get(receiverId) ?? [];
			returns.delete(receiverId);
			return {idle: scheduler.idleSlots(), observations: scheduler.observations(), returned};
		},
		receive(senderId, {idle, observations, returned}) {
			idleByHost.set(senderId, new Map(idle.map(({upstream, count}) => [upstream, count])));
			scheduler.observe(observations);
			if (returned.length > 0) {
				logger.debug('slots returned', {
					step: 'reclaim', peer: senderId, grants: returned.length, at: clock.now(),
				});
				scheduler.reclaim(senderId, returned);
				onSlots();
			}
		},
		forget(hostId) {
			idleByHost.delete(hostId);
			returns.delete(hostId);
		},
		requests: () => requests,
	};
};
