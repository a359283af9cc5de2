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
const isOn = 1;
const isOff = 0;

/** A client's options: its own connection, no retries, no service configuration, no proxy, capped reconnect backoff. */
export const clientOptions: ChannelOptions = Object.fromEntries([
	['grpc.keepalive_time_ms', keepaliveIntervalMs],
	['grpc.keepalive_timeout_ms', keepaliveTimeoutMs],
	['grpc.keepalive_permit_without_calls', isOff],
	['grpc.initial_reconnect_backoff_ms', initialBackoffMs],
	['grpc.max_reconnect_backoff_ms', maxBackoffMs],
	['grpc.use_local_subchannel_pool', isOn],
	['grpc.enable_retries', isOff],
	['grpc.service_config_disable_resolution', isOn],
	['grpc.enable_http_proxy', isOff],
	['grpc.enable_channelz', isOff],
	['grpc.client_idle_timeout_ms', idleTimeoutMs],
	['grpc.max_send_message_length', maxMessageBytes],
	['grpc.max_receive_message_length', maxMessageBytes],
]);

/** A service's options. */
export const serverOptions: ChannelOptions = Object.fromEntries([
	['grpc.keepalive_time_ms', serverKeepaliveIntervalMs],
	['grpc.keepalive_timeout_ms', serverKeepaliveTimeoutMs],
	['grpc.enable_channelz', isOff],
	['grpc.max_send_message_length', maxMessageBytes],
	['grpc.max_receive_message_length', maxMessageBytes],
]);
