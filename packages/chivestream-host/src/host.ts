/** One entry host: the HTTP service for callers, links to other hosts, and a dispatcher for each cell that the host has claimed. */
/* eslint-disable no-await-in-loop -- iterations are sequential */
import {createServer, type Server as HttpServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	jobLeaseMs, leaseExpiryMs, unaccepted, type CellJobs, type MinionRecord,
} from 'chivestream-dispatch';
import {
	callerJobState, createStoreClient, readinessPath, type CallerJobState,
} from 'chivestream-platform';
import {parseAddress} from 'chivestream-settings';
import {createRecentMaximum} from './answer-timeout.js';
import {runBackgroundLoop} from './background-loop.js';
import {CallerJobs} from './caller-jobs.js';
import {createCallerLease, type CallerLease} from './caller-lease.js';
import {cellName} from './cells.js';
import {createCallerService, type CallerService} from './caller-service.js';
import {cancelFinding, CancelledJobs} from './cancelled-jobs.js';
import {DeclarationsFollower} from './declarations-follower.js';
import {DispatcherTable} from './dispatcher-table.js';
import {createElapsedClock} from './elapsed-clock.js';
import {followHostRegistry} from './host-registry.js';
import {type DispatchService} from './dispatch-service.js';
import {type Report} from './host-log.js';
import {JobCancellation} from './job-cancellation.js';
import {fromJobMessage, runJob} from './job-client.js';
import {type HostRecord, type HostStatus, type PeerReply} from './messages.js';
import {createHostMetrics, type HostMetrics} from './metrics.js';
import {MinionFollower} from './minion-follower.js';
import {MinionSource} from './minion-source.js';
import {createPauseGuard, type PauseGuard} from './pause-guard.js';
import {PeerServer} from './peer-server.js';
import {serveStreams} from './peer-service.js';
import {PeerTable} from './peer-table.js';
import {applySettings, compareSettings} from './reload.js';
import {countedCores, type HostSettings} from './settings.js';
import {hostTiming, statusIntervalMs} from './timing.js';
import {ClaimManager} from './claim-manager.js';

/** Age of the store's last answer up to which the store counts as reachable, in milliseconds. */
const storeAnswerMaxAgeMs = 2500;

/** Time that the load balancer may take to notice a stop, in milliseconds; connections that it opens until then are served. */
const balancerNoticeMs = 2200;

/** A stop ends at least this long before the platform would kill the process, in milliseconds. */
const stopMarginMs = 400;

const msPerSecond = 1000;
const okStatus = 200;
const unavailableStatus = 503;

/** An entry host: serves from `start` until `stop` or `close`. */
export class EntryHost {
	private settings: HostSettings;
	private readonly report: Report;
	private readonly metrics: HostMetrics;
	private readonly record: HostRecord;
	private readonly store;
	private readonly declarations: DeclarationsFollower;
	private readonly minions: MinionFollower;
	/** The host that passes on the minions while the store turns this dispatcher away. */
	private readonly minionSource = new MinionSource();
	/** Ends the reading of the minions for dispatchers that the store turns away. */
	private minionsForOthers: AbortController | undefined;
	/** Names of the dispatchers that have last asked this host for the minions. */
	private minionsAskedBy = '';
	private readonly peers: PeerTable;
	private readonly peerServer: PeerServer;
	private readonly callers: CallerService;
	private readonly callerJobs: CallerJobs;
	private readonly cancelledJobs: CancelledJobs;
	private readonly cancellation: JobCancellation;
	private readonly claim: ClaimManager;
	private readonly dispatcherHandles: DispatcherTable;
	private readonly controller = new AbortController();
	private readonly readinessServer: HttpServer;
	private peerListener: Awaited<ReturnType<typeof serveStreams>> | undefined;
	private isLeaving = false;
	private shutdownDeadline: number | undefined;
	private hostsKnownAt: number | undefined;
	/** By how much the ticks of this process were late, in milliseconds. */
	private readonly delay = createRecentMaximum();
	private readonly pauseGuard: PauseGuard;
	private readonly callerLease: CallerLease;
	private lastTickAt = performance.now();
	/** When this host last checked which others are silent, after it had read its sockets. */
	private listenedAt = performance.now();
	/** Whether the last tick was late, so that the sockets are read before the next one. */
	private isReadingSockets = false;
	private lastHeartbeatAt = 0;
	private lastPublishedDispatchers = '';
	private readonly now: () => number;

