/** Measures the overhead of gRPC per heartbeat: CPU time and bytes of a call over loopback, for both ends together. */
/* eslint-disable no-await-in-loop -- rounds are sequential */
import process from 'node:process';
import {createPeerClient} from '../client.js';
import {HeartbeatMessage} from '../generated/peer.js';
import {type PeerHandlers} from '../handlers.js';
import {startPeerService} from '../service.js';
import {startRelay} from './relay.js';

const peers = 8;
const roundMs = 250;
const microsecondsPerMillisecond = 1000;
const warmUpRounds = 400;
const callTimeoutMs = 5000;

/** Cost of one call (request and reply), for both ends together. */
export type CallCost = {cpuMs: number; bytes: number};

const empty = async () => undefined;

const handlers: PeerHandlers = {
	async submit() {
		throw new Error('not used');
	},
	fetch: empty,
	cancel: empty,
	lend: () => '',
	reclaim: () => undefined,
	readConfiguration: () => undefined,
	query: async () => '',
};

const pause = async (lengthMs: number) => new Promise(resolve => {
	setTimeout(resolve, lengthMs);
});

/** Sends empty heartbeats at the rate of a running host and returns the average cost of one. */
export const measureCall = async (rounds: number): Promise<CallCost> => {
	const message = HeartbeatMessage.decode(new Uint8Array());
	const service = await startPeerService({listen: '127.0.0.1:0', handlers, membership: {receive: () => message}});
	const relay = await startRelay(service.address);

	const callAll = async (address: string, count: number) => {
		const clients = Array.from({length: peers}, () => createPeerClient(address));
		const round = async () => Promise.all(clients.map(async client => client.heartbeat(message, Date.now() + callTimeoutMs)));
		for (let index = 0; index < warmUpRounds; index += 1) {
			await round();
		}

		const bytesBefore = relay.bytes();
		const startedAt = process.cpuUsage();
		for (let index = 0; index < count; index += 1) {
			await round();
			await pause(roundMs);
		}

		const {user, system} = process.cpuUsage(startedAt);
		for (const client of clients) {
			client.close();
		}

		return {cpuMs: (user + system) / microsecondsPerMillisecond / count / peers, bytes: (relay.bytes() - bytesBefore) / count / peers};
	};

	const {cpuMs} = await callAll(service.address, rounds);
	const {bytes} = await callAll(relay.address, rounds);
	await relay.close();
	await service.close(Date.now());
	return {cpuMs, bytes};
};
