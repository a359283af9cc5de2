/** The links of hosts on a simulated site: a queue for each direction, which fills under load and drains in order. */
import {type Random} from 'chivestream-core';
import {type SimulatedProcess, type Simulation} from './simulation.js';

/** Directions of a link, as seen from its host. */
export const linkDirection = {
	inbound: 'inbound',
	outbound: 'outbound',
} as const;

type Direction = (typeof linkDirection)[keyof typeof linkDirection];

/** Sizes of messages whose content is not simulated, in bytes. */
export const messageBytes = {
	/** The opening or the end of a connection. */
	control: 60,
	minionRequest: 500,
	minionAnswer: 400,
	callerRequest: 1500,
	callerAnswer: 500,
	storeRequest: 300,
	storeAnswer: 2000,
	/** Headers of a message on a stream. */
	streamHeader: 60,
} as const;

/** One direction of a link that is or was full. */
type Queue = {
	/** Until when the link is slow. */
	until: number;
	bytesPerMs: number;
	/** When all that is queued now will have passed. */
	freeAt: number;
};

/** A message on its way, and the time that it takes beside the queues, in milliseconds. */
export type Transmission = {
	from: string;
	to: string;
	bytes: number;
	delayMs: number;
	/** Shared by messages that arrive in their order. */
	order?: {arrivedAt: number};
};

/** How often other traffic joins the queue of a full link, in milliseconds. */
const burstIntervalMs = 200;

/** Other traffic as a share of a full link's capacity, at most. */
const mostOtherTraffic = 1.8;

/** Longest wait in a queue that other traffic joins, in milliseconds. */
const longestWaitMs = 1200;

const keyOf = (host: string, direction: Direction): string => `${direction} ${host}`;

/** Passes the messages of a site on through the links of its hosts. */
export class SimulatedLinks {
	private readonly simulation: Simulation;
	private readonly random: Random;
	private readonly queues = new Map<string, Queue>();
	/** Hosts with a queue. */
	private readonly hosts = new Set<string>();

	constructor(simulation: Simulation, random: Random) {
		this.simulation = simulation;
		this.random = random;
	}

	/** Makes one direction of a host's link slow for a time, and fills it with other traffic, at first at once. */
	fill(host: string, direction: Direction, {bytesPerMs, lengthMs}: {bytesPerMs: number; lengthMs: number}): void {
		const key = keyOf(host, direction);
		const {time} = this.simulation;
		const queue: Queue = {until: time + lengthMs, bytesPerMs, freeAt: Math.max(time + (this.random() * longestWaitMs), this.queues.get(key)?.freeAt ?? 0)};
		this.queues.set(key, queue);
		this.hosts.add(host);
		const addBurst = () => {
			if (this.queues.get(key) !== queue || this.simulation.time >= queue.until) {
				return;
			}

			if (queue.freeAt < this.simulation.time + longestWaitMs) {
				queue.freeAt = Math.max(queue.freeAt, this.simulation.time) + (this.random() * mostOtherTraffic * burstIntervalMs);
			}

			this.simulation.schedule(burstIntervalMs, addBurst);
		};

		addBurst();
	}

	/** Whether one of these ends has a queue, now or before. */
	areQueued(...ends: string[]): boolean {
		return ends.some(name => this.hosts.has(name));
	}

	/** Runs a function as `process`, by default outside of all hosts, when a message arrives. */
	transmit({from, to, bytes, delayMs, order}: Transmission, run: () => void, process?: SimulatedProcess): void {
		const {simulation} = this;
		const isQueued = this.areQueued(from, to);
		const leavesMs = isQueued ? this.queue(from, linkDirection.outbound, bytes) : 0;
		const arrivesAt = Math.max(order?.arrivedAt ?? 0, simulation.time + leavesMs + delayMs);
		if (order !== undefined) {
			order.arrivedAt = arrivesAt;
		}

		if (!isQueued) {
			simulation.schedule(order === undefined ? delayMs : arrivesAt - simulation.time, run, process);
			return;
		}

		simulation.schedule(arrivesAt - simulation.time, () => {
			simulation.schedule(this.queue(to, linkDirection.inbound, bytes), run, process);
		});
	}

	/** Tells one end that its connection has ended: directly if the end came about `at` it. */
	notify({at, ...control}: Omit<Transmission, 'bytes' | 'order'> & {at: string | undefined}, run: () => void, process: SimulatedProcess): void {
		if (at === control.to) {
			this.simulation.schedule(control.delayMs, run, process);
		} else {
			this.transmit({...control, bytes: messageBytes.control}, run, process);
		}
	}

	/** Opens a connection of a process; the other end says whether it accepts it. */
	openConnection({from, to, delayMs}: {from: SimulatedProcess; to: string; delayMs: () => number}, accept: () => boolean, opened: () => void): void {
		const {control: bytes} = messageBytes;
		this.transmit({
			from: from.name, to, bytes, delayMs: delayMs(),
		}, () => {
			if (accept()) {
				this.transmit({
					from: to, to: from.name, bytes, delayMs: delayMs(),
				}, opened, from);
			}
		});
	}

	/** Waits until a message of a process, or to it, has passed its link. */
	async pass(process: SimulatedProcess, direction: Direction, bytes: number): Promise<void> {
		if (this.areQueued(process.name)) {
			await this.simulation.sleep(this.queue(process.name, direction, bytes));
		}
	}

	/** Queues a message in one direction; returns after which time it has passed, in milliseconds. */
	private queue(host: string, direction: Direction, bytes: number): number {
		const queue = this.queues.get(keyOf(host, direction));
		if (queue === undefined) {
			return 0;
		}

		const {time} = this.simulation;
		queue.freeAt = Math.max(queue.freeAt, time) + (time < queue.until ? bytes / queue.bytesPerMs : 0);
		return queue.freeAt - time;
	}
}