	constructor(settings: HostSettings, writeLine: Report) {
		const now = () => performance.now();
		this.now = now;
		this.settings = settings;
		this.metrics = createHostMetrics({
			jobs: () => this.sumOverServices(service => service.dispatcher.jobs.size),
			waitingTasks: () => this.sumOverServices(service => service.dispatcher.waitingTaskCount()),
			declarationsVersion: () => this.declarations.current?.version ?? 0,
		});
		const report: Report = (event, fields) => {
			this.metrics.recordEvent(event);
			writeLine(event, fields);
		};

		const elapsed = createElapsedClock(now, () => Date.now());
		this.pauseGuard = createPauseGuard({
			now, elapsed, thresholdMs: hostTiming.heartbeatMs + hostTiming.pauseThresholdMs, recoveryMs: hostTiming.pauseRecoveryMs,
		});
		this.callerLease = createCallerLease({now, elapsed, jobLeaseMs: () => this.jobLeaseMs()});
		const onAnswer = (sentAt: number) => {
			this.callerLease.recordAnswer(sentAt);
		};

		this.report = report;
		this.record = {
			name: settings.host.name,
			zone: settings.host.zone,
			address: settings.listen.peers,
			bornAt: Date.now(),
			cpuShare: countedCores(settings.host),
		};
		this.store = createStoreClient(settings.store);
		this.declarations = new DeclarationsFollower({
			store: this.store,
			report,
			now,
			onChange: () => {
				this.publishDeclarations();
			},
		});
		this.minions = new MinionFollower({
			store: this.store,
			report,
			now,
			lastStoreFailureAt: () => this.declarations.lastFailureAt,
			onChange: () => {
				this.handleMinionChange();
			},
			onRead: () => {
				this.passMinionsOn();
			},
		});
		this.peers = new PeerTable({
			self: this.record,
			now,
			report,
			localStatus: () => this.status(),
			cellCount: () => this.claim.cellCount,
			onChange: () => {
				this.evaluate();
			},
			onDeclarations: declarations => {
				this.declarations.applyIfNewer(declarations, 'peer');
			},
			onMinions: (from, minions) => {
				if (from.name === this.minionSource.name && this.minions.isTableNeeded()) {
					this.minionSource.recordAnswer(now());
					this.minions.mergeZone(this.record.zone, minions);
				} else if (!this.isReadingMinions() && from.zone === this.record.zone) {
					this.minions.replace(minions);
				}
			},
			onJobsOfCell: (claim, jobs) => {
				for (const {token, dispatcher} of this.claim.services.values()) {
					if (token === claim && dispatcher.asksForJobs()) {
						dispatcher.handleJobsElsewhere(jobs);
					}
				}
			},
			jobLeaseMs: () => this.jobLeaseMs(),
			cancelHere: id => this.cancellation.cancelHere(id),
		});
		this.peerServer = new PeerServer({
			now,
			elapsed,
			jobLeaseMs: () => this.jobLeaseMs(),
			report,
			initialReplies: to => this.initialReplies(to),
			localStatus: () => this.status(),
			nextInMs: to => this.nextInMs(to),
			onHost: (host, status) => {
				this.peers.recordStatus(host, status);
			},
			isDispatcher: host => this.peers.isDispatcher(host.name),
			jobsOfCell: cell => this.isDispatching() ? this.jobsOfCell(cell) : undefined,
			onAnswer,
			onLeaseExtended: () => {
				for (const service of this.claim.services.values()) {
					service.dispatcher.resume();
				}
			},
			submit: (message, {settle, onTaskCrashed, ...submitter}) => {
				if (this.cancelledJobs.has(message.id)) {
					settle({kind: 'cancelled'});
					return undefined;
				}

				const service = this.claim.serviceOfCell(message.cell);
				// A submission to an earlier claim may have waited for long, for example while this process was paused. The job may run for
				// another dispatcher by now.
				const isOutdated = message.claim !== undefined && message.claim !== service?.token;
				if (service === undefined || isOutdated) {
					report('submission-released', {
						job: message.id, cell: message.cell, claim: message.claim, ownClaim: service?.token,
					});
					settle(unaccepted);
					return undefined;
				}

				return service.dispatcher.submit(fromJobMessage(message, now()), settle, onTaskCrashed, submitter);
			},
			cancelJob: async (id, asksHosts) => this.cancellation.handleRequest(id, asksHosts),
		});
		this.claim = new ClaimManager({
			self: this.record,
			bounds: () => this.settings.bounds,
			now,
			recentDelayMs: () => this.delay.value(),
			report,
			isLeaving: () => this.isLeaving,
			candidates: () => this.peers.candidates(),
			zoneHosts: () => this.peers.zoneHosts(),
			zoneSize: () => this.peers.linkedZoneSize(),
			canReachStore: () => this.declarations.answerAgeMs() < storeAnswerMaxAgeMs,
			hostsKnownAt: () => this.hostsKnownAt,
			isZoneDiscovered: () => this.hostsKnownAt !== undefined && this.peers.isZoneDiscovered(),
			isRegistryComplete: at => this.minions.isComplete(at),
			knowsMinionsOfClaim: (claim, until) => {
				const heardAt = this.peers.claimHeardAt(claim);
				return heardAt !== undefined && heardAt > until - this.jobLeaseMs() - hostTiming.heartbeatMs;
			},
			minions: () => this.zoneMinions(),
			unregisteredMinions: () => this.peers.unregisteredMinions(),
			areMinionsCurrent: () => this.minions.isCurrent(),
			followMinions: signal => {
				this.stopReadingForOthers();
				this.followMinions(signal);
				// The status that announces the claim then carries the request to the source.
				this.chooseMinionSource();
			},
			onAnswer,
			onClaimChange: () => {
				this.askForJobs();
				this.publishStatus();
				this.publishMinions();
			},
			onClaimLost: () => {
				this.evaluate();
			},
			cellsOfOtherHosts: () => this.peers.cellsOfOtherHosts(),
		});
		this.dispatcherHandles = new DispatcherTable({
			self: this.record,
			now,
			choices: () => this.claim.choices,
			services: () => this.claim.services,
			link: name => this.peers.findOpenLink(name),
			otherZoneDispatchers: () => this.peers.otherZoneDispatchers(),
			callerLeaseEndsAt: () => this.pauseGuard.isAwake() ? this.callerLease.endsAt() : Number.NEGATIVE_INFINITY,
			jobLeaseMs: () => this.jobLeaseMs(),
		});
		this.readinessServer = this.createReadinessServer();
		this.cancelledJobs = new CancelledJobs(now);
		this.callerJobs = new CallerJobs({
			cancelledJobs: this.cancelledJobs,
			runJob: job => runJob({
				now,
				report,
				untilAwake: async () => this.untilAwake(),
				releasedRunsMs: () => leaseExpiryMs(this.settings.bounds.leaseMs),
				dispatcherOfCell: cell => this.dispatcherHandles.ofCell(cell),
				dispatcherForJob: id => this.dispatcherHandles.forJob(id),
				untilChange: async deadline => this.dispatcherHandles.waitForChange(deadline),
			}, job),
		});
		this.cancellation = new JobCancellation({
			now,
			report,
			cancelledJobs: this.cancelledJobs,
			stopJob: id => this.claim.cancelJob(id),
			endJob: id => this.callerJobs.end(id),
			linkedHosts: () => this.peers.openLinks(),
			attachedHosts: () => this.peerServer.attachedHosts(),
			hasAllDispatchers: () => this.dispatcherHandles.hasAllLocal(),
		});
		this.callers = createCallerService({
			now,
			report,
			declarations: () => this.declarations.current,
			runJob: job => this.callerJobs.run(job),
			cancelJob: async id => this.cancellation.cancel(id),
			jobState: id => this.jobState(id),
			pendingJobs: route => this.pendingJobs(route),
			isDelayed: () => Math.max(this.delay.value(), now() - this.lastTickAt - this.tickIntervalMs()) > hostTiming.pauseRecoveryMs,
			isLeaving: () => this.isLeaving,
			shutdownDeadline: () => this.shutdownDeadline,
			onAnswer: (status, tookMs) => {
				this.metrics.recordAnswer(status, tookMs);
			},
		});
	}

