/** One entry host, put together over its links: homes, claims, dispatch, lending, membership and configuration. */
import {
	createFailedAnswer,
	Failure,
	failureCode,
	formatHome,
	noneRun,
	preference,
	type Configuration,
	type JobAnswer,
} from 'chivestream-core';
import {type CallerHandlers} from 'chivestream-caller';
import {
	Follower, holdersNeeded, runSnapshotWriter, type PeerState,
} from 'chivestream-configuration';
import {
	createMembership, hostPhase, isLive, type Membership, type PeerHandlers,
} from 'chivestream-peer';
import {answerPeerRequest as answerOperatorRequest, type OperatorSource} from 'chivestream-operator';
import {createScheduler, defaultLendingTerms, type Scheduler} from 'chivestream-placement';
import {createObjectiveRecorder} from 'chivestream-report';
import {createClaims, isSameRun} from './claims.js';
import {createDispatcher, type AttemptRunner} from './dispatcher.js';
import {createEpochs} from './epochs.js';
import {type HostOptions, type HostParts} from './host-links.js';
import {createJobRegistry} from './job-registry.js';
import {createJobRouter} from './job-router.js';
import {
	createLending, parseDemand, parseGrants, parseLendingPayload,
} from './lending.js';
import {createHostMetrics, type HostFigures, type HostMetrics} from './metrics.js';
import {createOperatorSource} from './operator-source.js';
import {createPeerCalls, type PeerCalls} from './peer-calls.js';
import {answerPeerRequest} from './peer-request.js';
import {type HostState} from './host-rows.js';

/** A running entry host without its servers. */
export type EntryHost = {
	callerHandlers: CallerHandlers;
	peerHandlers: PeerHandlers;
	membership: Membership;
	follower: Follower;
	scheduler: Scheduler;
	calls: PeerCalls;
	metrics: HostMetrics;
	operatorSource: OperatorSource;
	/** Starts to follow the log and to talk to the other hosts. */
	start: () => void;
	/** Refuses new work, finishes what it holds and leaves; resolves once nothing of it is left. */
	drain: () => Promise<void>;
	/** Ends every task at once. */
	close: () => Promise<void>;
};

const openEpochs = 10;
const keyWindowMs = 600_000;
const clockSkewMs = 120_000;
const claimRetentionMs = keyWindowMs + (3 * clockSkewMs);
const sweepPeriodMs = 5000;
const grantCheckPeriodMs = 100;
const drainQuietMs = 2000;
const drainPollMs = 50;

const defaultParts: HostParts = {
	createScheduler, createEpochs, createJobRegistry, createClaims, createDispatcher, isSameRun, follower: {},
};

