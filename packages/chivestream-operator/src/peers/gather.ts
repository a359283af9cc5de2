/** Asks every entry host the same question and gathers the answers, naming each host that gave none. */
import {
	failureCode, Failure, type Clock, waitUntil,
} from 'chivestream-core';
import {Err, type Result} from 'ts-results-es';

/** Another entry host that can be asked. */
export type QueriedPeer = {
	host: string;
	zone: string;
	/** Sends a request to the host's own `answerPeerRequest` and gives its reply. */
	query: (request: string, deadline: number) => Promise<Result<string, Failure>>;
};

/** An entry host that did not answer, or left something out of its answer. */
export type MissingHost = {
	host: string;
	zone: string;
	reason: string;
};

/** What all hosts together answered. Never a silent part: whoever did not answer is listed. */
export type Gathered<Item> = {
	items: Item[];
	missing: MissingHost[];
};

/** One host's answer, and what it left out of it. */
export type Part<Item> = {
	items: Item[];
	omission?: string;
};

/** A request with how to read a reply to it. */
export type Question<Item> = {
	request: string;
	/** Reads a reply; throws when it is malformed. */
	read: (reply: string) => Part<Item>;
};

const ask = async (peer: QueriedPeer, request: string, deadline: number, clock: Clock): Promise<Result<string, Failure>> => {
	const {signal, abort} = createAbort();
	const expiry = async (): Promise<Result<string, Failure>> => {
		await waitUntil(clock, deadline, signal);
		return new Err(new Failure(failureCode.timedOut, 'no answer in time', {step: 'gather', peer: peer.host}));
	};

	try {
		return await Promise.race([peer.query(request, deadline), expiry()]);
	} finally {
		abort();
	}
};

const createAbort = () => {
	const controller = new AbortController();
	return {
		signal: controller.signal,
		abort() {
			controller.abort();
		},
	};
};

const readPart = <Item>(peer: QueriedPeer, reply: Result<string, Failure>, read: Question<Item>['read']): Gathered<Item> => {
	const {host, zone} = peer;
	if (reply.isErr()) {
		return {items: [], missing: [{host, zone, reason: reply.error.message}]};
	}

	try {
		const {items, omission} = read(reply.value);
		return {items, missing: omission === undefined ? [] : [{host, zone, reason: omission}]};
	} catch {
		return {items: [], missing: [{host, zone, reason: 'its answer could not be read'}]};
	}
};

/** Asks all peers at once until the deadline. */
export const gatherFromPeers = async <Item>(
	peers: readonly QueriedPeer[],
	question: Question<Item>,
	deadline: number,
	clock: Clock,
): Promise<Gathered<Item>> => {
	const parts = await Promise.all(peers.map(async peer => {
		const reply = await ask(peer, question.request, deadline, clock);
		return readPart(peer, reply, question.read);
	}));
	return {items: parts.flatMap(part => part.items), missing: parts.flatMap(part => part.missing)};
};