	/** Opens the listeners, connects to the seeds and starts the background loops. Rejects if an address can't be listened on. */
	async start(): Promise<void> {
		const {listen, seeds} = this.settings;
		this.peerListener = await serveStreams(listen.peers, stream => {
			this.peerServer.accept(stream);
		});
		await listenAt(this.callers.server, listen.callers);
		await listenAt(this.readinessServer, listen.readiness);
		if (listen.metrics !== undefined) {
			await listenAt(this.metrics.server, listen.metrics);
		}

		this.report('started', {
			host: this.record.name, zone: this.record.zone, bornAt: this.record.bornAt, seeds,
		});
		this.peers.addSeeds(seeds);
		const {signal} = this.controller;
		this.runLoop('declarations', async () => this.declarations.follow(signal));
		this.runLoop('minions', async () => this.minions.preload(signal));
		this.runLoop('hosts', async () => followHostRegistry({
			store: this.store,
			self: this.record,
			report: this.report,
			onHosts: hosts => {
				this.hostsKnownAt ??= this.now();
				this.peers.addHosts(hosts);
			},
			signal,
		}));
		this.runLoop('ticks', async () => this.runTickLoop());
	}

	/** Applies the changed settings that need no restart, and logs these and those that need one. */
	changeSettings(settings: HostSettings): void {
		this.report('settings-changed', compareSettings(this.settings, settings));
		this.settings = applySettings(this.settings, settings);
		this.peers.addSeeds(settings.seeds);
	}

