/**
Membership of entry hosts. All hosts of a zone exchange heartbeats with each other. Representatives of the zones exchange
digests and relay them to the hosts of their zone.
*/
/* eslint-disable no-await-in-loop -- iterations are sequential */
import {
	Failure, failureCode, waitUntil, type Host,
} from 'chivestream-core';
import {
	type ConfigurationMark, type Digest, type HeartbeatMessage, type HostRecord,
} from './generated/peer.js';
import {hostPhase, type HostPhase} from './handlers.js';
import {createReceivedState} from './received-state.js';
import {createLifeCycle} from './life-cycle.js';
import {
	isLive, memberState, toHostRecord, type Member,
} from './member.js';
import {createDigestBuilder} from './digest-builder.js';
import {createHeartbeatLoops} from './heartbeat-loops.js';
import {type Membership, type MembershipOptions} from './membership-options.js';
import {listHeartbeatTargets, representativesOf} from './representatives.js';
import {runSeedDiscovery} from './seed-discovery.js';
import {createSlotEligibility} from './slot-eligibility.js';
import {defaultTiming, scaleTiming} from './timing.js';
import {computeMembers, listDirectlyObserved} from './view.js';

// A draining host keeps its slots until it has left, because its remaining jobs would be cut otherwise.
const slotHoldingPhases = new Set<HostPhase>([hostPhase.serving, hostPhase.draining]);

