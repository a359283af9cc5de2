/** Requests between entry hosts that are sent as JSON in the peer service's `Query` call. */
import {type KeyStatus} from 'chivestream-core';
import {type PeerState, stateSchema} from 'chivestream-configuration';
import {type StreamRecord} from 'chivestream-log';
import {type SlotGrant} from 'chivestream-placement';
import {z} from 'zod';
import {grantSchema} from './lending.js';

const recordSchema = z.object({offset: z.number(), at: z.number(), value: z.unknown()});

const requestSchema = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('fetch'), key: z.string(), waitDeadline: z.number()}),
	z.object({kind: z.literal('cancel'), key: z.string(), isForced: z.boolean()}),
	z.object({kind: z.literal('operator'), request: z.string()}),
	z.object({kind: z.literal('state')}),
	z.object({
		kind: z.literal('hold'), offset: z.number(), records: z.array(recordSchema), deadline: z.number(),
	}),
	z.object({kind: z.literal('version')}),
	z.object({kind: z.literal('extend'), borrowerId: z.string(), grants: z.array(grantSchema)}),
]);

/** A request to another entry host; see `PeerReplies` for what each kind returns. */
export type PeerRequest = z.output<typeof requestSchema>;

/** The reply to each kind of request. */
export type PeerReplies = {
	/** Status of the key on the receiving host at `waitDeadline` or once the job is answered. */
	fetch: KeyStatus;
	/** Status of the key on the receiving host after its job was cancelled. */
	cancel: KeyStatus;
	/** Reply to an operator's request, in JSON. */
	operator: string;
	/** The configuration that the receiving host holds. */
	state: PeerState;
	/** Highest offset of the configuration log that the receiving host now holds. */
	hold: number;
	/** Configuration version in force; -1 while there is none. */
	version: number;
	/** The grants that were extended, with their new deadlines. */
	extend: SlotGrant[];
};

/** One handler per kind of request. */
export type PeerRequestHandlers = {
	fetch: (key: string, waitDeadline: number) => Promise<KeyStatus>;
	cancel: (key: string, isForced: boolean) => Promise<KeyStatus>;
	operator: (request: string) => string;
	state: () => PeerState;
	hold: (offset: number, records: StreamRecord[], deadline: number) => Promise<number>;
	version: () => number;
	extend: (borrowerId: string, grants: SlotGrant[]) => SlotGrant[];
};

const keyStatusSchema = z.custom<KeyStatus>(value => typeof value === 'object' && value !== null && 'kind' in value);

const replySchemas: {[Kind in keyof PeerReplies]: z.ZodType<PeerReplies[Kind]>} = {
	fetch: keyStatusSchema,
	cancel: keyStatusSchema,
	operator: z.string(),
	state: z.object({
		hostId: z.string(), zone: z.string(), isProven: z.boolean(), state: stateSchema,
	}),
	hold: z.number(),
	version: z.number(),
	extend: z.array(grantSchema),
};

/** Parses the reply to a kind of request. Returns undefined for JSON of another shape and throws if the text is not JSON. */
export const parsePeerReply = <Kind extends keyof PeerReplies>(kind: Kind, text: string): PeerReplies[Kind] | undefined => {
	const schema: z.ZodType<PeerReplies[Kind]> = replySchemas[kind];
	return schema.safeParse(JSON.parse(text)).data;
};

const answer = async (request: PeerRequest, handlers: PeerRequestHandlers): Promise<unknown> => {
	switch (request.kind) {
		case 'fetch': {
			return handlers.fetch(request.key, request.waitDeadline);
		}

		case 'cancel': {
			return handlers.cancel(request.key, request.isForced);
		}

		case 'operator': {
			return handlers.operator(request.request);
		}

		case 'state': {
			return handlers.state();
		}

		case 'hold': {
			return handlers.hold(request.offset, request.records, request.deadline);
		}

		case 'version': {
			return handlers.version();
		}

		case 'extend': {
			return handlers.extend(request.borrowerId, request.grants);
		}
	}
};

/** Handles a request in JSON and resolves with the reply in JSON. Rejects if the request is malformed. */
export const answerPeerRequest = async (text: string, handlers: PeerRequestHandlers): Promise<string> =>
	JSON.stringify(await answer(requestSchema.parse(JSON.parse(text)), handlers));

/** Formats a request as JSON. */
export const formatPeerRequest = (request: PeerRequest): string => JSON.stringify(request);

