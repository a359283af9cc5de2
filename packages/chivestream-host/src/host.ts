/** One entry host: callers' service, links to other hosts, and a dispatcher for each cell to which it has the claim. */
/* eslint-disable no-await-in-loop -- a task takes one step after the other */
import {createServer, type Server as HttpServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {createStoreClient, readinessPath} from 'chivestream-platform';
import {parseAddress} from 'chivestream-settings';
import {createCallerService, type CallerService} from './caller-service.js';
import {DeclarationsFollower} from './declarations-follower.js';
import {Contacts} from './contacts.js';
import {followDirectory} from './directory.js';
import {type DispatchService} from './dispatch-service.js';
import {type Report} from './host-log.js';
import {fromMessage, runJob} from './job-client.js';
import {type HostRecord, type HostStatus, type Reply} from './messages.js';
import {createHostMetrics, type HostMetrics} from './metrics.js';
import {MinionFollower} from './minion-follower.js';
import {PeerServer} from './peer-server.js';
import {serveStreams} from './peer-service.js';
import {Peers} from './peers.js';
import {applySettings, compareSettings} from './reload.js';
import {type HostSettings} from './settings.js';
import {hostTiming, slowHeartbeatMs} from './timing.js';
import {ZoneClaim} from './zone-claim.js';

/** The store counts as in reach for so long after its last answer, in milliseconds. */
const storeReachMs = 2500;

/** Time in which connections opened before the balancer has noticed the stop are still served, in milliseconds. */
const stopServiceMs = 2200;

/** Time before the end by force in which the host ends by itself, in milliseconds. */
const stopMarginMs = 400;

const msPerSecond = 1000;
const okStatus = 200;
const unavailableStatus = 503;

/** A running entry host. */
export class EntryHost {
	private settings: HostSettings;
	private readonly report: Report;
	private readonly metrics: HostMetrics;
	private readonly record: HostRecord;
	private readonly store;
	private readonly declarations: DeclarationsFollower;
	private readonly minions: MinionFollower;
	private readonly peers: Peers;
	private readonly peerServer: PeerServer;
	private readonly callers: CallerService;
	private readonly claim: ZoneClaim;
	private readonly contacts: Contacts;
	private readonly controller = new AbortController();
	private readonly readinessServer: HttpServer;
	private peerListener: Awaited<ReturnType<typeof serveStreams>> | undefined;
	private isLeaving = false;
	private leavesAt: number | undefined;
	private hasReadDirectory = false;
	private lastTickAt = performance.now();
	private lastHeartbeatAt = 0;
	private lastDispatchers = '';
	private readonly now: () => number;

	constructor(settings: HostSettings, writeLine: Report) {
		const now = () => performance.now();
		this.now = now;
		this.settings = settings;
		this.metrics = createHostMetrics({
			jobs: () => this.sumOfServices(service => service.dispatcher.jobs.size),
			waitingTasks: () => this.sumOfServices(service => service.dispatcher.waitingTasks()),
			declarationsVersion: () => this.declarations.current?.version ?? 0,
		});
		const report: Report = (event, fields) => {
			this.metrics.noteEvent(event);
			writeLine(event, fields);
		};

		this.report = report;
		this.record = {
			name: settings.host.name,
			zone: settings.host.zone,
			address: settings.listen.peers,
			bornAt: Date.now(),
			cpuShare: settings.host.cpuShare,
		};
		this.store = createStoreClient(settings.store);
		this.declarations = new DeclarationsFollower({
			store: this.store,
			report,
			now,
			noteChange: () => {
				this.tellDeclarations();
			},
		});
		this.minions = new MinionFollower({
			store: this.store,
			report,
			now,
			noteChange: () => {
				this.noteMinions();
			},
		});
		this.peers = new Peers({
			self: this.record,
			now,
			report,
			describeSelf: () => this.status(),
			noteChange: () => {
				this.evaluate();
			},
			noteDeclarations: declarations => {
				this.declarations.take(declarations, 'peer');
			},
			noteMinions: (from, minions) => {
				if (!this.isDispatching() && from.zone === this.record.zone) {
					this.minions.replace(minions);
				}
			},
		});
		this.peerServer = new PeerServer({
			now,
			greet: to => this.greetings(to),
			describeSelf: () => this.status(),
			nextInMs: to => this.nextInMs(to),
			noteHost: host => {
				this.peers.add([host]);
			},
			submit: (message, settle) => {
				const service = this.claim.serviceOf(message.cell);
				if (service === undefined) {
					settle({kind: 'released', doneTasks: []});
				} else {
					service.dispatcher.submit(fromMessage(message, now()), settle);
				}
			},
			cancel: id => {
				this.claim.cancel(id);
			},
		});
		this.claim = new ZoneClaim({
			self: this.record,
			bounds: () => this.settings.bounds,
			now,
			report,
			isLeaving: () => this.isLeaving,
			candidates: () => this.peers.candidates(),
			zoneSize: () => this.peers.zoneSize(),
			canReachStore: () => this.declarations.sinceAnswerMs() < storeReachMs,
			hasHeardZone: () => this.hasReadDirectory && this.peers.hasHeardZone(),
			minions: () => this.zoneMinions(),
			followMinions: signal => {
				void this.minions.follow(signal);
			},
			noteClaim: () => {
				this.tellStatus();
			},
			reconsider: () => {
				this.evaluate();
			},
			otherCells: () => this.peers.otherCells(),
		});
		this.contacts = new Contacts({
			self: this.record,
			now,
			choices: () => this.claim.choices,
			services: () => this.claim.services,
			link: name => this.peers.link(name),
			otherDispatchers: () => this.peers.otherDispatchers(),
		});
		this.readinessServer = this.createReadinessServer();
		this.callers = createCallerService({
			now,
			report,
			declarations: () => this.declarations.current,
			runJob: job => runJob({
				now,
				report,
				dispatcherOf: cell => this.contacts.ofCell(cell),
				dispatcherFor: id => this.contacts.forJob(id),
				untilChange: async deadline => this.contacts.untilChange(deadline),
			}, job),
			pendingJobs: route => this.pendingJobs(route),
			isLeaving: () => this.isLeaving,
			leavesAt: () => this.leavesAt,
			noteAnswer: (status, tookMs) => {
				this.metrics.noteAnswer(status, tookMs);
			},
		});
	}

	/** Listens, looks for the others and serves. */
	async start(): Promise<void> {
		const {listen, seeds} = this.settings;
		this.peerListener = await serveStreams(listen.peers, stream => {
			this.peerServer.take(stream);
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
		void this.declarations.follow(this.controller.signal);
		void this.minions.prepare(this.controller.signal);
		void followDirectory({
			store: this.store,
			self: this.record,
			report: this.report,
			noteHosts: hosts => {
				this.hasReadDirectory = true;
				this.peers.add(hosts);
			},
			signal: this.controller.signal,
		});
		void this.tickAlong();
	}

	/** Takes over what of changed settings can be brought into force without a new start, and logs what can't. */
	changeSettings(settings: HostSettings): void {
		this.report('settings-changed', compareSettings(this.settings, settings));
		this.settings = applySettings(this.settings, settings);
		this.peers.addSeeds(settings.seeds);
	}

	/** Finishes what is in progress and ends; new connections are served until the balancer has noticed. */
	async stop(): Promise<void> {
		const stopAt = this.now();
		const endAt = stopAt + (this.settings.bounds.stopGraceSeconds * msPerSecond) - stopMarginMs;
		this.report('stopping', {inProgress: this.callers.inProgress()});
		this.isLeaving = true;
		this.leavesAt = endAt;
		this.claim.endAll('stopping');
		this.tellStatus();
		this.evaluate();
		while (this.now() < endAt && (this.callers.inProgress() > 0 || this.now() < stopAt + stopServiceMs)) {
			await sleep(hostTiming.tickMs);
		}

		this.report('stopped', {inProgress: this.callers.inProgress()});
		await this.close();
	}

	/** Ends at once, as a process that is killed: connections break, and nobody is told. */
	async close(): Promise<void> {
		this.isLeaving = true;
		this.controller.abort();
		this.peers.close();
		this.peerListener?.forceShutdown();
		for (const server of [this.callers.server, this.readinessServer, this.metrics.server]) {
			server.close();
			server.closeAllConnections();
		}

		this.claim.endAll('closed');
		await this.store.close();
	}

	/** Whether the balancer should send connections here. */
	isReady(): boolean {
		return !this.isLeaving && this.declarations.current !== undefined && this.contacts.hasAny();
	}

	/** Whether this host dispatches for a cell of its zone. */
	isDispatching(): boolean {
		return this.claim.services.size > 0;
	}

	/** Tasks that can begin at once in the cells of other hosts, as far as this host knows. */
	roomElsewhere(): number {
		return this.peers.otherCells().reduce((sum, cell) => sum + cell.freeTasks, 0);
	}

	private createReadinessServer(): HttpServer {
		return createServer((request, response) => {
			const isReady = request.url?.startsWith(readinessPath) === true && this.isReady();
			response.statusCode = isReady ? okStatus : unavailableStatus;
			response.end();
		});
	}

	private sumOfServices(count: (service: DispatchService) => number): number {
		return [...this.claim.services.values()].reduce((sum, service) => sum + count(service), 0);
	}

	/** What this host tells a host of itself. */
	private status(to: HostRecord = this.record): HostStatus {
		return {
			claims: this.claim.claims(),
			cellCount: this.claim.cellCount,
			isLeaving: this.isLeaving,
			declarationsVersion: this.declarations.current?.version ?? 0,
			nextInMs: this.nextInMs(to),
		};
	}

	/** Dispatchers tell the hosts of their zone more often than others, which miss them at once. */
	private nextInMs(to: HostRecord): number {
		const isMissedAtOnce = this.isDispatching() && to.zone === this.record.zone;
		return isMissedAtOnce ? hostTiming.heartbeatMs : slowHeartbeatMs(this.peers.zoneSize());
	}

	private greetings(to: HostRecord): Reply[] {
		const {current} = this.declarations;
		return [
			{
				type: 'hello', host: this.record, status: this.status(to), hosts: this.peers.all(),
			},
			{type: 'dispatchers', hosts: this.knownDispatchers()},
			...(current === undefined ? [] : [{type: 'declarations', declarations: current} as const]),
			...(this.isDispatching() ? [{type: 'minions', minions: this.zoneMinions()} as const] : []),
		];
	}

	private zoneMinions() {
		return [...this.minions.table.values()].filter(minion => minion.zone === this.record.zone);
	}

	private knownDispatchers(): HostRecord[] {
		const own = this.claim.choices.flatMap(choice => choice.kind === 'follow' ? [choice.record] : []);
		return [...new Set(own), ...this.peers.dispatcherRecords()];
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

	/** Looks at the zone's dispatchers anew, and tells what has changed. */
	private evaluate(): void {
		this.claim.evaluate();
		this.tellDispatchers();
		this.contacts.noteChange();
	}

	private noteMinions(): void {
		if (this.isDispatching()) {
			const minions = this.zoneMinions();
			this.claim.setMinions(minions);
			this.peerServer.tellZone(this.record.zone, {type: 'minions', minions});
		}
	}

	private tellDeclarations(): void {
		const {current} = this.declarations;
		if (current !== undefined) {
			this.peerServer.tellOlder(current.version, {type: 'declarations', declarations: current});
		}
	}

	/** Tells the other hosts at once what has changed of this one. */
	private tellStatus(): void {
		this.peers.tell(this.status());
		this.peerServer.tellStatus(true);
	}

	private tellDispatchers(): void {
		const hosts = this.knownDispatchers();
		const names = hosts.map(host => `${host.name} ${host.bornAt}`).join(',');
		if (names !== this.lastDispatchers) {
			this.lastDispatchers = names;
			this.peerServer.tell({type: 'dispatchers', hosts});
		}
	}

	private async tickAlong(): Promise<void> {
		while (!this.controller.signal.aborted) {
			const pauseMs = this.isDispatching() ? hostTiming.tickMs : hostTiming.heartbeatMs;
			await sleep(pauseMs);
			const now = this.now();
			const stoodStillMs = now - this.lastTickAt - pauseMs;
			if (stoodStillMs > hostTiming.frozenMs) {
				this.report('frozen', {forMs: Math.round(stoodStillMs)});
				this.claim.endAll('this host stood still');
			}

			this.lastTickAt = now;
			this.claim.tick();
			this.peerServer.tick();
			this.peers.tick();
			if (now - this.lastHeartbeatAt >= hostTiming.heartbeatMs) {
				this.lastHeartbeatAt = now;
				this.peers.tell(this.status());
				this.peerServer.tellStatus(false);
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
