/**
Membership of entry hosts: heartbeats between all hosts of a zone, digests between the representatives of zones, and from
them on to the hosts of their own zone.
*/
/* eslint-disable no-await-in-loop -- a task takes its steps one after another */
import {
	Failure, failureCode, waitUntil, type Clock, type Host, type Random,
} from 'chivestream-core';
import {type PeerResult} from './client.js';
import {createDigestTable, formatRun} from './digest-table.js';
import {
	type ConfigurationMark, type Digest, type HeartbeatReply, type HeartbeatRequest, type HostRecord,
} from './generated/peer.js';
import {hostPhase, type HostPhase} from './handlers.js';
import {createHeartbeatWriter} from './heartbeat-writer.js';
import {createHostTable} from './host-table.js';
import {createLifeCycle} from './life-cycle.js';
import {
	isLive, memberState, toRecord, type Member,
} from './member.js';
import {createPeerTasks, type Peer} from './peer-tasks.js';
import {representativesOf} from './representatives.js';
import {runSeedTask} from './seed-task.js';
import {createSharing} from './sharing.js';
import {defaultTiming, type Timing} from './timing.js';
import {computeMembers, listHeard, type Evidence} from './view.js';

/** What membership needs and whom it tells. */
export type MembershipOptions = {
	self: Host;
	clock: Clock;
	random: Random;
	/** Peer addresses (`ip:port`) to ask first. */
	seeds: readonly string[];
	/** Further peer addresses from the platform's list, which lags. */
	listHosts?: () => Promise<readonly string[]>;
	send: (address: string, request: HeartbeatRequest, deadline: number) => PeerResult<HeartbeatReply>;
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
	receive: (request: HeartbeatRequest) => HeartbeatReply;
	/** All known hosts but this one. */
	members: () => Member[];
	/** Hosts of this zone that share its slots, in order of id; this host too while it may. */
	zoneMembers: () => Host[];
	findMember: (hostId: string) => Member | undefined;
	/** Whether an incarnation is known for certain to be over. */
	isClosed: (hostId: string, incarnation: string) => boolean;
	/** Whether this host may hold slots of its zone. */
	isSharing: () => boolean;
	isRepresentative: () => boolean;
	phase: () => HostPhase;
	/** Moves this host to a later phase and tells the others at once; resolves when they were told. */
	announce: (phase: HostPhase) => Promise<void>;
	/** Tells the others at once that this host's configuration has grown. */
	pushConfiguration: () => void;
	/** Resolves when every task has ended. */
	close: () => Promise<void>;
};

// A draining host keeps its slots until it has left, or the jobs that it still holds would be cut.
const sharingPhases = new Set<HostPhase>([hostPhase.serving, hostPhase.draining]);

