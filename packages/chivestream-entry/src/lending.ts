/**
Borrows free slots from other entry hosts while tasks wait, and returns idle ones. Heartbeats carry the free slots of
each host, so that a request goes only to a host that can grant it. They also carry the returned grants.
*/
import {type Clock} from 'chivestream-core';
import {
	createLenderSelector,
	type Lender,
	type LendingPolicy,
	type Scheduler,
	type SlotDemand,
	type SlotGrant,
	type SlotRequest,
	type TargetObservation,
} from 'chivestream-placement';
import {z} from 'zod';

/** What a host adds to its heartbeats to another host. */
export type LendingPayload = {
	/** Free slots of the sender for each upstream. */
	idle: SlotDemand[];
	/** Changed observations of minions and workers. */
	observations: TargetObservation[];
	/** Grants of the receiver that the sender returns. */
	returned: SlotGrant[];
};

/** Requests slots from a host; resolves with an empty list if it grants none or can't be reached. */
export type RequestLoan = (lenderId: string, demand: SlotDemand) => Promise<SlotGrant[]>;

/** Requests the extension of grants from their lender; resolves with those that it extended. */
export type RequestExtension = (lenderId: string, grants: SlotGrant[]) => Promise<SlotGrant[]>;

/** Borrows and returns slots, and exchanges lending payloads with the other hosts. */
export type Lending = {
	/** Requests slots for the upstreams with waiting tasks from hosts that have reported free ones. */
	requestSlots: () => void;
	/** Returns the payload of the next heartbeat to a host; its observations and returned grants are not sent again. */
	takePayload: (receiverId: string) => LendingPayload;
	/** Applies the payload of a received heartbeat. */
	applyPayload: (sender: Lender, payload: LendingPayload) => void;
	/** Requests the extension of grants that end while tasks still run on their slots. */
	renewGrants: () => void;
	/** Drops the free slots reported by a host and what is still to be sent to it. */
	removeHost: (hostId: string) => void;
	/** Number of loan and extension requests sent. */
	requests: () => number;
};

/** Dependencies and callbacks of lending. */
export type LendingOptions = {
	clock: Clock;
	scheduler: Scheduler;
	requestLoan: RequestLoan;
	requestExtension: RequestExtension;
	/** Terms that decide when and from whom slots of an upstream are requested. */
	lendingPolicyOf: (upstream: string) => LendingPolicy;
	/** Called after slots were borrowed and after each applied payload, because waiting tasks may start now. */
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

/** What the next heartbeat to a host carries besides the free slots; observations by target. */
type Outbox = {
	observations: Map<string, TargetObservation>;
	returned: SlotGrant[];
};

const createOutbox = (): Outbox => ({
	observations: new Map(), returned: [],
});

/** Creates lending over one scheduler. */
export const createLending = ({
	clock, scheduler, requestLoan, requestExtension, lendingPolicyOf, onSlotsAvailable,
}: LendingOptions): Lending => {
	const lenderChoice = createLenderSelector();
	const outboxes = new Map<string, Outbox>();
	let requests = 0;
	/** Latest deadline of all borrowed slots so far, in milliseconds since the Unix epoch. */
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
		lenderChoice.handleAnswer(request, granted);
		if (granted > 0) {
			applyGrants(lenderId, grants);
			onSlotsAvailable();
		}
	};

	/** Sends each observation once to every host that receives heartbeats from this one. */
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

			for (const {lenderId, grants} of scheduler.dueExtensions()) {
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
				lenderChoice.recordIdleSlots(sender, upstream, count);
			}

			scheduler.applyObservations(payload.observations);
			scheduler.reclaim(senderId, payload.returned);
			onSlotsAvailable();
		},
		removeHost(hostId) {
			lenderChoice.removeLender(hostId);
			outboxes.delete(hostId);
		},
		requests: () => requests,
	};
};
