/**
Borrows free slots from other entry hosts of the zone when tasks wait, and gives idle ones back. What each host has
free travels in the heartbeats, so that a request goes only to a host that can grant it; returns travel there too.
*/
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
	/** Grants that the receiver lent and is asked to extend. */
	renewals: SlotGrant[];
	/** Grants that the receiver borrowed and may keep longer. */
	extended: SlotGrant[];
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
	renewals: z.array(grantSchema),
	extended: z.array(grantSchema),
});

/** Parses a demand from another host. */
export const parseDemand = (text: string): SlotDemand => demandSchema.parse(JSON.parse(text));

/** Parses grants from another host. */
export const parseGrants = (text: string): SlotGrant[] => z.array(grantSchema).parse(JSON.parse(text));

/** Parses the lending part of a heartbeat. */
export const parseLendingPayload = (text: string): LendingPayload => payloadSchema.parse(JSON.parse(text));

type Outbox = {
	observations: Map<string, TargetObservation>;
	returned: SlotGrant[];
	renewals: SlotGrant[];
	extended: SlotGrant[];
};

const createOutbox = (): Outbox => ({
	observations: new Map(), returned: [], renewals: [], extended: [],
});

/** Lending over one scheduler. */
export const createLending = ({scheduler, requestLoan, onSlots}: LendingOptions): Lending => {
	const idleByHost = new Map<string, Map<string, number>>();
	const outboxes = new Map<string, Outbox>();
	const asking = new Set<string>();
	let requests = 0;

	const outboxOf = (hostId: string): Outbox => {
		const outbox = outboxes.get(hostId) ?? createOutbox();
		outboxes.set(hostId, outbox);
		return outbox;
	};

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

	const noteLoan = (lenderId: string, upstream: string, granted: number) => {
		const idleByUpstream = idleByHost.get(lenderId);
		const idle = idleByUpstream?.get(upstream) ?? 0;
		// A host that grants nothing has nothing free until its next heartbeat says otherwise.
		idleByUpstream?.set(upstream, granted === 0 ? 0 : Math.max(0, idle - granted));
	};

	const borrowFrom = async (lenderId: string, demand: SlotDemand) => {
		requests += 1;
		const grants = await requestLoan(lenderId, demand);
		const granted = grants.reduce((sum, {count}) => sum + count, 0);
		noteLoan(lenderId, demand.upstream, granted);
		if (granted > 0) {
			scheduler.borrow(lenderId, grants);
			onSlots();
		}
	};

	const askFor = async ({upstream, count}: SlotDemand) => {
		const lender = findLender(upstream);
		if (!lender) {
			return;
		}

		asking.add(upstream);
		await borrowFrom(lender.hostId, {upstream, count: Math.min(count, lender.idle)});
		asking.delete(upstream);
	};

	/** Each observation goes to every host that this one sends heartbeats to, once. */
	const collectObservations = () => {
		for (const observation of scheduler.observations()) {
			for (const {observations} of outboxes.values()) {
				observations.set(observation.targetId, observation);
			}
		}
	};

	const collectGrants = () => {
		for (const {lenderId, grants} of scheduler.releaseIdle()) {
			outboxOf(lenderId).returned.push(...grants);
		}

		for (const {lenderId, grants} of scheduler.renewals()) {
			outboxOf(lenderId).renewals.push(...grants);
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
			const {observations, ...grants} = outboxOf(receiverId);
			collectObservations();
			collectGrants();
			outboxes.set(receiverId, createOutbox());
			return {...grants, idle: scheduler.idleSlots(), observations: [...observations.values()]};
		},
		receive(senderId, payload) {
			idleByHost.set(senderId, new Map(payload.idle.map(({upstream, count}) => [upstream, count])));
			scheduler.observe(payload.observations);
			scheduler.reclaim(senderId, payload.returned);
			scheduler.borrow(senderId, payload.extended);
			outboxOf(senderId).extended.push(...scheduler.extend(senderId, payload.renewals));
			onSlots();
		},
		forget(hostId) {
			idleByHost.delete(hostId);
			outboxes.delete(hostId);
		},
		requests: () => requests,
	};
};
