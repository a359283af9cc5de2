/** Measures the cost of many memberships in one process, connected by in-memory links with real serialization. */
import process from 'node:process';
import {createFakeClock} from '../__fixtures__/fake-clock.js';
import {createNetwork, type Network} from '../__fixtures__/network.js';

const warmUpMs = 6000;
const measuredMs = 6000;
const millisecondsPerSecond = 1000;
const microsecondsPerMillisecond = 1000;

/** Numbers of zones and of hosts in each. */
export type Layout = {zones: number; hostsPerZone: number};

/**
Cost per host after startup, averaged over all hosts. The `largest` fields are the maximum over all hosts. Bytes are those of
the encoded messages.
*/
export type Cost = {
	hosts: number;
	zones: number;
	/** Requests and replies that a host sends. */
	messagesPerSecond: number;
	largestMessagesPerSecond: number;
	/** Bytes of the messages that a host sends. */
	messageBytesPerSecond: number;
	largestMessageBytesPerSecond: number;
	/** CPU time of a host without gRPC, in milliseconds per second. */
	cpuMsPerSecond: number;
	heapMb: number;
	/** Number of pairs in which a host does not consider the other one alive; 0 is correct. */
	wrongViews: number;
};

const heapBytes = (): number => {
	globalThis.gc?.();
	return process.memoryUsage().heapUsed;
};

const countWrongViews = (network: Network): number => {
	let count = 0;
	for (const {membership} of network.nodes.values()) {
		count += network.nodes.size - 1 - membership.members().filter(({state}) => state === 'alive').length;
	}

	return count;
};

const startAll = (network: Network, {zones, hostsPerZone}: Layout) => {
	for (let index = 0; index < hostsPerZone; index += 1) {
		for (let zone = 0; zone < zones; zone += 1) {
			network.start(`z${zone}h${index}`, `z${zone}`);
		}
	}
};

/** Runs a layout on a fake clock and measures it after a warm-up. */
export const measureLayout = async (layout: Layout, seed: number): Promise<Cost> => {
	const heapBefore = heapBytes();
	const clock = createFakeClock();
	const network = createNetwork({clock, seed});
	startAll(network, layout);
	await clock.advance(warmUpMs);
	network.traffic.clear();
	const startedAt = process.cpuUsage();
	await clock.advance(measuredMs);
	const {user, system} = process.cpuUsage(startedAt);
	const hosts = network.nodes.size;
	const seconds = measuredMs / millisecondsPerSecond;
	const traffic = [...network.traffic.values()];
	const messages = traffic.map(entry => entry.messages / seconds);
	const bytes = traffic.map(entry => entry.bytes / seconds);
	const sum = (values: number[]) => values.reduce((total, value) => total + value, 0);
	const cost: Cost = {
		hosts,
		zones: layout.zones,
		messagesPerSecond: sum(messages) / hosts,
		largestMessagesPerSecond: Math.max(...messages),
		messageBytesPerSecond: sum(bytes) / hosts,
		largestMessageBytesPerSecond: Math.max(...bytes),
		cpuMsPerSecond: (user + system) / microsecondsPerMillisecond / seconds / hosts,
		heapMb: (heapBytes() - heapBefore) / hosts / (2 ** 20),
		wrongViews: countWrongViews(network),
	};
	const closing = network.close();
	await clock.advance(warmUpMs);
	await closing;
	return cost;
};
