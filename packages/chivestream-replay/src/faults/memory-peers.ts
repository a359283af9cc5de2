/** Clients of other entry hosts in memory: each call crosses the links and may fail there. */
import {failureCode, toFailure} from 'chivestream-core';
import {type EntryHost} from 'chivestream-entry';
import {
	delivery, PeerFailure, type Delivery, type PeerClient, type PeerClients, type PeerResult,
} from 'chivestream-peer';
import {Err, Ok, type Result} from 'ts-results-es';
import {type HostRun} from './host-run.js';
import {type Links, type Place} from './links.js';

/** A host that answers calls. */
export type Callee = {
	run: HostRun;
	host: EntryHost;
	place: Place;
};

/** What the clients work with. */
export type MemoryPeersOptions = {
	run: HostRun;
	place: Place;
	links: Links;
	/** The host that listens on an address now. */
	findCallee: (address: string) => Callee | undefined;
};

const fetchGraceMs = 500;

const fail = (step: string, peer: string, delivered: Delivery): Err<PeerFailure> =>
	Err(new PeerFailure(failureCode.connectionFailed, `${step} got no answer`, {step, peer, delivery: delivered}));

/** Clients of one run of a host. */
export const createMemoryPeers = ({
	run, place, links, findCallee,
}: MemoryPeersOptions): PeerClients => {
	const work = async <Reply>(callee: Callee, step: string, task: (host: EntryHost) => Promise<Reply> | Reply): Promise<Result<Reply, PeerFailure>> => {
		await callee.run.gate();
		try {
			return Ok(structuredClone(await task(callee.host)));
		} catch (error) {
			const failure = toFailure(error, {step, peer: callee.place.name});
			return Err(new PeerFailure(failure.code, failure.message, {step, peer: callee.place.name, delivery: delivery.refused}));
		}
	};

	const exchange = async <Reply>(address: string, step: string, task: (host: EntryHost) => Promise<Reply> | Reply): Promise<Result<Reply, PeerFailure> | undefined> => {
		const target = findCallee(address);
		if (!target) {
			return fail(step, address, delivery.none);
		}

		const isDelivered = await links.carry(place, target.place);
		const callee = findCallee(address);
		if (!isDelivered || !callee) {
			return undefined;
		}

		if (links.isDuplicated()) {
			void work(callee, step, task);
		}

		const reply = await Promise.race([work(callee, step, task), callee.run.ended]);
		if (!reply) {
			return fail(step, address, delivery.unknown);
		}

		const isAnswered = !links.losesAnswer() && await links.carry(callee.place, place);
		return isAnswered ? reply : undefined;
	};

	const call = async <Reply>(address: string, step: string, deadline: number, task: (host: EntryHost) => Promise<Reply> | Reply): PeerResult<Reply> => new Promise(resolve => {
		const timer = run.clock.at(deadline, () => {
			resolve(fail(step, address, delivery.unknown));
		});
		void exchange(address, step, task).then(result => {
			if (result) {
				run.enter(() => {
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