/** Starts the membership of a host: its heartbeats, seed discovery and periodic refresh of the local view. */
export const createMembership = (options: MembershipOptions): Membership => {
	const {
		self, clock, random, send,
	} = options;
	const baseTiming = {...defaultTiming, ...options.timing};
	const lifeCycle = createLifeCycle();
	const slotEligibility = createSlotEligibility(clock.now());
	const buildDigest = createDigestBuilder();
	const stop = new AbortController();
	let timing = baseTiming;
	let members: Member[] = [];
	let membersById = new Map<string, Member>();
	let livePeerIds: string[] = [];
	let relayedDigests: Digest[] = [];
	let couldHoldSlots = false;
	let refreshedAt = clock.now();
	let isSuperseded = false;

	const localConfigurationMark = (): ConfigurationMark | undefined => {
		const configuration = options.configuration?.();
		return configuration && {version: configuration.version, nextOffset: configuration.offset + 1};
	};

	const localNextOffset = () => localConfigurationMark()?.nextOffset ?? 0;
	const localRecord = (): HostRecord => toHostRecord(self, lifeCycle.phase(), lifeCycle.revision());
	let localDigest = buildDigest(localRecord(), [], localConfigurationMark());

	const findMember = (hostId: string) => membersById.get(hostId);
	const isInLocalZone = ({host}: Member) => host.zone === self.zone;
	const intervalMs = (member: Member) => isInLocalZone(member) ? timing.heartbeatIntervalMs : timing.interZoneIntervalMs;
	const isEligibleForSlots = () => !isSuperseded && slotEligibility.update(clock.now(), livePeerIds, timing);
	const mayHoldSlots = () => isEligibleForSlots() && slotHoldingPhases.has(lifeCycle.phase());

	const receivedState = createReceivedState({
		self,
		clock,
		onHostChange() {
			refresh();
		},
		onConfiguration(hostId, mark) {
			const member = findMember(hostId);
			if (member && mark.nextOffset > localNextOffset()) {
				options.onNewerConfiguration?.({...member, configuration: mark});
			}
		},
		onSuperseded(incarnation) {
			isSuperseded = true;
			options.onSuperseded?.(incarnation);
		},
		onAcknowledged({id, zone}, sentAt) {
			if (zone === self.zone) {
				slotEligibility.recordAcknowledgement(id, sentAt);
			}
		},
		isLive(hostId) {
			const member = findMember(hostId);
			return member !== undefined && isLive(member);
		},
	});

	const localMember = (): Member => ({
		host: self,
		phase: lifeCycle.phase(),
		state: lifeCycle.phase() === hostPhase.left ? memberState.left : memberState.alive,
		configuration: localConfigurationMark(),
	});

	const isRepresentative = () =>
		representativesOf(self.zone, [...members, localMember()]).some(({host}) => host.id === self.id);

	/** Shifts stored times after a pause of this process, so that other hosts do not appear silent for its duration. */
	const compensateForPause = (now: number) => {
		const gapMs = now - refreshedAt - timing.refreshIntervalMs;
		refreshedAt = now;
		if (gapMs > timing.refreshIntervalMs) {
			receivedState.shiftTimes(gapMs);
		}
	};

	const removeSilentHosts = (now: number) => {
		for (const {host, lastSeenAt} of receivedState.hosts.all()) {
			if (now - lastSeenAt >= timing.removalTimeoutMs) {
				receivedState.remove(host.id);
			}
		}
	};

	const notifyIfChanged = (previousMembers: readonly Member[]) => {
		const canHoldSlots = mayHoldSlots();
		const isChanged = previousMembers.length !== members.length
			|| members.some((member, index) => member !== previousMembers[index])
			|| canHoldSlots !== couldHoldSlots;
		couldHoldSlots = canHoldSlots;
		if (isChanged) {
			options.onChange?.(members);
		}
	};

	const refresh = () => {
		const now = clock.now();
		compensateForPause(now);
		const viewInputs = {
			hosts: receivedState.hosts, digests: receivedState.digests, zone: self.zone, timing,
		};
		const previousMembers = members;
		members = computeMembers(viewInputs, now, membersById);
		membersById = new Map(members.map(member => [member.host.id, member]));
		livePeerIds = members.filter(member => isInLocalZone(member) && isLive(member)).map(({host}) => host.id);
		relayedDigests = receivedState.digests.all()
			.filter(({isDirect, digest}) => isDirect && digest.zone !== self.zone)
			.map(({digest}) => digest);
		timing = scaleTiming(baseTiming, members.filter(member => isInLocalZone(member)).length + 1);
		removeSilentHosts(now);
		localDigest = buildDigest(localRecord(), listDirectlyObserved(viewInputs, now).map(({record}) => record), localConfigurationMark());
		heartbeatLoops.reconcile(stop.signal.aborted ? [] : listHeartbeatTargets(localMember(), members));
		notifyIfChanged(previousMembers);
	};

	/** Digests to send to a receiver: the local one and, within the zone, those received directly from other zones. */
	const listDigests = (receiver: Host) => receiver.zone === self.zone ? [localDigest, ...relayedDigests] : [localDigest];

	const buildMessage = (receiver: Member, overrides: Partial<HeartbeatMessage> = {}): HeartbeatMessage => {
		const session = receivedState.sessionWith(receiver.host);
		const digests = session.selectDigests(listDigests(receiver.host));
		return {
			...buildBaseMessage(receiver.host.incarnation, overrides),
			...session.recordSent(digests, clock.now()),
			digests,
			payload: options.payload?.(receiver) ?? new Uint8Array(),
		};
	};

	/** Builds a message without session state. It is sent as is to a host whose record is not known. */
	const buildBaseMessage = (receiverIncarnation: string, overrides: Partial<HeartbeatMessage> = {}): HeartbeatMessage => ({
		senderId: self.id,
		senderIncarnation: self.incarnation,
		receiverIncarnation,
		sequence: 0,
		acknowledgedSequence: 0,
		configuration: localConfigurationMark(),
		digests: [localDigest],
		missingPublisherIds: [],
		newerIncarnation: '',
		hosts: [],
		payload: new Uint8Array(),
		...overrides,
	});

	const accept = (message: HeartbeatMessage) => {
		const acceptResult = receivedState.accept(message);
		const member = findMember(message.senderId);
		const isForThisIncarnation = message.receiverIncarnation === self.incarnation;
		if (member?.host.incarnation === message.senderIncarnation && isForThisIncarnation && message.payload.length > 0) {
			options.onPayload?.(member, message.payload);
		}

		return acceptResult;
	};

	/** Sends a heartbeat and processes the reply. Sends a second one if the reply omits hosts that are not known here. */
	const exchangeHeartbeats = async (member: Member, missingPublisherIds: string[] = []): Promise<void> => {
		const request = buildMessage(member, {missingPublisherIds});
		const result = await send(member.host.peerAddress, request, clock.now() + intervalMs(member));
		if (result.isErr()) {
			return;
		}

		const acceptResult = accept(result.value);
		if (acceptResult.missingPublisherIds.length > 0 && missingPublisherIds.length === 0) {
			await exchangeHeartbeats(member, acceptResult.missingPublisherIds);
		}
	};

	/** A host that may not hold slots always sends, because it needs an acknowledgement to become eligible. */
	const canSkipHeartbeat = (member: Member): boolean => {
		const receivedAt = receivedState.hosts.get(member.host.id)?.lastReceivedAt ?? 0;
		return clock.now() - receivedAt < intervalMs(member) / 2 && mayHoldSlots();
	};

	const heartbeatLoops = createHeartbeatLoops({
		clock, random, intervalMs, canSkipHeartbeat, exchangeHeartbeats: async member => exchangeHeartbeats(member),
	});

	const discoverFrom = async (address: string) => {
		const result = await send(address, buildBaseMessage(''), clock.now() + timing.heartbeatIntervalMs);
		if (result.isOk()) {
			accept(result.value);
		}
	};

	const runRefreshLoop = async () => {
		while (!stop.signal.aborted) {
			refresh();
			await waitUntil(clock, clock.now() + timing.refreshIntervalMs, stop.signal);
		}
	};

	const liveMembers = () => members.filter(member => isLive(member));

	const backgroundLoops = [
		runRefreshLoop(),
		runSeedDiscovery({
			clock,
			random,
			seeds: options.seeds,
			listHosts: options.listHosts,
			knownAddresses: () => new Set([self, ...liveMembers().map(({host}) => host)].map(host => host.peerAddress)),
			hasZonePeers: () => livePeerIds.length > 0,
			discoverFrom,
			initialIntervalMs: timing.heartbeatIntervalMs,
			steadyIntervalMs: timing.seedIntervalMs,
		}, stop.signal),
	];

	const listLiveRecords = () => liveMembers()
		.map(({host}) => receivedState.hosts.get(host.id)?.record)
		.filter(record => record !== undefined);

	const sendHeartbeats = async (targets: readonly Member[]) => {
		await Promise.all(targets.map(async member => exchangeHeartbeats(member)));
	};

	const knownNextOffset = (hostId: string) => receivedState.hosts.get(hostId)?.configuration?.nextOffset ?? 0;

	return {
		receive(message) {
			if (message.senderId === '') {
				throw new Failure(failureCode.protocolError, 'the heartbeat has no sender id', {step: 'heartbeat', peer: ''});
			}

			const replyFields = {
				...accept(message),
				hosts: message.receiverIncarnation === self.incarnation ? [] : listLiveRecords(),
			};
			const sender = findMember(message.senderId);
			const isKnown = sender?.host.incarnation === message.senderIncarnation;
			return isKnown ? buildMessage(sender, replyFields) : buildBaseMessage(message.senderIncarnation, replyFields);
		},
		members: () => members,
		zoneMembers() {
			const eligibleMembers = members.filter(member => isLive(member) && slotHoldingPhases.has(member.phase));
			const hosts = eligibleMembers.filter(member => isInLocalZone(member)).map(({host}) => host);
			return [...hosts, ...(mayHoldSlots() ? [self] : [])].toSorted((left, right) => left.id < right.id ? -1 : 1);
		},
		findMember,
		hasEnded: receivedState.hosts.hasEnded,
		mayHoldSlots,
		isRepresentative,
		phase: lifeCycle.phase,
		async announce(phase) {
			if (lifeCycle.advance(phase)) {
				refresh();
				await sendHeartbeats(heartbeatLoops.targets());
			}
		},
		announceConfiguration() {
			const nextOffset = localNextOffset();
			const isNewToAll = members.every(({host}) => knownNextOffset(host.id) < nextOffset);
			if (isNewToAll || isRepresentative()) {
				void sendHeartbeats(heartbeatLoops.targets().filter(({host}) => knownNextOffset(host.id) < nextOffset));
			}
		},
		async close() {
			stop.abort();
			await Promise.all([...backgroundLoops, heartbeatLoops.close()]);
		},
	};
};
