/** Memberships in one process, connected by in-memory links that can be cut or slowed. Hosts can be paused. */
import {
	createRandom, failureCode, waitUntil, type Clock, type Host,
} from 'chivestream-core';
import {Err, Ok} from 'ts-results-es';
import {HeartbeatMessage} from '../generated/peer.js';
import {
	createMembership, delivery, hostPhase, PeerFailure, type Membership, type MembershipOptions, type PeerResult,
} from '../index.js';

export type Node = {
	host: Host;
	membership: Membership;
	configuration: {version: number; offset: number};
	events: string[];
};

export type NodeOptions = Partial<Pick<MembershipOptions, 'payload' | 'onPayload' | 'onNewerConfiguration' | 'timing'>> & {
	incarnation?: string;
};

export type Traffic = {messages: number; bytes: number};

const linkLatencyMs = 1;

export const createNetwork = ({clock, seed = 1}: {clock: Clock; seed?: number}) => {
	const nodes = new Map<string, Node>();
	const cuts = new Set<string>();
	const paused = new Map<string, Array<() => void>>();
	const latencies = new Map<string, number>();
	const traffic = new Map<string, Traffic>();
	let starts = 0;

	const count = (id: string, bytes: number) => {
		const entry = traffic.get(id) ?? {messages: 0, bytes: 0};
		entry.messages += 1;
		entry.bytes += bytes;
		traffic.set(id, entry);
	};

	/** Waits while a host is paused, so that it neither sends nor processes messages. */
	const waitUntilResumed = async (incarnation: string) => {
		const waiting = paused.get(incarnation);
		if (waiting) {
			await new Promise<void>(resolve => {
				waiting.push(resolve);
			});
		}
	};

	/** Simulates sending bytes one way. Returns false if they are lost. */
	const transmit = async (from: string, to: string, bytes: number): Promise<boolean> => {
		count(from, bytes);
		await waitUntil(clock, clock.now() + Math.max(linkLatencyMs, latencies.get(from) ?? 0, latencies.get(to) ?? 0));
		await waitUntilResumed(nodes.get(to)?.host.incarnation ?? '');
		return nodes.has(to) && nodes.has(from) && !cuts.has(`${from}>${to}`);
	};

	const lostMessage = (peer: string) => new Err(new PeerFailure(failureCode.timedOut, 'lost', {step: 'heartbeat', peer, delivery: delivery.unknown}));

	const deliver = async (from: string, address: string, request: HeartbeatMessage): PeerResult<HeartbeatMessage> => {
		const target = [...nodes.values()].find(({host}) => host.peerAddress === address);
		const bytes = HeartbeatMessage.encode(request).finish();
		const isDelivered = await transmit(from, target?.host.id ?? address, bytes.length);
		const receiver = target && nodes.get(target.host.id);
		if (!isDelivered || !receiver) {
			return lostMessage(address);
		}

		const reply = HeartbeatMessage.encode(receiver.membership.receive(HeartbeatMessage.decode(bytes))).finish();
		const isAnswered = await transmit(receiver.host.id, from, reply.length);
		return isAnswered ? new Ok(HeartbeatMessage.decode(reply)) : lostMessage(address);
	};

	const send = async ({id: from, incarnation}: Host, address: string, request: HeartbeatMessage, deadline: number): PeerResult<HeartbeatMessage> => {
		await waitUntilResumed(incarnation);
		return new Promise(resolve => {
			const timer = clock.at(deadline, () => {
				resolve(lostMessage(address));
			});
			void (async () => {
				const result = await deliver(from, address, request);
				if (result.isOk()) {
					timer.cancel();
					resolve(result);
				}
			})();
		});
	};

	/** Clock of one host, whose timers are delayed while the host is paused. */
	const pausableClock = (incarnation: string): Clock => ({
		now: clock.now,
		at: (deadline, callback) => clock.at(deadline, () => {
			const waiting = paused.get(incarnation);
			if (waiting) {
				waiting.push(callback);
			} else {
				callback();
			}
		}),
	});

	const start = (id: string, zone: string, options: NodeOptions = {}): Node => {
		starts += 1;
		const host: Host = {
			id,
			zone,
			region: zone.slice(0, 1),
			incarnation: options.incarnation ?? `i${String(starts).padStart(8, '0')}`,
			peerAddress: `10.0.0.1:${id}`,
			callerAddress: `10.0.0.2:${id}`,
			operatorAddress: `10.0.0.3:${id}`,
		};
		const configuration = {version: 1, offset: 1};
		const events: string[] = [];
		const membership = createMembership({
			self: host,
			clock: pausableClock(host.incarnation),
			random: createRandom(seed + starts),
			seeds: [...nodes.values()].slice(0, 3).map(node => node.host.peerAddress),
			listHosts: async () => [...nodes.values()].map(node => node.host.peerAddress),
			send: async (address, request, deadline) => send(host, address, request, deadline),
			configuration: () => configuration,
			onSuperseded: incarnation => events.push(`superseded by ${incarnation}`),
			onNewerConfiguration(member) {
				configuration.offset = (member.configuration?.nextOffset ?? 0) - 1;
				membership.announceConfiguration();
			},
			...options,
		});
		const node = {
			host, membership, configuration, events,
		};
		nodes.set(id, node);
		void membership.announce(hostPhase.serving);
		return node;
	};

	const resume = ({host: {incarnation}}: Node) => {
		const waiting = paused.get(incarnation) ?? [];
		paused.delete(incarnation);
		for (const callback of waiting) {
			callback();
		}
	};

	const kill = async (id: string) => {
		const node = nodes.get(id);
		nodes.delete(id);
		if (node) {
			resume(node);
			await node.membership.close();
		}
	};

	const forEachLink = (left: readonly string[], right: readonly string[], apply: (link: string) => void) => {
		for (const from of left) {
			for (const to of right) {
				apply(`${from}>${to}`);
				apply(`${to}>${from}`);
			}
		}
	};

	return {
		nodes,
		traffic,
		start,
		kill,
		pause({host}: Node) {
			paused.set(host.incarnation, []);
		},
		resume,
		/** Loses all messages from one host to another. */
		cutOneWay(from: string, to: string) {
			cuts.add(`${from}>${to}`);
		},
		cut(left: readonly string[], right: readonly string[]) {
			forEachLink(left, right, link => cuts.add(link));
		},
		heal() {
			cuts.clear();
		},
		slow(id: string, latencyMs: number) {
			latencies.set(id, latencyMs);
		},
		idsIn: (zone: string) => [...nodes.values()].filter(({host}) => host.zone === zone).map(({host}) => host.id),
		async close() {
			await Promise.all([...nodes.keys()].map(async id => kill(id)));
		},
	};
};

export type Network = ReturnType<typeof createNetwork>;
