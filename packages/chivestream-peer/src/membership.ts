/**
Membership of entry hosts: heartbeats between all hosts of a zone, digests between the representatives of zones, and from
them on to the hosts of their own zone.
*/
/* eslint-disable no-await-in-loop -- a task takes its steps one after another */
import {
	Failure, failureCode, waitUntil, type Host,
} from 'chivestream-core';
import {
	type ConfigurationMark, type Digest, type HeartbeatMessage, type HostRecord,
} from './generated/peer.js';
import {hostPhase, type HostPhase} from './handlers.js';
import {createKnowledge} from './knowledge.js';
import {createLifeCycle} from './life-cycle.js';
import {
	isLive, memberState, toRecord, type Member,
} from './member.js';
import {createOwnDigest} from './own-digest.js';
import {createPeerTasks} from './peer-tasks.js';
import {type Membership, type MembershipOptions} from './membership-options.js';
import {listTargets, representativesOf} from './representatives.js';
import {runSeedTask} from './seed-task.js';
import {createSharing} from './sharing.js';
import {defaultTiming, stretchTiming} from './timing.js';
import {computeMembers, listHeard} from './view.js';

// A draining host keeps its slots until it has left, or the jobs that it still holds would be cut.
const sharingPhases = new Set<HostPhase>([hostPhase.serving, hostPhase.draining]);

