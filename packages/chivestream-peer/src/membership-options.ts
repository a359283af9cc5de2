/** Options and public interface of a membership. */
import {type Clock, type Host, type Random} from 'chivestream-core';
import {type PeerResult} from './client.js';
import {type HeartbeatMessage} from './generated/peer.js';
import {type HostPhase} from './handlers.js';
import {type Member} from './member.js';
import {type Timing} from './timing.js';

/** Dependencies and callbacks of a membership. */
export type MembershipOptions = {
	self: Host;
	clock: Clock;
	random: Random;
	/** Peer addresses (`ip:port`) that are contacted to discover other hosts. */
	seeds: readonly string[];
	/** Returns further peer addresses from the platform's list, which may be out of date. */
	listHosts?: () => Promise<readonly string[]>;
	/** Sends a heartbeat to a peer address. The deadline is an absolute time on the given clock. */
	send: (address: string, request: HeartbeatMessage, deadline: number) => PeerResult<HeartbeatMessage>;
	/** Returns the configuration in force on this host; undefined while it has none. */
	configuration?: () => {version: number; offset: number} | undefined;
	/** Returns JSON bytes to include in the next heartbeat to a member. */
	payload?: (receiver: Member) => Uint8Array | undefined;
	/** Called with the payload of each heartbeat that a member sent to this incarnation. */
	onPayload?: (sender: Member, payload: Uint8Array) => void;
	/** Called for each received heartbeat that reports a newer configuration of a member, so possibly many times. */
	onNewerConfiguration?: (member: Member) => void;
	/** Called after a change of any member, and when this host starts or stops being allowed to hold slots. */
	onChange?: (members: Member[]) => void;
	/** Called when a newer incarnation of this host is reported. This incarnation must then stop. */
	onSuperseded?: (incarnation: string) => void;
	timing?: Partial<Timing>;
};

/** The membership of one entry host. */
export type Membership = {
	/** Processes a heartbeat from another host and returns the reply. */
	receive: (request: HeartbeatMessage) => HeartbeatMessage;
	/** All known hosts except this one. */
	members: () => Member[];
	/** Hosts among which the slots of this zone are allocated, ordered by id. Includes this host while it may hold slots. */
	zoneMembers: () => Host[];
	findMember: (hostId: string) => Member | undefined;
	/** Whether an incarnation is known to have ended, because a newer one was reported or the host left in this one. */
	hasEnded: (hostId: string, incarnation: string) => boolean;
	/** Whether this host may currently hold slots of its zone. */
	mayHoldSlots: () => boolean;
	isRepresentative: () => boolean;
	phase: () => HostPhase;
	/** Moves this host to a later phase and sends it to the other hosts at once. Resolves when every exchange has ended. */
	announce: (phase: HostPhase) => Promise<void>;
	/**
	Sends heartbeats at once to the hosts that have reported an older configuration or none. Unless this host is a representative,
	it does so only if no other host has reported this configuration yet.
	*/
	announceConfiguration: () => void;
	/** Stops the membership. Resolves when all its background loops have ended. */
	close: () => Promise<void>;
};
