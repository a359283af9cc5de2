/** In-memory clients of other entry hosts; each call passes over the links, where it may be lost. */
import {failureCode, toFailure} from 'chivestream-core';
import {type EntryHost} from 'chivestream-entry';
import {
	delivery, PeerFailure, type Delivery, type PeerClient, type PeerClients, type PeerResult,
} from 'chivestream-peer';
import {Err, Ok, type Result} from 'ts-results-es';
import {type HostProcess} from './host-process.js';
import {type Links, type Endpoint} from './links.js';

/** A host that receives calls. */
export type Callee = {
	process: HostProcess;
	host: EntryHost;
	endpoint: Endpoint;
};

/** Dependencies of the clients. */
export type MemoryPeersOptions = {
	/** The calling process. */
	process: HostProcess;
	endpoint: Endpoint;
	links: Links;
	/** Finds the host that listens on an address now. */
	findCallee: (address: string) => Callee | undefined;
};

const fetchGraceMs = 500;

const failCall = (step: string, peer: string, delivered: Delivery): Err<PeerFailure> =>
	Err(new PeerFailure(failureCode.connectionFailed, `${step} got no answer`, {step, peer, delivery: delivered}));

/** Creates the clients of one process of a host. */
export const createMemoryPeers = ({
	process, endpoint, links, findCallee,
}: MemoryPeersOptions): PeerClients => {
	const handle = async <Reply>(callee: Callee, step: string, handler: (host: EntryHost) => Promise<Reply> | Reply): Promise<Result<Reply, PeerFailure>> => {
		await callee.process.waitUntilActive();
		try {
			return Ok(structuredClone(await handler(callee.host)));
		} catch (error) {
			const failure = toFailure(error, {step, peer: callee.endpoint.name});
			return Err(new PeerFailure(failure.code, failure.message, {step, peer: callee.endpoint.name, delivery: delivery.refused}));
		}
	};

	const exchange = async <Reply>(address: string, step: string, handler: (host: EntryHost) => Promise<Reply> | Reply): Promise<Result<Reply, PeerFailure> | undefined> => {
		const target = findCallee(address);
		if (!target) {
			return failCall(step, address, delivery.none);
		}

		const isDelivered = await links.transmit(endpoint, target.endpoint);
		const callee = findCallee(address);
		if (!isDelivered || !callee) {
			return undefined;
		}

		if (links.isDuplicated()) {
			void handle(callee, step, handler);
		}

		const reply = await Promise.race([handle(callee, step, handler), callee.process.ended]);
		if (!reply) {
			return failCall(step, address, delivery.unknown);
		}

		const isAnswered = !links.losesAnswer() && await links.transmit(callee.endpoint, endpoint);
		return isAnswered ? reply : undefined;
	};

	const call = async <Reply>(address: string, step: string, deadline: number, handler: (host: EntryHost) => Promise<Reply> | Reply): PeerResult<Reply> => new Promise(resolve => {
		const timer = process.clock.at(deadline, () => {
			resolve(failCall(step, address, delivery.unknown));
		});
		void exchange(address, step, handler).then(result => {
			if (result) {
				process.runWhenActive(() => {
					timer.cancel();
					resolve(result);
				});
			}
		});
	});

	const createClient = (address: string): PeerClient => ({
		address,
		heartbeat: async (request, deadline) => call(address, 'heartbeat', deadline, host => host.membership.receive(structuredClone(request))),
		submit: async (job, deadline = job.deadline) => call(address, 'submit', deadline, async host => host.peerHandlers.submit(structuredClone(job))),
		fetch: async (key, waitDeadline) => call(address, 'fetch', waitDeadline + fetchGraceMs, async host => host.peerHandlers.fetch(key, waitDeadline)),
		cancel: async (key, deadline) => call(address, 'cancel', deadline, async host => host.peerHandlers.cancel(key)),
		lend: async (borrowerId, demand, deadline) => call(address, 'lend', deadline, host => host.peerHandlers.lend(borrowerId, demand)),
		reclaim: async (borrowerId, grants, deadline) => call(address, 'reclaim', deadline, host => {
			host.peerHandlers.reclaim(borrowerId, grants);
		}),
		readConfiguration: async deadline => call(address, 'read-configuration', deadline, host => host.peerHandlers.readConfiguration()),
		query: async (request, deadline) => call(address, 'query', deadline, async host => host.peerHandlers.query(request)),
		close() {
			// Nothing is kept open.
		},
	});

	return {
		get: createClient,
		retain() {
			// Nothing is kept open.
		},
		close() {
			// Nothing is kept open.
		},
	};
};