	/**
	 * Completes the requests in progress and closes the host, at the latest shortly before the platform kills the process. New
	 * connections are served until the load balancer has noticed the stop.
	 */
	async stop(): Promise<void> {
		const stopRequestedAt = this.now();
		const endAt = stopRequestedAt + (this.settings.bounds.stopGraceSeconds * msPerSecond) - stopMarginMs;
		this.report('stopping', {inProgress: this.callers.inProgress()});
		this.isLeaving = true;
		this.shutdownDeadline = endAt;
		this.claim.releaseAll('stopping');
		this.publishStatus();
		this.evaluate();
		while (this.now() < endAt && (this.callers.inProgress() > 0 || this.now() < stopRequestedAt + balancerNoticeMs)) {
			await sleep(hostTiming.tickMs);
		}

		this.report('stopped', {inProgress: this.callers.inProgress()});
		await this.close();
	}

	/** Closes the host at once, like a process that is killed: connections break, and the other hosts get no notice. */
	async close(): Promise<void> {
		this.isLeaving = true;
		this.controller.abort();
		this.peers.close();
		this.peerListener?.forceShutdown();
		for (const server of [this.callers.server, this.readinessServer, this.metrics.server]) {
			server.close();
			server.closeAllConnections();
		}

		this.claim.releaseAll('closed');
		await this.store.close();
	}

	/** Whether the load balancer should send connections to this host. */
	isReady(): boolean {
		return !this.isLeaving && this.declarations.current !== undefined && this.dispatcherHandles.hasAny();
	}

	/** Whether this host dispatches for at least one cell of its zone. */
	isDispatching(): boolean {
		return this.claim.services.size > 0;
	}

