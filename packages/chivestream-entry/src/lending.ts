/**
Borrows free slots from other entry hosts of the zone when tasks wait, and gives idle ones back. What each host has
free travels in the heartbeats, so that a request goes only to a host that can grant it; returns travel there too.
*/
import {type Clock} from 'chivestream-core';
import {
	createLenderChoice,
	type Lender,
	type LendingTerms,
	type Scheduler,
	type SlotDemand,
	type SlotGrant,
	type SlotRequest,
	type TargetObservation,
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
export type RequestLoan = (lenderId: string, demand: SlotDemand) => Promise<SlotGrant[]>;

/** Asks a lender to extend grants; gives those that it extended. */
export type RequestExtension = (lenderId: string, grants: SlotGrant[]) => Promise<SlotGrant[]>;

/** Lends and borrows slots. */
export type Lending = {
	/** Asks for slots where tasks wait and another host has free ones. */
	requestSlots: () => void;
	takePayload: (receiverId: string) => LendingPayload;
	applyPayload: (sender: Lender, payload: LendingPayload) => void;
	/** Asks lenders to extend grants that end while tasks still run on them. */
	renewGrants: () => void;
	/** Forgets what a host had free. */
	removeHost: (hostId: string) => void;
	/** Requests sent so far. */
	requests: () => number;
};

/** What lending needs. */
export type LendingOptions = {
	clock: Clock;
	scheduler: Scheduler;
	requestLoan: RequestLoan;
	requestExtension: RequestExtension;
	/** How eagerly slots of an upstream are asked for. */
	lendingPolicyOf: (upstream: string) => LendingTerms;
	/** Called once borrowed or returned slots can take tasks. */
	onSlotsAvailable: () => void;
};

const demandSchema = z.object({upstream: z.string(), count: z.number().int().positive()});

/** Schema of a grant. */
export const grantSchema = z.object({
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

type Outbox = {
	observations: Map<string, TargetObservation>;
	returned: SlotGrant[];
};

const createOutbox = (): Outbox => ({
	observations: new Map(), returned: [],
});

/** Lending over one scheduler. */
export const createLending = ({
	clock, scheduler, requestLoan, requestExtension, lendingPolicyOf, onSlotsAvailable,
}: LendingOptions): Lending => {
	const lenderChoice = createLenderChoice();
	const outboxes = new Map<string, Outbox>();
	let requests = 0;
	/** Until when the last of the borrowed slots may be used. */
	let latestGrantDeadline = 0;

	const getOutbox = (hostId: string): Outbox => {
		const outbox = outboxes.get(hostId) ?? createOutbox();
		outboxes.set(hostId, outbox);
		return outbox;
	};

	const applyGrants = (lenderId: string, grants: SlotGrant[]) => {
		latestGrantDeadline = Math.max(latestGrantDeadline, ...grants.map(({deadline}) => deadline));
		scheduler.borrow(lenderId, grants);
	};

	const borrowFrom = async (request: SlotRequest) => {
		requests += 1;
		const {lenderId, upstream, count} = request;
		const grants = await requestLoan(lenderId, {upstream, count});
		const granted = grants.reduce((sum, grant) => sum + grant.count, 0);
		lenderChoice.noteAnswer(request, granted);
		if (granted > 0) {
			applyGrants(lenderId, grants);
			onSlotsAvailable();
		}
	};

	/** Each observation goes to every host that this one sends heartbeats to, once. */
	const collectObservations = () => {
		for (const observation of scheduler.observations()) {
			for (const {observations} of outboxes.values()) {
				observations.set(observation.targetId, observation);
			}
		}
	};

	const collectIdleGrants = () => {
		for (const {lenderId, grants} of scheduler.releaseIdle()) {
			getOutbox(lenderId).returned.push(...grants);
		}
	};

	const renew = async (lenderId: string, grants: SlotGrant[]) => {
		requests += 1;
		applyGrants(lenderId, await requestExtension(lenderId, grants));
	};

	return {
		requestSlots() {
			for (const {upstream, count} of scheduler.demand()) {
				for (const request of lenderChoice.plan(upstream, count, lendingPolicyOf(upstream))) {
					void borrowFrom(request);
				}
			}
		},
		renewGrants() {
			if (clock.now() > latestGrantDeadline) {
				return;
			}

			for (const {lenderId, grants} of scheduler.renewals()) {
				void renew(lenderId, grants);
			}
		},
		takePayload(receiverId) {
			const {observations, ...grants} = getOutbox(receiverId);
			collectObservations();
			collectIdleGrants();
			outboxes.set(receiverId, createOutbox());
			return {...grants, idle: scheduler.idleSlots(), observations: [...observations.values()]};
		},
		applyPayload(sender, payload) {
			const senderId = sender.id;
			for (const {upstream, count} of payload.idle) {
				lenderChoice.noteIdle(sender, upstream, count);
			}

			scheduler.observe(payload.observations);
			scheduler.reclaim(senderId, payload.returned);
			onSlotsAvailable();
		},
		removeHost(hostId) {
			lenderChoice.forget(hostId);
			outboxes.delete(hostId);
		},
		requests: () => requests,
	};
};
