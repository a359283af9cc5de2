/** Builds one entry host from its components: job routing, claims, dispatch, lending, membership and configuration. */
import {
	createFailedAnswer,
	Failure,
	failureCode,
	formatHomeToken,
	notRunCounts,
	preference,
	type Configuration,
} from 'chivestream-core';
import {type CallerHandlers} from 'chivestream-caller';
import {Follower, writeQuorum, runSnapshotWriter} from 'chivestream-configuration';
import {
	createMembership, hostPhase, isLive, type Membership, type PeerHandlers,
} from 'chivestream-peer';
import {type OperatorSource} from 'chivestream-operator';
import {
	createScheduler, defaultLendingPolicies, slotTransferHoldOffMs, type Scheduler,
} from 'chivestream-placement';
import {createObjectiveRecorder} from 'chivestream-report';
import {createClaims, isSameIncarnation} from './claims.js';
import {createDispatcher, type AttemptRunner} from './dispatcher.js';
import {createEpochs} from './epochs.js';
import {type HostOptions, type HostParts} from './host-links.js';
import {createJobRegistry} from './job-registry.js';
import {createJobRouter} from './job-router.js';
import {createLending, parseLendingPayload} from './lending.js';
import {createHostMetrics, type GaugeValues, type HostMetrics} from './metrics.js';
import {createOperatorSource} from './operator-source.js';
import {createPeerCalls, type PeerCalls} from './peer-calls.js';
import {createPeerHandlers} from './peer-handlers.js';
import {createPlannedStop} from './planned-stop.js';
import {repeat} from './repeat.js';
import {type HostState} from './host-rows.js';

/** An entry host without its network servers. */
export type EntryHost = {
	callerHandlers: CallerHandlers;
	peerHandlers: PeerHandlers;
	membership: Membership;
	follower: Follower;
	scheduler: Scheduler;
	calls: PeerCalls;
	metrics: HostMetrics;
	operatorSource: OperatorSource;
	/** Starts to follow the log and to exchange requests with the other hosts. */
	start: () => void;
	/** Refuses new jobs, finishes those in progress and announces that the host has left; see `PlannedStop`. */
	drain: () => Promise<void>;
	/** Stops all background work and closes the membership and the peer connections without waiting for jobs. */
	close: () => Promise<void>;
};

const openEpochs = 10;
const maxKeyAgeMs = 600_000;
const clockSkewMs = 120_000;
/** A claim is kept longer than any host accepts its key, also if the clocks differ. */
const claimRetentionMs = maxKeyAgeMs + (3 * clockSkewMs);
const sweepPeriodMs = 100;
const grantCheckPeriodMs = 100;

const defaultParts: HostParts = {
	createScheduler, createEpochs, createJobRegistry, createClaims, createDispatcher, isSameIncarnation, follower: {},
};