	/** Number of tasks that can start at once in the cells of other hosts, as these last reported. */
	freeTasksElsewhere(): number {
		return this.peers.cellsOfOtherHosts().reduce((sum, cell) => sum + cell.freeTasks, 0);
	}

	private runLoop(name: string, loop: () => Promise<void>, signal: AbortSignal = this.controller.signal): void {
		void runBackgroundLoop(name, loop, {report: this.report, signal});
	}

	private createReadinessServer(): HttpServer {
		return createServer((request, response) => {
			const isReady = request.url?.startsWith(readinessPath) === true && this.isReady();
			response.statusCode = isReady ? okStatus : unavailableStatus;
			response.end();
		});
	}

	private sumOverServices(count: (service: DispatchService) => number): number {
		return [...this.claim.services.values()].reduce((sum, service) => sum + count(service), 0);
	}

	/** The status of this host as sent to another host. */
	private status(to: HostRecord = this.record): HostStatus {
		return {
			claims: this.claim.claims(),
			cellCount: this.claim.cellCount,
			isLeaving: this.isLeaving,
			declarationsVersion: this.declarations.current?.version ?? 0,
			nextInMs: this.nextInMs(to),
			reachesStore: this.reachesStore(),
			...(this.minionSource.name !== undefined && {minionsFrom: this.minionSource.name}),
		};
	}

	/** Time until the next status to a host, in milliseconds. */
	private nextInMs(to: HostRecord): number {
		return statusIntervalMs({
			isDispatching: this.isDispatching(),
			isToDispatcher: this.peers.isDispatcher(to.name),
			isSameZone: to.zone === this.record.zone,
			hostsOfZone: this.peers.zoneSize(),
		});
	}

	private initialReplies(to: HostRecord): PeerReply[] {
		const {current} = this.declarations;
		return [
			{
				type: 'hello', host: this.record, status: this.status(to), hosts: this.peers.allHosts(),
			},
			{type: 'dispatchers', hosts: this.knownDispatchers()},
			...(current === undefined ? [] : [{type: 'declarations', declarations: current} as const]),
			...(this.isDispatching() ? [this.minionsMessage()] : []),
		];
	}

	private minionsMessage(): PeerReply {
		const unregistered = [...this.claim.services.values()].flatMap(service => service.unregisteredMinions());
		return {type: 'minions', minions: this.zoneMinions(), unregistered};
	}

	private async untilAwake(): Promise<void> {
		while (!this.pauseGuard.isAwake()) {
			await sleep(hostTiming.tickMs);
		}
	}

	/** Length of the lease on a submitted job, in milliseconds. */
	private jobLeaseMs(): number {
		return jobLeaseMs(this.settings.bounds.leaseMs);
	}

	private zoneMinions(): MinionRecord[] {
		return [...this.minions.table.values()].filter(minion => minion.zone === this.record.zone);
	}

	private knownDispatchers(): HostRecord[] {
		const localDispatchers = this.claim.choices.flatMap(choice => choice.kind === 'follow' ? [choice.record] : []);
		return [...new Set(localDispatchers), ...this.peers.otherZoneDispatcherRecords()];
	}

	private jobState(id: string): CallerJobState | undefined {
		for (const {dispatcher} of this.claim.services.values()) {
			const job = dispatcher.jobs.get(id);
			if (job !== undefined) {
				return job.mayHaveRun ? callerJobState.running : callerJobState.queued;
			}
		}

		if (this.callerJobs.has(id)) {
			// Whether a task has started is known only to the dispatcher on another host.
			return callerJobState.running;
		}

		const finding = this.cancelledJobs.finding(id) ?? cancelFinding.unknown;
		return finding === cancelFinding.unknown ? undefined : callerJobState.cancelled;
	}

	private pendingJobs(route: string): number {
		let count = 0;
		for (const service of this.claim.services.values()) {
			for (const job of service.dispatcher.jobs.values()) {
				count += job.request.route === route && job.tasks.every(task => task.run === undefined) ? 1 : 0;
			}
		}

		return count;
	}

