/** Heartbeats between the entry hosts of a zone during a replay, as many as `chivestream-peer` sends. */
import {type Clock} from 'chivestream-core';
import {
	type LenderSelector, type Scheduler, type SlotDemand, type TargetObservation,
} from 'chivestream-placement';
import {type MessageCounts} from './messages.js';

/** What a heartbeat or its reply tells. */
export type HeartbeatContent = {
	observations: TargetObservation[];
	idle: SlotDemand[];
};

/** Heartbeats of one host. */
export type HeartbeatModel = {
	/** Calls the hosts of the zone that were not in touch just before. */
	send: () => void;
	/** Takes a heartbeat; the reply carries the same the other way. */
	receive: (senderId: string, content: HeartbeatContent) => HeartbeatContent;
};

/** What the heartbeats of one host work with. */
export type HeartbeatModelOptions = {
	hostId: string;
	clock: Clock;
	scheduler: Scheduler;
	lenders: LenderSelector;
	messages: MessageCounts;
	/** Time that a message takes within the zone, in milliseconds. */
	oneWayMs: number;
	/** Other live hosts of the zone. */
	peerIds: () => string[];
	/** A host as it can be reached now. */
	reach: (peerId: string) => {receiveHeartbeat: HeartbeatModel['receive']} | undefined;
	isAlive: () => boolean;
};

// A host that was in touch within half an interval is not called again.
const inTouchMs = 250;

/** Heartbeats that have not begun. */
export const createHeartbeatModel = (options: HeartbeatModelOptions): HeartbeatModel => {
	const {
		hostId, clock, scheduler, lenders, messages,
	} = options;
	const heardAt = new Map<string, number>();
	const outboxes = new Map<string, TargetObservation[]>();

	const later = (run: () => void) => {
		clock.at(clock.now() + options.oneWayMs, run);
	};

	const outboxOf = (peerId: string): TargetObservation[] => {
		const outbox = outboxes.get(peerId) ?? [];
		outboxes.set(peerId, outbox);
		return outbox;
	};

	const write = (receiverId: string): HeartbeatContent => {
		const changed = scheduler.observations();
		for (const peerId of options.peerIds()) {
			outboxOf(peerId).push(...changed);
		}

		const observations = outboxOf(receiverId);
		outboxes.delete(receiverId);
		return {observations, idle: scheduler.idleSlots()};
	};

	const take = (senderId: string, {observations, idle}: HeartbeatContent) => {
		heardAt.set(senderId, clock.now());
		scheduler.applyObservations(observations);
		for (const {upstream, count} of idle) {
			lenders.recordIdleSlots({id: senderId, isInZone: true}, upstream, count);
		}
	};

	const exchange = (peerId: string) => {
		messages.heartbeats++;
		const content = write(peerId);
		later(() => {
			const peer = options.reach(peerId);
			if (!peer) {
				return;
			}

			messages.heartbeats++;
			const reply = peer.receiveHeartbeat(hostId, content);
			later(() => {
				if (options.isAlive()) {
					take(peerId, reply);
				}
			});
		});
	};

	const wasInTouch = (peerId: string) => clock.now() - (heardAt.get(peerId) ?? Number.NEGATIVE_INFINITY) < inTouchMs;

	return {
		send() {
			for (const peerId of options.peerIds()) {
				if (!wasInTouch(peerId)) {
					exchange(peerId);
				}
			}
		},
		receive(senderId, content) {
			take(senderId, content);
			return write(senderId);
		},
	};
};