/** Creates an entry host. It does nothing until `start` is called. */
export const createEntryHost = (options: HostOptions): EntryHost => {
	const parts = {...defaultParts, ...options.parts};
	const {
		self, clock, random, logger, links, limits,
	} = options;
	const claimant = {hostId: self.id, incarnation: self.incarnation};
	const stopping = new AbortController();
	const startedAt = clock.now();
	let configuration: Configuration | undefined;
	let readyDeadline: number | undefined;
	let isSuperseded = false;

	const scheduler = parts.createScheduler({clock, random});
	const epochs = parts.createEpochs({now: clock.now, epochMs: limits.keyEpochMs, openEpochs});
	const registry = parts.createJobRegistry({now: clock.now, maxRecords: limits.maxRememberedJobs, maxAnswerBytes: limits.maxRememberedBytes});
	const claims = parts.createClaims({
		self: claimant, stream: links.claimsStream, clock, logger, retentionMs: claimRetentionMs,
	});

	const runAttempt: AttemptRunner = async (assignment, task, signal) => {
		const upstream = configuration?.declarations.upstreams[assignment.task.upstream];
		return links.runAttempt({
			assignment, task, notStartedStatuses: upstream?.notStartedStatuses ?? [], signal,
		});
	};

	const readGaugeValues = (): GaugeValues => {
		const counts = dispatcher.counts();
		return {
			tasksStarted: counts.started,
			tasksRetried: counts.retried,
			lateAnswers: counts.late,
			attemptsRunning: dispatcher.attempts(),
			keysRemembered: registry.size(),
			answerBytes: registry.answerBytes(),
			claimsRemembered: claims.size(),
			loanRequests: lending.requests(),
			configurationVersion: configuration?.version ?? -1,
			configurationOffset: configuration?.offset ?? -1,
			queued: scheduler.load().reduce((sum, {queued}) => sum + queued, 0),
		};
	};

	const recorder = createObjectiveRecorder(clock, {host: self.id, zone: self.zone});
	const metrics = createHostMetrics(readGaugeValues);
	const calls = createPeerCalls({
		selfId: self.id,
		zone: self.zone,
		clock,
		logger,
		peers: links.peers,
		membership: () => membership,
		isSameIncarnation: parts.isSameIncarnation,
		seeds: options.seeds.filter(({address}) => address !== self.peerAddress),
		countForward: metrics.countForward,
	});
	const lending = createLending({
		clock,
		scheduler,
		requestLoan: calls.requestLoan,
		requestExtension: calls.requestExtension,
		lendingPolicyOf: upstream => defaultLendingPolicies[configuration?.declarations.upstreams[upstream]?.preference ?? preference.fewMessages],
		onSlotsAvailable() {
			dispatcher.startQueuedTasks();
		},
	});
	const dispatcher = parts.createDispatcher({
		clock,
		scheduler,
		runAttempt,
		onFinished(run, answer) {
			const {team, upstream} = run.job;
			metrics.recordJob(run, answer, clock.now());
			recorder.record({
				team, upstream, elapsedMs: clock.now() - run.startedAt, answer,
			});
		},
		onUnmetDemand: lending.requestSlots,
	});

	const liveHostIds = () => [self.id, ...membership.members().filter(member => isLive(member)).map(({host}) => host.id)];

	const configureScheduler = () => {
		if (!configuration) {
			return;
		}

		scheduler.configure(configuration, {
			selfId: self.id,
			zone: self.zone,
			hostIds: membership.zoneMembers().map(({id}) => id),
			totalHosts: liveHostIds().length,
		});
		dispatcher.startQueuedTasks();
	};

	const startServing = async () => {
		await membership.announce(hostPhase.serving);
		configureScheduler();
		readyDeadline = clock.now() + slotTransferHoldOffMs;
	};

	const applyConfiguration = (accepted: Configuration) => {
		const isFirst = configuration === undefined;
		configuration = accepted;
		recorder.configure(accepted.declarations.objectives);
		links.onDeclarations(accepted.declarations);
		configureScheduler();
		logger.info('configuration in force', {
			step: 'configure', peer: 'log', version: accepted.version, offset: accepted.offset,
		});
		if (isFirst && membership.phase() === hostPhase.joining) {
			void startServing();
		}

		membership.announceConfiguration();
	};

	const countZoneHosts = () => {
		const seeds = options.seeds.filter(({zone}) => zone === self.zone).map(({id}) => id);
		const members = membership.members().filter(({host}) => host.zone === self.zone).map(({host}) => host.id);
		return new Set([self.id, ...seeds, ...members]).size;
	};

	const follower = new Follower({
		stream: links.configurationStream,
		clock,
		random,
		logger,
		zone: self.zone,
		zoneSize: countZoneHosts,
		fetchFromPeers: calls.fetchStates,
		replicateToZone: async (state, deadline, records) => calls.offerRecords(state.configuration.offset, records, writeQuorum(countZoneHosts()), deadline),
		onChange: applyConfiguration,
		...parts.follower,
	});

	const membership = createMembership({
		self,
		clock,
		random,
		seeds: options.seeds.map(({address}) => address),
		async listHosts() {
			const listed = await links.listHosts();
			return listed.isOk() ? listed.value.map(({address}) => address) : [];
		},
		send: async (address, request, deadline) => links.peers.get(address).heartbeat(request, deadline),
		configuration: () => configuration,
		payload: receiver => new TextEncoder().encode(JSON.stringify(lending.takePayload(receiver.host.id))),
		onPayload(sender, payload) {
			lending.applyPayload({id: sender.host.id, isInZone: sender.host.zone === self.zone}, parseLendingPayload(new TextDecoder().decode(payload)));
		},
		onNewerConfiguration(member) {
			const {configuration: configurationMark, host} = member;
			if (configurationMark && host.zone === self.zone) {
				follower.recordZoneVersion(configurationMark.version);
			}

			if (configurationMark) {
				follower.handleAnnouncedOffset(configurationMark.nextOffset - 1);
			}
		},
		onChange(members) {
			for (const member of members) {
				if (!isLive(member)) {
					lending.removeHost(member.host.id);
				}
			}

			links.peers.retain(new Set([...members.map(({host}) => host.peerAddress), ...options.seeds.map(({address}) => address)]));
			configureScheduler();
		},
		onSuperseded(incarnation) {
			isSuperseded = true;
			logger.error('a newer incarnation of this host is running', {step: 'membership', peer: self.id, incarnation});
		},
	});

	const plannedStop = createPlannedStop({
		hostId: self.id, clock, logger, membership, dispatcher, drainMs: limits.drainMs,
	});
	const isServing = () => configuration !== undefined && !isSuperseded && membership.phase() === hostPhase.serving;
	const acceptsNewJobs = () => isServing() || plannedStop.acceptsLateJobs();
	/** A host can't use the slots that it took over from others until the hold-off after it started to serve has passed. */
	const isReady = () => isServing() && readyDeadline !== undefined && clock.now() >= readyDeadline;

	const router = createJobRouter({
		self: claimant,
		clock,
		epochs,
		registry,
		claims,
		claimantClient: calls,
		isSameIncarnation: parts.isSameIncarnation,
		run: dispatcher.run,
		cancelRun: dispatcher.cancel,
		limits: () => configuration?.declarations.limits,
		acceptsNewJobs,
		maxKeyAgeMs,
		clockSkewMs,
	});

	const hostState: HostState = {
		self,
		startedAt,
		clock,
		phase: () => membership.phase(),
		configuration: () => configuration,
		follower,
		scheduler,
		runs: dispatcher.runs,
	};

	const operatorSource = createOperatorSource({
		state: hostState,
		clock,
		random,
		membership,
		calls,
		router,
		follower,
		stream: links.configurationStream,
		seeds: options.seeds,
		readHistory: recorder.read,
	});

	const peerHandlers = createPeerHandlers({
		self, router, scheduler, follower, operatorSource, configuration: () => configuration,
	});

	const homeToken = () => isServing()
		? formatHomeToken({...claimant, epoch: epochs.current()})
		: undefined;

	const callerHandlers: CallerHandlers = {
		async submit(job) {
			if (!configuration) {
				const failure = new Failure(failureCode.notReady, 'this host has no configuration yet; ask another', {step: 'submit', peer: self.id});
				return createFailedAnswer(job.key, failure, false, notRunCounts(0));
			}

			return router.submit(job);
		},
		fetch: router.fetch,
		cancel: router.cancel,
		homeToken,
		isReady,
		configurationVersion: () => configuration?.version,
		reachVersion: async (version, deadline) => follower.waitForVersion(version, deadline),
		metrics: metrics.format,
	};

	return {
		callerHandlers,
		peerHandlers,
		membership,
		follower,
		scheduler,
		calls,
		metrics,
		operatorSource,
		start() {
			follower.start();
			void claims.follow(stopping.signal);
			void runSnapshotWriter({
				stream: links.configurationStream, follower, clock, hostId: self.id, liveHosts: liveHostIds, logger,
			}, stopping.signal);
			repeat(clock, sweepPeriodMs, stopping.signal, registry.sweep);
			repeat(clock, grantCheckPeriodMs, stopping.signal, lending.renewGrants);
		},
		drain: plannedStop.drain,
		async close() {
			stopping.abort();
			follower.stop();
			await membership.close();
			links.peers.close();
		},
	};
};
