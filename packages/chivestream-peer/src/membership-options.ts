/** What a membership is started with, and what it offers. */
import {type Clock, type Host, type Random} from 'chivestream-core';
import {type PeerResult} from './client.js';
import {type HeartbeatMessage} from './generated/peer.js';
import {type HostPhase} from './handlers.js';
import {type Member} from './member.js';
import {type Timing} from './timing.js';

/** What membership needs and whom it tells. */
export type MembershipOptions = {
	self: Host;
	clock: Clock;
	random: Random;
	/** Peer addresses (`ip:port`) to ask first. */
	seeds: readonly string[];
	/** Further peer addresses from the platform's list, which lags. */
	listHosts?: () => Promise<readonly string[]>;
	send: (address: string, request: HeartbeatMessage, deadline: number) => PeerResult<HeartbeatMessage>;
	/** The configuration that this host has in force; undefined while it has none. */
	configuration?: () => {version: number; offset: number} | undefined;
	/** JSON bytes to add to the next heartbeat to a member. */
	payload?: (receiver: Member) => Uint8Array | undefined;
	onPayload?: (sender: Member, payload: Uint8Array) => void;
	/** Called, perhaps again and again, while a member is seen to have a newer configuration. */
	onNewerConfiguration?: (member: Member) => void;
	/** Called after a change of any member, and of this host's own share. */
	onChange?: (members: Member[]) => void;
	/** Called when a newer incarnation of this host is seen: this one has to stop. */
	onSuperseded?: (incarnation: string) => void;
	timing?: Partial<Timing>;
};

/** The membership of one entry host. */
export type Membership = {
	/** Answers another host's heartbeat. */
	receive: (request: HeartbeatMessage) => HeartbeatMessage;
	/** All known hosts but this one. */
	members: () => Member[];
	/** Hosts of this zone that share its slots, in order of id; this host too while it may. */
	zoneMembers: () => Host[];
	findMember: (hostId: string) => Member | undefined;
	/** Whether an incarnation is known for certain to be over. */
	hasEnded: (hostId: string, incarnation: string) => boolean;
	/** Whether this host may hold slots of its zone. */
	mayHoldSlots: () => boolean;
	isRepresentative: () => boolean;
	phase: () => HostPhase;
	/** Moves this host to a later phase and tells the others at once; resolves when they were told. */
	announce: (phase: HostPhase) => Promise<void>;
	/** Tells the others at once that this host's configuration has grown. */
	announceConfiguration: () => void;
	/** Resolves when every task has ended. */
	close: () => Promise<void>;
};
