/** Options of gRPC connections between entry hosts. */
import {type ChannelOptions} from '@grpc/grpc-js';

const maxMessageBytes = 64 * 1024 * 1024;
const keepaliveIntervalMs = 1000;
const keepaliveTimeoutMs = 1000;
const serverKeepaliveIntervalMs = 10_000;
const serverKeepaliveTimeoutMs = 5000;
const initialBackoffMs = 100;
const maxBackoffMs = 400;
const idleTimeoutMs = 60_000;
const enabled = 1;
const disabled = 0;

/**
Options of a client: a connection that is not shared with other clients, limited reconnect backoff, no retries, no service
configuration and no proxy.
*/
export const clientOptions: ChannelOptions = Object.fromEntries([
	['grpc.keepalive_time_ms', keepaliveIntervalMs],
	['grpc.keepalive_timeout_ms', keepaliveTimeoutMs],
	['grpc.keepalive_permit_without_calls', disabled],
	['grpc.initial_reconnect_backoff_ms', initialBackoffMs],
	['grpc.max_reconnect_backoff_ms', maxBackoffMs],
	['grpc.use_local_subchannel_pool', enabled],
	['grpc.enable_retries', disabled],
	['grpc.service_config_disable_resolution', enabled],
	['grpc.enable_http_proxy', disabled],
	['grpc.enable_channelz', disabled],
	['grpc.client_idle_timeout_ms', idleTimeoutMs],
	['grpc.max_send_message_length', maxMessageBytes],
	['grpc.max_receive_message_length', maxMessageBytes],
]);

/** Options of the server. */
export const serverOptions: ChannelOptions = Object.fromEntries([
	['grpc.keepalive_time_ms', serverKeepaliveIntervalMs],
	['grpc.keepalive_timeout_ms', serverKeepaliveTimeoutMs],
	['grpc.enable_channelz', disabled],
	['grpc.max_send_message_length', maxMessageBytes],
	['grpc.max_receive_message_length', maxMessageBytes],
]);