	/** Whether this host has read what the others have sent. After a pause, that lies in its sockets, and they all seem silent. */
	private isListening(): boolean {
		return this.now() - this.listenedAt <= hostTiming.heartbeatMs + hostTiming.lateTickMs;
	}

	/** Chooses the zone's dispatchers again, publishes changes and wakes the jobs that wait for a dispatcher. */
	private evaluate(): void {
		if (!this.isListening()) {
			// Done again once the sockets have been read.
			return;
		}

		this.claim.evaluate();
		this.updateAskedCells();
		this.dispatcherHandles.recordReachable();
		this.exchangeMinions();
		this.publishDispatchers();
		this.dispatcherHandles.notifyChange();
	}

	/**
	 * Lets new dispatchers wait until those of other cells have named the jobs that an earlier dispatcher of the cell redirected there. The
	 * status that announces the claim asks them.
	 */
	private askForJobs(): void {
		const answersDueAt = this.now() + hostTiming.jobsAnswerTimeoutMs;
		const cells = this.cellsToAsk();
		for (const [cell, {dispatcher}] of this.claim.services) {
			dispatcher.awaitJobsElsewhere(cells.filter(name => name !== this.localCellName(cell)), answersDueAt);
		}

		this.updateAskedCells();
	}

	/** Stops waiting for cells without a dispatcher in reach, and passes on the jobs that the other dispatchers on this host hold. */
	private updateAskedCells(): void {
		for (const [cell, {dispatcher}] of this.claim.services) {
			if (dispatcher.asksForJobs()) {
				dispatcher.retainAskedCells(new Set(this.cellsToAsk()));
				dispatcher.handleJobsElsewhere(this.jobsOfCell(this.localCellName(cell)) ?? []);
			}
		}
	}

	/** The cells of the local zone, whose dispatchers may have been lost together with that of the claimed cell, and those in reach of other
	 * zones. */
	private cellsToAsk(): string[] {
		return [...this.claim.choices.map((_, cell) => this.localCellName(cell)), ...this.peers.cellsOfOtherHosts().map(({cell}) => cell)];
	}

	private localCellName(cell: number): string {
		return cellName(this.record.zone, cell, this.claim.cellCount);
	}

	/** The jobs of another cell that the dispatchers on this host hold; undefined while one of them doesn't know all its runs. */
	private jobsOfCell(name: string): CellJobs[] | undefined {
		const jobs: CellJobs[] = [];
		for (const [number, {dispatcher}] of this.claim.services) {
			const cell = this.localCellName(number);
			if (cell !== name) {
				const ids = dispatcher.jobsOfCell(name);
				if (ids === undefined) {
					return undefined;
				}

				jobs.push({cell, ids});
			}
		}

		return jobs;
	}

	private handleMinionChange(): void {
		if (this.isDispatching()) {
			this.claim.setMinions(this.zoneMinions());
			this.publishMinions();
		}
	}

	/** Sends the minions of the zone to its other hosts, each of which may be the next dispatcher. */
	private publishMinions(): void {
		if (this.isDispatching()) {
			this.peerServer.sendToZone(this.record.zone, this.minionsMessage());
		}
	}

	private followMinions(signal: AbortSignal): void {
		this.runLoop('minions', async () => this.minions.follow(signal, this.declarations.reachesStore() || this.peers.minionSources().length > 0), signal);
	}

	/** Asks another host for the minions while this dispatcher can't read them from the store, and reads them for others that ask this host. */
	private exchangeMinions(): void {
		if (this.chooseMinionSource()) {
			this.publishStatus();
		}

		const askedBy = this.peers.hostsThatAskForMinions().map(({name}) => name).join(',');
		if (askedBy === '') {
			this.stopReadingForOthers();
		} else if (!this.isReadingMinions()) {
			this.minionsForOthers = new AbortController();
			this.followMinions(AbortSignal.any([this.minionsForOthers.signal, this.controller.signal]));
		} else if (askedBy !== this.minionsAskedBy && this.reachesStore() && !this.minions.isTableNeeded()) {
			this.passMinionsOn();
		}

		this.minionsAskedBy = askedBy;
	}

