/** The gRPC service between entry hosts: a bidirectional stream of JSON messages. */
import {Buffer} from 'node:buffer';
import {
	credentials, makeGenericClientConstructor, Server, ServerCredentials, type ChannelOptions, type Client,
	type ClientDuplexStream, type ServerDuplexStream, type ServiceDefinition,
} from '@grpc/grpc-js';
import {type PeerReply, type PeerRequest} from './messages.js';

// The library requires buffers.
// eslint-disable-next-line @typescript-eslint/no-restricted-types
const encode = (message: unknown): Buffer => Buffer.from(JSON.stringify(message));

// Both ends run the same build, so a message of another shape can only come from a fault, and it ends the stream.
// eslint-disable-next-line @typescript-eslint/no-restricted-types, @typescript-eslint/no-unsafe-type-assertion
const decode = <Message>(bytes: Buffer): Message => JSON.parse(bytes.toString('utf8')) as Message;

const definition = {
	attach: {
		path: '/chivestream.Peer/Attach',
		requestStream: true,
		responseStream: true,
		requestSerialize: encode,
		requestDeserialize: decode<PeerRequest>,
		responseSerialize: encode,
		responseDeserialize: decode<PeerReply>,
	},
} satisfies ServiceDefinition;

/** Maximum message size; declarations with thousands of routes must fit. */
const maxMessageBytes = 16 * 1024 * 1024;

const enabled = 1;
const disabled = 0;

/** Each stream has its own connection, so that a silent connection is closed with its stream and never reused. */
const clientOptions: ChannelOptions = Object.fromEntries([
	['grpc.use_local_subchannel_pool', enabled],
	['grpc.enable_retries', disabled],
	['grpc.service_config_disable_resolution', enabled],
	['grpc.enable_http_proxy', disabled],
	['grpc.enable_channelz', disabled],
	['grpc.max_receive_message_length', maxMessageBytes],
]);

const serverOptions: ChannelOptions = Object.fromEntries([
	['grpc.enable_channelz', disabled],
	['grpc.max_receive_message_length', maxMessageBytes],
]);

/** The stream as seen by the host that opened it. */
export type RequestStream = ClientDuplexStream<PeerRequest, PeerReply>;

/** The stream as seen by the host that accepted it. */
export type ReplyStream = ServerDuplexStream<PeerRequest, PeerReply>;

// The library's factory returns an untyped class; `attach` is its only method.
// eslint-disable-next-line @typescript-eslint/naming-convention, @typescript-eslint/no-unsafe-type-assertion
const PeerClient = makeGenericClientConstructor(definition, 'Peer') as unknown as new (
	...parameters: ConstructorParameters<typeof Client>
) => Client & {attach: () => RequestStream};

/** Opens a stream to the host at an address; `close` cancels it and closes its connection. */
export const openStream = (address: string): {stream: RequestStream; close: () => void} => {
	const client = new PeerClient(address, credentials.createInsecure(), clientOptions);
	const stream = client.attach();
	return {
		stream,
		close() {
			stream.cancel();
			client.close();
		},
	};
};

/** Listens at an address and accepts the streams of other hosts; rejects if the address can't be bound. */
export const serveStreams = async (address: string, accept: (stream: ReplyStream) => void): Promise<Server> => {
	const server = new Server(serverOptions);
	server.addService(definition, {attach: accept});
	await new Promise<void>((resolve, reject) => {
		server.bindAsync(address, ServerCredentials.createInsecure(), error => {
			if (error === null) {
				resolve();
			} else {
				reject(error);
			}
		});
	});
	return server;
};