/** Builds an entry host over its links; `start` sets it going. */
export const createEntryHost = (options: HostOptions): EntryHost => {
	const parts = {...defaultParts, ...options.parts};
	const {
		self, clock, random, logger, links, limits,
	} = options;
	const claimant = {hostId: self.id, incarnation: self.incarnation};
	const stopping = new AbortController();
	const startedAt = clock.now();
	let configuration: Configuration | undefined;
	let drainDeadline: number | undefined;

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

	const readFigures = (): HostFigures => {
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
	const metrics = createHostMetrics(readFigures);
	const calls = createPeerCalls({
		selfId: self.id,
		zone: self.zone,
		clock,
		logger,
		peers: links.peers,
		membership: () => membership,
		isSameRun: parts.isSameRun,
		seeds: options.seeds.filter(({address}) => address !== self.peerAddress),
		countForward: metrics.countForward,
	});
	const lending = createLending({
		clock,
		scheduler,
		requestLoan: calls.requestLoan,
		requestExtension: calls.requestExtension,
		termsOf: upstream => defaultLendingTerms[configuration?.declarations.upstreams[upstream]?.preference ?? preference.fewMessages],
		onSlots() {
			dispatcher.pump();
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
		onDemand: lending.ask,
	});

	const liveHosts = () => [self.id, ...membership.members().filter(member => isLive(member)).map(({host}) => host.id)];

	const shareSlots = () => {
		if (!configuration) {
			return;
		}

		scheduler.configure(configuration, {
			selfId: self.id,
			zone: self.zone,
			hostIds: membership.zoneMembers().map(({id}) => id),
			totalHosts: liveHosts().length,
		});
		dispatcher.pump();
	};

	const putInForce = (accepted: Configuration) => {
		const isFirst = configuration === undefined;
		configuration = accepted;
		recorder.configure(accepted.declarations.objectives);
		links.onDeclarations(accepted.declarations);
		shareSlots();
		logger.info('configuration in force', {
			step: 'configure', peer: 'log', version: accepted.version, offset: accepted.offset,
		});
		if (isFirst && membership.phase() === hostPhase.joining) {
			void membership.announce(hostPhase.serving).then(shareSlots);
		}

		membership.pushConfiguration();
	};

	const zoneSize = () => {
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
		zoneSize,
		fetchFromPeers: calls.fetchStates,
		confirmHeld: async (state, deadline, records) => calls.offerRecords(state.configuration.offset, records, holdersNeeded(zoneSize()), deadline),
		onChange: putInForce,
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
		payload: receiver => new TextEncoder().encode(JSON.stringify(lending.payloadFor(receiver.host.id))),
		onPayload(sender, payload) {
			lending.receive({id: sender.host.id, isInZone: sender.host.zone === self.zone}, parseLendingPayload(new TextDecoder().decode(payload)));
		},
		onNewerConfiguration(member) {
			const {configuration: mark, host} = member;
			if (mark && host.zone === self.zone) {
				follower.confirm(mark.version);
			}

			if (mark) {
				follower.notice(mark.nextOffset - 1);
			}
		},
		onChange(members) {
			for (const member of members) {
				if (!isLive(member)) {
					lending.forget(member.host.id);
				}
			}

			links.peers.retain(new Set([...members.map(({host}) => host.peerAddress), ...options.seeds.map(({address}) => address)]));
			shareSlots();
		},
		onSuperseded(incarnation) {
			logger.error('a newer incarnation of this host is running', {step: 'membership', peer: self.id, incarnation});
		},
	});

	const isServing = () => configuration !== undefined && membership.phase() === hostPhase.serving;
	const takesNewJobs = () => isServing() || (drainDeadline !== undefined && clock.now() < drainDeadline);

	const router = createJobRouter({
		self: claimant,
		clock,
		epochs,
		registry,
		claims,
		relay: calls,
		isSameRun: parts.isSameRun,
		run: dispatcher.run,
		cancelRun: dispatcher.cancel,
		limits: () => configuration?.declarations.limits,
		takesNewJobs,
		keyWindowMs,
		clockSkewMs,
	});

	const peerState = (): PeerState => ({
		hostId: self.id, zone: self.zone, isProven: follower.isProven, state: follower.held,
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

	const peerHandlers: PeerHandlers = {
		submit: router.submitForwarded,
		async fetch(key, waitDeadline): Promise<JobAnswer | undefined> {
			const status = await router.fetchLocal(key, waitDeadline);
			return status.kind === 'answered' ? status.answer : undefined;
		},
		async cancel(key) {
			const status = await router.cancelLocal(key);
			return status.kind === 'answered' ? status.answer : undefined;
		},
		lend: (borrowerId, demand) => JSON.stringify(scheduler.lend(borrowerId, parseDemand(demand))),
		reclaim(borrowerId, grants) {
			scheduler.reclaim(borrowerId, parseGrants(grants));
		},
		readConfiguration: () => configuration,
		query: async request => answerPeerRequest(request, {
			fetch: router.fetchLocal,
			cancel: router.cancelLocal,
			operator: text => answerOperatorRequest(operatorSource, text),
			state: peerState,
			hold: async (offset, records, deadline) => follower.hold(offset, records, deadline),
			version: () => configuration?.version ?? -1,
			extend: scheduler.extend,
		}),
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

	const homeToken = () => isServing()
		? formatHome({...claimant, epoch: epochs.current()})
		: undefined;

	const callerHandlers: CallerHandlers = {
		async submit(job) {
			if (!configuration) {
				const failure = new Failure(failureCode.notReady, 'this host has no configuration yet; ask another', {step: 'submit', peer: self.id});
				return createFailedAnswer(job.key, failure, false, noneRun(0));
			}

			return router.submit(job);
		},
		fetch: router.fetch,
		cancel: router.cancel,
		homeToken,
		isReady: isServing,
		configurationVersion: () => configuration?.version,
		reachVersion: async (version, deadline) => follower.waitForVersion(version, deadline),
		metrics: metrics.format,
	};

	const scheduleRenewals = () => {
		if (!stopping.signal.aborted) {
			clock.at(clock.now() + grantCheckPeriodMs, () => {
				lending.renewGrants();
				scheduleRenewals();
			});
		}
	};

	const scheduleSweep = () => {
		if (!stopping.signal.aborted) {
			clock.at(clock.now() + sweepPeriodMs, () => {
				registry.sweep();
				scheduleSweep();
			});
		}
	};

	const pause = async (deadline: number) => new Promise<void>(resolve => {
		clock.at(deadline, resolve);
	});

	const waitForRuns = async (deadline: number) => {
		while (dispatcher.attempts() > 0 || !dispatcher.runs().next().done) {
			if (clock.now() >= deadline) {
				logger.warn('leaving with work in progress', {step: 'drain', peer: self.id, attempts: dispatcher.attempts()});
				return;
			}

			await pause(clock.now() + drainPollMs); // eslint-disable-line no-await-in-loop -- polls until idle
		}
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
				stream: links.configurationStream, follower, clock, hostId: self.id, liveHosts, logger,
			}, stopping.signal);
			scheduleSweep();
			scheduleRenewals();
		},
		async drain() {
			const deadline = clock.now() + limits.drainMs;
			// Callers that already have a connection or a key of this host may still send for a moment.
			drainDeadline = clock.now() + drainQuietMs;
			await membership.announce(hostPhase.draining);
			await pause(drainDeadline);
			await waitForRuns(deadline);
			await membership.announce(hostPhase.left);
		},
		async close() {
			stopping.abort();
			follower.stop();
			await membership.close();
			links.peers.close();
		},
	};
};