	/** Returns whether another host is asked than before. */
	private chooseMinionSource(): boolean {
		const isNeeded = this.isDispatching() && this.minions.isTableNeeded();
		const before = this.minionSource.name;
		this.minionSource.choose(this.now(), isNeeded ? this.peers.minionSources() : []);
		if (this.minionSource.name === before) {
			return false;
		}

		this.report('minions-from', {peer: this.minionSource.name, before});
		return true;
	}

	private isReadingMinions(): boolean {
		return this.isDispatching() || this.minionsForOthers !== undefined;
	}

	private reachesStore(): boolean {
		return this.declarations.reachesStore() && (!this.isReadingMinions() || this.minions.reachesStore());
	}

	private stopReadingForOthers(): void {
		this.minionsForOthers?.abort();
		this.minionsForOthers = undefined;
	}

	/** Sends the minions to the dispatchers that the store turns away and that ask this host for them. */
	private passMinionsOn(): void {
		for (const {name, zone} of this.peers.hostsThatAskForMinions()) {
			const minions = [...this.minions.table.values()].filter(minion => minion.zone === zone);
			this.peerServer.sendToHost(name, {type: 'minions', minions});
		}
	}

	private publishDeclarations(): void {
		const {current} = this.declarations;
		if (current !== undefined) {
			this.peerServer.sendToOutdated(current.version, {type: 'declarations', declarations: current});
		}
	}

	/** Sends this host's status to the other hosts at once. */
	private publishStatus(): void {
		this.peers.sendStatus(this.status());
		this.peerServer.sendStatus(true);
	}

	private publishDispatchers(): void {
		const hosts = this.knownDispatchers();
		const names = hosts.map(host => `${host.name} ${host.bornAt}`).join(',');
		if (names !== this.lastPublishedDispatchers) {
			this.lastPublishedDispatchers = names;
			this.peerServer.broadcast({type: 'dispatchers', hosts});
		}
	}

	private tickIntervalMs(): number {
		return this.isDispatching() || this.isReadingSockets ? hostTiming.tickMs : hostTiming.heartbeatMs;
	}

	private async runTickLoop(): Promise<void> {
		while (!this.controller.signal.aborted) {
			const wasReadingSockets = this.isReadingSockets;
			const intervalMs = this.tickIntervalMs();
			await sleep(intervalMs);
			const now = this.now();
			const pausedMs = now - this.lastTickAt - intervalMs;
			this.delay.record(pausedMs);
			if (!this.pauseGuard.isAwake()) {
				this.report('waiting-for-sockets', {pausedMs: Math.round(pausedMs)});
			}

			if (pausedMs > hostTiming.pauseThresholdMs) {
				this.report('frozen', {forMs: Math.round(pausedMs)});
				this.claim.releaseAll('this host was paused');
			}

			this.lastTickAt = now;
			this.callerLease.recordTick();
			this.claim.tick();
			// The sockets are read between two ticks, so a process that is always late waits for one tick only.
			this.isReadingSockets = !wasReadingSockets && pausedMs > hostTiming.lateTickMs;
			if (!this.isReadingSockets) {
				this.listenedAt = now;
				this.peerServer.tick();
				this.peers.tick();
			}

			const isHeartbeatDue = now - this.lastHeartbeatAt >= hostTiming.heartbeatMs;
			if (isHeartbeatDue || wasReadingSockets) {
				this.lastHeartbeatAt = now;
				this.peers.sendStatus(this.status());
				this.peerServer.sendStatus(false);
				this.evaluate();
			}
		}
	}
}

const listenAt = async (server: HttpServer, address: string): Promise<void> => {
	const parsed = parseAddress(address);
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(parsed?.port, parsed?.ip, () => {
			resolve();
		});
	});
};
