/** GRPC server through which an entry host serves the others. */
import {
	Server, ServerCredentials, type handleUnaryCall, type sendUnaryData,
} from '@grpc/grpc-js';
import {toFailure} from 'chivestream-core';
import {serverOptions} from './channel-options.js';
import {toServiceError} from './failure-metadata.js';
import {
	PeerService as peerServiceDefinition, type HeartbeatMessage, type PeerServer,
} from './generated/peer.js';
import {type PeerHandlers} from './handlers.js';
import {
	decodeJson, decodeText, encodeJson, encodeText, isJob,
} from './json-bytes.js';

/** Time for calls in progress to end when `close` is called without a deadline. */
const closeGraceMs = 5000;

/** Processes heartbeats; implemented by `Membership`. */
export type HeartbeatReceiver = {
	receive: (request: HeartbeatMessage) => HeartbeatMessage;
};

/** Address and dependencies of the service. */
export type PeerServiceOptions = {
	/** `ip:port`; port 0 selects a free port. */
	listen: string;
	handlers: PeerHandlers;
	membership: HeartbeatReceiver;
};

/** A running service. */
export type PeerService = {
	/** `ip:port` on which the service listens. */
	address: string;
	/** Refuses new calls, waits for those in progress and cancels the remaining ones at the deadline (Unix milliseconds). */
	close: (deadline?: number) => Promise<void>;
};

const answerCall = async <Reply>(step: string, peer: string, handler: () => Promise<Reply> | Reply, callback: sendUnaryData<Reply>) => {
	try {
		callback(null, await handler());
	} catch (error) {
		callback(toServiceError(toFailure(error, {step, peer})));
	}
};

const unaryHandler = <Request, Reply>(step: string, handler: (request: Request) => Promise<Reply> | Reply): handleUnaryCall<Request, Reply> =>
	(call, callback) => {
		void answerCall(step, call.getPeer(), async () => handler(call.request), callback);
	};

const createPeerServer = (handlers: PeerHandlers, membership: HeartbeatReceiver): PeerServer => ({
	heartbeat: unaryHandler('heartbeat', request => membership.receive(request)),
	submit: unaryHandler('submit', async ({job}) => ({answer: encodeJson(await handlers.submit(decodeJson(job, isJob)))})),
	fetch: unaryHandler('fetch', async ({key, waitDeadline}) => ({answer: encodeJson(await handlers.fetch(key, waitDeadline))})),
	cancel: unaryHandler('cancel', async ({key}) => ({answer: encodeJson(await handlers.cancel(key))})),
	lend: unaryHandler('lend', ({borrowerId, demand}) => ({grants: encodeText(handlers.lend(borrowerId, decodeText(demand)))})),
	reclaim: unaryHandler('reclaim', ({borrowerId, grants}) => {
		handlers.reclaim(borrowerId, decodeText(grants));
		return {};
	}),
	readConfiguration: unaryHandler('read-configuration', () => ({configuration: encodeJson(handlers.readConfiguration())})),
	query: unaryHandler('query', async ({request}) => ({reply: encodeText(await handlers.query(decodeText(request)))})),
});

const listenOn = async (server: Server, listen: string): Promise<number> => new Promise((resolve, reject) => {
	server.bindAsync(listen, ServerCredentials.createInsecure(), (error, port) => {
		if (error) {
			reject(error);
		} else {
			resolve(port);
		}
	});
});

const shutDown = async (server: Server, deadline: number): Promise<void> => new Promise(resolve => {
	const timer = setTimeout(() => {
		server.forceShutdown();
		resolve();
	}, Math.max(0, deadline - Date.now()));
	server.tryShutdown(() => {
		clearTimeout(timer);
		resolve();
	});
});

/** Starts the service. Rejects if it cannot listen on the address. */
export const startPeerService = async ({listen, handlers, membership}: PeerServiceOptions): Promise<PeerService> => {
	const server = new Server(serverOptions);
	server.addService(peerServiceDefinition, createPeerServer(handlers, membership));
	const port = await listenOn(server, listen);
	const ip = listen.slice(0, listen.lastIndexOf(':'));
	return {
		address: `${ip}:${port}`,
		close: async (deadline = Date.now() + closeGraceMs) => shutDown(server, deadline),
	};
};
