/** Sends one request to all other entry hosts and combines their replies, listing each host that did not reply. */
import {
	failureCode, Failure, type Clock, waitUntil,
} from 'chivestream-core';
import {Err, type Result} from 'ts-results-es';

/** Another entry host, with the function that sends requests to it. */
export type QueryablePeer = {
	host: string;
	zone: string;
	/** Sends a request, which the peer handles with `answerPeerRequest`, and gives its reply. */
	query: (request: string, deadline: number) => Promise<Result<string, Failure>>;
};

/** An entry host that did not reply, or that omitted items from its reply. */
export type MissingHost = {
	host: string;
	zone: string;
	reason: string;
};

/** The combined items of several hosts. Incomplete results are explicit: `missing` lists each host whose items are missing or incomplete. */
export type GatheredResult<Item> = {
	items: Item[];
	missing: MissingHost[];
};

/** The items of one host, and a description of those that it omitted. */
export type HostResult<Item> = {
	items: Item[];
	omission?: string;
};

/** A request, and the function that parses a reply to it. */
export type PeerQuery<Item> = {
	request: string;
	/** Parses a reply; throws when it is malformed. */
	read: (reply: string) => HostResult<Item>;
};

const queryPeer = async (peer: QueryablePeer, request: string, deadline: number, clock: Clock): Promise<Result<string, Failure>> => {
	const {signal, abort} = createAbortHandle();
	const timeOut = async (): Promise<Result<string, Failure>> => {
		await waitUntil(clock, deadline, signal);
		return new Err(new Failure(failureCode.timedOut, 'no answer in time', {step: 'gather', peer: peer.host}));
	};

	try {
		return await Promise.race([peer.query(request, deadline), timeOut()]);
	} finally {
		abort();
	}
};

const createAbortHandle = () => {
	const controller = new AbortController();
	return {
		signal: controller.signal,
		abort() {
			controller.abort();
		},
	};
};

const readReply = <Item>(peer: QueryablePeer, reply: Result<string, Failure>, read: PeerQuery<Item>['read']): GatheredResult<Item> => {
	const {host, zone} = peer;
	if (reply.isErr()) {
		return {items: [], missing: [{host, zone, reason: reply.error.message}]};
	}

	try {
		const {items, omission} = read(reply.value);
		return {items, missing: omission === undefined ? [] : [{host, zone, reason: omission}]};
	} catch {
		return {items: [], missing: [{host, zone, reason: 'its answer is malformed'}]};
	}
};

/** Sends the request to all peers concurrently and combines the replies that arrive by the deadline. */
export const gatherFromPeers = async <Item>(
	peers: readonly QueryablePeer[],
	peerQuery: PeerQuery<Item>,
	deadline: number,
	clock: Clock,
): Promise<GatheredResult<Item>> => {
	const results = await Promise.all(peers.map(async peer => {
		const reply = await queryPeer(peer, peerQuery.request, deadline, clock);
		return readReply(peer, reply, peerQuery.read);
	}));
	return {items: results.flatMap(result => result.items), missing: results.flatMap(part => part.missing)};
};
