/** Hosts with real gRPC services and clients on loopback. Each one is reached through a relay that can be cut. */
import {
	createRandom, failureCode, Failure, systemClock, type Host,
} from 'chivestream-core';
import {startRelay, type Relay} from '../capacity/relay.js';
import {
	createMembership, createPeerClients, hostPhase, startPeerService, type Membership, type PeerHandlers,
} from '../index.js';
import {type HeartbeatMessage} from '../generated/peer.js';

const unused = (): never => {
	throw new Failure(failureCode.internal, 'not used', {step: 'test', peer: ''});
};

const handlers: PeerHandlers = {
	submit: async () => unused(),
	fetch: async () => unused(),
	cancel: async () => unused(),
	lend: unused,
	reclaim: unused,
	readConfiguration: () => undefined,
	query: async () => unused(),
};

export type RealHost = {
	host: Host;
	membership: Membership;
	relay: Relay;
	stop: () => Promise<void>;
};

/** Starts a host. The relay of a previous incarnation may be reused so that the peer address stays the same. */
export const startRealHost = async (options: {id: string; incarnation: string; seeds: readonly string[]; relay?: Relay}): Promise<RealHost> => {
	const clients = createPeerClients();
	const starting = (): HeartbeatMessage => {
		throw new Failure(failureCode.notReady, 'starting', {step: 'heartbeat', peer: options.id});
	};

	const receiver = {receive: starting as (message: HeartbeatMessage) => HeartbeatMessage};
	const service = await startPeerService({
		listen: '127.0.0.1:0', handlers, membership: {receive: message => receiver.receive(message)},
	});
	const relay = options.relay ?? await startRelay(service.address);
	relay.setTarget(service.address);
	const host: Host = {
		id: options.id,
		region: 'a',
		zone: 'a1',
		incarnation: options.incarnation,
		peerAddress: relay.address,
		callerAddress: '',
		operatorAddress: '',
	};
	const membership = createMembership({
		self: host,
		clock: systemClock,
		random: createRandom(1),
		seeds: options.seeds,
		send: async (address, message, deadline) => clients.get(address).heartbeat(message, deadline),
	});
	receiver.receive = membership.receive;
	await membership.announce(hostPhase.serving);
	return {
		host,
		membership,
		relay,
		async stop() {
			await Promise.all([membership.close(), service.close(Date.now())]);
			clients.close();
		},
	};
};