/** Starts the membership of a host. */
export const createMembership = (options: MembershipOptions): Membership => {
	const {
		self, clock, random, send,
	} = options;
	const timing = {...defaultTiming, ...options.timing};
	const hosts = createHostTable();
	const digests = createDigestTable();
	const evidence: Evidence = {
		hosts, digests, zone: self.zone, timing,
	};
	const lifeCycle = createLifeCycle();
	const sharing = createSharing(timing, clock.now());
	const stop = new AbortController();
	let members: Member[] = [];
	let signature = '';
	let refreshedAt = clock.now();

	const selfRecord = (): HostRecord => toRecord(self, lifeCycle.phase(), lifeCycle.revision());

	const ownMark = (): ConfigurationMark | undefined => {
		const configuration = options.configuration?.();
		return configuration && {version: configuration.version, nextOffset: configuration.offset + 1};
	};

	const ownNextOffset = () => ownMark()?.nextOffset ?? 0;

	const isInZone = ({host}: Member) => host.zone === self.zone;
	const livePeerIds = () => members.filter(member => isInZone(member) && isLive(member)).map(({host}) => host.id);
	const isSharing = () => sharing.check(clock.now(), livePeerIds()) && sharingPhases.has(lifeCycle.phase());

	const selfMember = (): Member => ({
		host: self,
		phase: lifeCycle.phase(),
		state: lifeCycle.phase() === hostPhase.left ? memberState.left : memberState.alive,
		evidenceAt: clock.now(),
		configuration: ownMark(),
	});

	const isRepresentative = () =>
		representativesOf(self.zone, [...members, selfMember()]).some(({host}) => host.id === self.id);

	const writer = createHeartbeatWriter({
		self: selfRecord,
		configuration: ownMark,
		heard: () => listHeard(evidence, clock.now()),
		digests,
		isRepresentative,
	});

	const listTargets = (): Member[] => {
		const present = members.filter(({state}) => state !== memberState.left);
		const inZone = present.filter(member => isInZone(member));
		if (!isRepresentative()) {
			return inZone;
		}

		const otherZones = new Set(present.filter(member => !isInZone(member)).map(({host}) => host.zone));
		return [...inZone, ...[...otherZones].flatMap(zone => representativesOf(zone, present))];
	};

	const forgetSilent = (now: number) => {
		for (const {host, evidenceAt} of members) {
			if (now - evidenceAt >= timing.forgetMs) {
				hosts.forget(host.id);
				digests.drop(host.id);
			}
		}
	};

	const excuseOwnSilence = (now: number) => {
		const gapMs = now - refreshedAt - timing.tickMs;
		refreshedAt = now;
		if (gapMs > timing.tickMs) {
			hosts.excuse(gapMs);
			digests.excuse(gapMs);
		}
	};

	const refresh = () => {
		const now = clock.now();
		excuseOwnSilence(now);
		members = computeMembers(evidence, now);
		forgetSilent(now);
		tasks.reconcile(stop.signal.aborted ? [] : listTargets());
		const states = members.map(({host, phase, state}) => `${formatRun(host)}~${phase}~${state}`);
		const current = [...states, String(isSharing())].join(' ');
		if (current !== signature) {
			signature = current;
			options.onChange?.(members);
		}
	};

	const findMember = (hostId: string) => members.find(({host}) => host.id === hostId);

	const checkSuperseded = ({id, incarnation}: Pick<HostRecord, 'id' | 'incarnation'>) => {
		if (id === self.id && incarnation > self.incarnation) {
			options.onSuperseded?.(incarnation);
		}
	};

	/** Takes in a record of another host; true where it brought something new. */
	const observe = (record: HostRecord): boolean => {
		if (record.id === self.id) {
			checkSuperseded(record);
			return false;
		}

		return hosts.observe(record, clock.now()).isNews;
	};

	const noteConfiguration = (hostId: string, mark: ConfigurationMark | undefined) => {
		const known = hosts.get(hostId);
		if (!known || !mark) {
			return;
		}

		known.configuration = mark;
		if (mark.nextOffset > ownNextOffset()) {
			const member = findMember(hostId);
			if (member) {
				options.onNewerConfiguration?.({...member, configuration: mark});
			}
		}
	};

	/** Notes that a host spoke to this one directly. */
	const hear = (record: HostRecord, mark: ConfigurationMark | undefined) => {
		const isNews = observe(record);
		const known = hosts.get(record.id);
		if (known?.host.incarnation !== record.incarnation) {
			return;
		}

		known.heardAt = clock.now();
		const member = findMember(record.id);
		if (isNews || !member || !isLive(member)) {
			refresh();
		}

		noteConfiguration(record.id, mark);
	};

	/** Takes in digests; gives the publishers whose hosts are needed and were left out. */
	const mergeDigests = (received: readonly Digest[]): string[] => {
		const now = clock.now();
		const missing: string[] = [];
		let isNews = false;
		for (const digest of received.filter(({publisherId}) => publisherId !== self.id)) {
			isNews = digest.hosts.map(record => observe(record)).some(Boolean) || isNews;
			if (!digests.merge(digest, now)) {
				missing.push(digest.publisherId);
			}
		}

		if (isNews) {
			refresh();
		}

		for (const {publisherId, configuration} of received) {
			noteConfiguration(publisherId, configuration);
		}

		return missing;
	};

	const exchange = async (peer: Peer) => {
		const {member, acknowledged} = peer;
		const payload = options.payload?.(member) ?? new Uint8Array();
		const request = writer.write({host: member.host, acknowledged, payload});
		const sentAt = clock.now();
		const result = await send(member.host.peerAddress, request, sentAt + intervalMs(member));
		if (result.isErr()) {
			return;
		}

		const reply = result.value;
		writer.acknowledge(acknowledged, request, reply.missingPublisherIds);
		if (isInZone(member)) {
			sharing.acknowledge(member.host.id, sentAt);
		}

		acceptReply(reply);
	};

	const acceptReply = (reply: HeartbeatReply) => {
		checkSuperseded({id: self.id, incarnation: reply.newerIncarnation});
		const isNews = reply.hosts.map(record => observe(record)).some(Boolean);
		if (reply.receiver && reply.receiver.id !== self.id) {
			hear(reply.receiver, reply.configuration);
		}

		if (isNews) {
			refresh();
		}
	};

	const intervalMs = (member: Member) => isInZone(member) ? timing.heartbeatIntervalMs : timing.zoneIntervalMs;

	const tasks = createPeerTasks({
		clock, random, intervalMs, exchange,
	});

	const ask = async (address: string) => {
		const host = {...self, incarnation: ''};
		const request = writer.write({host, acknowledged: new Map(), payload: new Uint8Array()});
		const result = await send(address, request, clock.now() + timing.heartbeatIntervalMs);
		if (result.isOk()) {
			acceptReply(result.value);
		}
	};

	const runTicks = async () => {
		while (!stop.signal.aborted) {
			refresh();
			await waitUntil(clock, clock.now() + timing.tickMs, stop.signal);
		}
	};

	const background = [
		runTicks(),
		runSeedTask({
			clock,
			random,
			seeds: options.seeds.filter(address => address !== self.peerAddress),
			listHosts: options.listHosts,
			knownAddresses: () => new Set([self, ...members.filter(member => isLive(member)).map(({host}) => host)].map(host => host.peerAddress)),
			hasPeers: () => livePeerIds().length > 0,
			ask,
			eagerIntervalMs: timing.heartbeatIntervalMs,
			calmIntervalMs: timing.seedIntervalMs,
		}, stop.signal),
	];

	const listLiveRecords = () => members
		.filter(member => isLive(member))
		.map(({host}) => hosts.get(host.id)?.record)
		.filter(record => record !== undefined);

	const deliverPayload = ({sender, receiverIncarnation, payload}: HeartbeatRequest) => {
		const member = sender && findMember(sender.id);
		if (member && payload.length > 0 && receiverIncarnation === self.incarnation) {
			options.onPayload?.(member, payload);
		}
	};

	const tell = async (peers: readonly Peer[]) => {
		await Promise.all(peers.map(async peer => exchange(peer)));
	};

	return {
		receive(request) {
			const {sender} = request;
			if (!sender) {
				throw new Failure(failureCode.protocolError, 'the heartbeat names no sender', {step: 'heartbeat', peer: ''});
			}

			const latest = sender.id === self.id ? self.incarnation : hosts.latestIncarnation(sender.id) ?? '';
			const isOutdated = latest > sender.incarnation;
			let missingPublisherIds: string[] = [];
			if (isOutdated) {
				checkSuperseded(sender);
			} else {
				hear(sender, request.configuration);
				missingPublisherIds = mergeDigests(request.digests);
				deliverPayload(request);
			}

			return {
				receiver: selfRecord(),
				configuration: ownMark(),
				newerIncarnation: isOutdated ? latest : '',
				hosts: request.receiverIncarnation === self.incarnation ? [] : listLiveRecords(),
				missingPublisherIds,
			};
		},
		members: () => members,
		zoneMembers() {
			const sharers = members.filter(member => isInZone(member) && isLive(member) && sharingPhases.has(member.phase));
			const all = [...sharers.map(({host}) => host), ...(isSharing() ? [self] : [])];
			return all.toSorted((left, right) => left.id < right.id ? -1 : 1);
		},
		findMember,
		isClosed: hosts.isClosed,
		isSharing,
		isRepresentative,
		phase: lifeCycle.phase,
		async announce(phase) {
			if (lifeCycle.advance(phase)) {
				refresh();
				await tell(tasks.peers());
			}
		},
		pushConfiguration() {
			const nextOffset = ownNextOffset();
			const isFirst = hosts.all().every(({configuration}) => (configuration?.nextOffset ?? 0) < nextOffset);
			if (isFirst || isRepresentative()) {
				void tell(tasks.peers().filter(({member}) => (hosts.get(member.host.id)?.configuration?.nextOffset ?? 0) < nextOffset));
			}
		},
		async close() {
			stop.abort();
			await Promise.all([...background, tasks.close()]);
		},
	};
};