/** Starts the membership of a host. */
export const createMembership = (options: MembershipOptions): Membership => {
	const {
		self, clock, random, send,
	} = options;
	const baseTiming = {...defaultTiming, ...options.timing};
	const lifeCycle = createLifeCycle();
	const sharing = createSharing(clock.now());
	const publishDigest = createOwnDigest();
	const stop = new AbortController();
	let timing = baseTiming;
	let members: Member[] = [];
	let membersById = new Map<string, Member>();
	let livePeerIds: string[] = [];
	let relayedDigests: Digest[] = [];
	let wasSharing = false;
	let refreshedAt = clock.now();
	let isSuperseded = false;

	const ownMark = (): ConfigurationMark | undefined => {
		const configuration = options.configuration?.();
		return configuration && {version: configuration.version, nextOffset: configuration.offset + 1};
	};

	const ownNextOffset = () => ownMark()?.nextOffset ?? 0;
	const selfRecord = (): HostRecord => toRecord(self, lifeCycle.phase(), lifeCycle.revision());
	let ownDigest = publishDigest(selfRecord(), [], ownMark());

	const findMember = (hostId: string) => membersById.get(hostId);
	const isInZone = ({host}: Member) => host.zone === self.zone;
	const intervalMs = (member: Member) => isInZone(member) ? timing.heartbeatIntervalMs : timing.zoneIntervalMs;
	const mayHoldSlots = () => !isSuperseded && sharing.check(clock.now(), livePeerIds, timing);
	const isSharing = () => mayHoldSlots() && sharingPhases.has(lifeCycle.phase());

	const knowledge = createKnowledge({
		self,
		clock,
		onNews() {
			refresh();
		},
		onConfiguration(hostId, mark) {
			const member = findMember(hostId);
			if (member && mark.nextOffset > ownNextOffset()) {
				options.onNewerConfiguration?.({...member, configuration: mark});
			}
		},
		onSuperseded(incarnation) {
			isSuperseded = true;
			options.onSuperseded?.(incarnation);
		},
		onAcknowledged({id, zone}, sentAt) {
			if (zone === self.zone) {
				sharing.acknowledge(id, sentAt);
			}
		},
		isLive(hostId) {
			const member = findMember(hostId);
			return member !== undefined && isLive(member);
		},
	});

	const selfMember = (): Member => ({
		host: self,
		phase: lifeCycle.phase(),
		state: lifeCycle.phase() === hostPhase.left ? memberState.left : memberState.alive,
		configuration: ownMark(),
	});

	const isRepresentative = () =>
		representativesOf(self.zone, [...members, selfMember()]).some(({host}) => host.id === self.id);

	const excuseOwnSilence = (now: number) => {
		const gapMs = now - refreshedAt - timing.tickMs;
		refreshedAt = now;
		if (gapMs > timing.tickMs) {
			knowledge.excuse(gapMs);
		}
	};

	const forgetSilent = (now: number) => {
		for (const {host, evidenceAt} of knowledge.hosts.all()) {
			if (now - evidenceAt >= timing.forgetMs) {
				knowledge.forget(host.id);
			}
		}
	};

	const reportChange = (before: readonly Member[]) => {
		const isSharingNow = isSharing();
		const isChanged = before.length !== members.length
			|| members.some((member, index) => member !== before[index])
			|| isSharingNow !== wasSharing;
		wasSharing = isSharingNow;
		if (isChanged) {
			options.onChange?.(members);
		}
	};

	const refresh = () => {
		const now = clock.now();
		excuseOwnSilence(now);
		const evidence = {
			hosts: knowledge.hosts, digests: knowledge.digests, zone: self.zone, timing,
		};
		const before = members;
		members = computeMembers(evidence, now, membersById);
		membersById = new Map(members.map(member => [member.host.id, member]));
		livePeerIds = members.filter(member => isInZone(member) && isLive(member)).map(({host}) => host.id);
		relayedDigests = knowledge.digests.all()
			.filter(({isDirect, digest}) => isDirect && digest.zone !== self.zone)
			.map(({digest}) => digest);
		timing = stretchTiming(baseTiming, members.filter(member => isInZone(member)).length + 1);
		forgetSilent(now);
		ownDigest = publishDigest(selfRecord(), listHeard(evidence, now).map(({record}) => record), ownMark());
		tasks.reconcile(stop.signal.aborted ? [] : listTargets(selfMember(), members));
		reportChange(before);
	};

	/** The digests for a receiver: this host's own and, within its zone, those that other zones sent to it. */
	const listDigests = (receiver: Host) => receiver.zone === self.zone ? [ownDigest, ...relayedDigests] : [ownDigest];

	const write = (receiver: Member, rest: Partial<HeartbeatMessage> = {}): HeartbeatMessage => {
		const link = knowledge.linkTo(receiver.host);
		const digests = link.selectDigests(listDigests(receiver.host));
		return {
			...writeTo(receiver.host.incarnation, rest),
			...link.noteSent(digests, clock.now()),
			digests,
			payload: options.payload?.(receiver) ?? new Uint8Array(),
		};
	};

	const writeTo = (receiverIncarnation: string, rest: Partial<HeartbeatMessage> = {}): HeartbeatMessage => ({
		senderId: self.id,
		senderIncarnation: self.incarnation,
		receiverIncarnation,
		sequence: 0,
		acknowledgedSequence: 0,
		configuration: ownMark(),
		digests: [ownDigest],
		missingPublisherIds: [],
		newerIncarnation: '',
		hosts: [],
		payload: new Uint8Array(),
		...rest,
	});

	const accept = (message: HeartbeatMessage) => {
		const acceptance = knowledge.accept(message);
		const member = findMember(message.senderId);
		const isMeant = message.receiverIncarnation === self.incarnation;
		if (member?.host.incarnation === message.senderIncarnation && isMeant && message.payload.length > 0) {
			options.onPayload?.(member, message.payload);
		}

		return acceptance;
	};

	/** One heartbeat and its reply; another at once if the reply left out hosts that are not known here. */
	const exchange = async (member: Member, missingPublisherIds: string[] = []): Promise<void> => {
		const request = write(member, {missingPublisherIds});
		const result = await send(member.host.peerAddress, request, clock.now() + intervalMs(member));
		if (result.isErr()) {
			return;
		}

		const acceptance = accept(result.value);
		if (acceptance.missingPublisherIds.length > 0 && missingPublisherIds.length === 0) {
			await exchange(member, acceptance.missingPublisherIds);
		}
	};

	const isInTouch = (member: Member): boolean => {
		const heardAt = knowledge.hosts.get(member.host.id)?.heardAt ?? 0;
		return clock.now() - heardAt < intervalMs(member) / 2 && isSharing();
	};

	const tasks = createPeerTasks({
		clock, random, intervalMs, isInTouch, exchange: async member => exchange(member),
	});

	const ask = async (address: string) => {
		const result = await send(address, writeTo(''), clock.now() + timing.heartbeatIntervalMs);
		if (result.isOk()) {
			accept(result.value);
		}
	};

	const runTicks = async () => {
		while (!stop.signal.aborted) {
			refresh();
			await waitUntil(clock, clock.now() + timing.tickMs, stop.signal);
		}
	};

	const liveMembers = () => members.filter(member => isLive(member));

	const background = [
		runTicks(),
		runSeedTask({
			clock,
			random,
			seeds: options.seeds,
			listHosts: options.listHosts,
			knownAddresses: () => new Set([self, ...liveMembers().map(({host}) => host)].map(host => host.peerAddress)),
			hasPeers: () => livePeerIds.length > 0,
			ask,
			eagerIntervalMs: timing.heartbeatIntervalMs,
			calmIntervalMs: timing.seedIntervalMs,
		}, stop.signal),
	];

	const listLiveRecords = () => liveMembers()
		.map(({host}) => knowledge.hosts.get(host.id)?.record)
		.filter(record => record !== undefined);

	const tell = async (targets: readonly Member[]) => {
		await Promise.all(targets.map(async member => exchange(member)));
	};

	const nextOffsetOf = (hostId: string) => knowledge.hosts.get(hostId)?.configuration?.nextOffset ?? 0;

	return {
		receive(message) {
			if (message.senderId === '') {
				throw new Failure(failureCode.protocolError, 'the heartbeat names no sender', {step: 'heartbeat', peer: ''});
			}

			const rest = {
				...accept(message),
				hosts: message.receiverIncarnation === self.incarnation ? [] : listLiveRecords(),
			};
			const sender = findMember(message.senderId);
			const isKnown = sender?.host.incarnation === message.senderIncarnation;
			return isKnown ? write(sender, rest) : writeTo(message.senderIncarnation, rest);
		},
		members: () => members,
		zoneMembers() {
			const sharers = members.filter(member => isLive(member) && sharingPhases.has(member.phase));
			const hosts = sharers.filter(member => isInZone(member)).map(({host}) => host);
			return [...hosts, ...(isSharing() ? [self] : [])].toSorted((left, right) => left.id < right.id ? -1 : 1);
		},
		findMember,
		isClosed: knowledge.hosts.isClosed,
		isSharing,
		isRepresentative,
		phase: lifeCycle.phase,
		async announce(phase) {
			if (lifeCycle.advance(phase)) {
				refresh();
				await tell(tasks.targets());
			}
		},
		pushConfiguration() {
			const nextOffset = ownNextOffset();
			const isFirst = members.every(({host}) => nextOffsetOf(host.id) < nextOffset);
			if (isFirst || isRepresentative()) {
				void tell(tasks.targets().filter(({host}) => nextOffsetOf(host.id) < nextOffset));
			}
		},
		async close() {
			stop.abort();
			await Promise.all([...background, tasks.close()]);
		},
	};
};
