/** One entry host: callers' service, links to other hosts, and the zone's dispatcher while it has the claim. */
/* eslint-disable no-await-in-loop -- a task takes one step after the other */
import {createServer, type Server as HttpServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {createRandom, randomInteger} from 'chivestream-core';
import {
	openStore, parseJson, readinessPath, topic,
} from 'chivestream-platform';
import {parseAddress} from 'chivestream-settings';
import {z} from 'zod';
import {createCallerService, type CallerService} from './caller-service.js';
import {DeclarationsFollower} from './declarations-follower.js';
import {DispatchService} from './dispatch-service.js';
import {chooseDispatcher, contact, type Choice} from './election.js';
import {type Report} from './host-log.js';
import {
	fromMessage, runJob, toMessage, type DispatcherContact,
} from './job-client.js';
import {type HostRecord, type HostStatus, type Reply} from './messages.js';
import {createHostMetrics, type HostMetrics} from './metrics.js';
import {MinionFollower} from './minion-follower.js';
import {PeerServer} from './peer-server.js';
import {serveStreams} from './peer-service.js';
import {Peers} from './peers.js';
import {type HostSettings} from './settings.js';
import {hostTiming} from './timing.js';

/** The store counts as in reach for so long after its last answer, in milliseconds. */
const storeReachMs = 2500;

/** Between two looks at the list of hosts in the store: at first, and later on, in milliseconds. */
const directoryMs = {first: 500, later: 5000} as const;

/** Looks at the list of hosts that come soon after the start. */
const firstDirectoryReads = 4;

/** How long the store may take to answer, in milliseconds. */
const storeAnswerMs = 1000;

/** Tokens count milliseconds since this time, so that they fit into 53 bits with their random part. */
const tokenEpoch = Date.UTC(2025, 0, 1);

/** Values of the random part of a token, which tells hosts apart that claim in the same millisecond. */
const tokenSalts = 1024;

/** Tokens of one claim: one for each lifetime of a minion that is met. */
const tokensPerClaim = 64;

/** By how much the next token rises when a minion has seen a higher one, in milliseconds of token time. */
const tokenStepMs = 10_000;

/** Time in which connections opened before the balancer has noticed the stop are still served, in milliseconds. */
const stopServiceMs = 2200;

/** Time before the end by force in which the host ends by itself, in milliseconds. */
const stopMarginMs = 400;

const msPerSecond = 1000;
const okStatus = 200;
const unavailableStatus = 503;

/** A running entry host. */
export class EntryHost {
	private readonly settings: HostSettings;
	private readonly report: Report;
	private readonly metrics: HostMetrics;
	private readonly record: HostRecord;
	private readonly random = createRandom(Date.now() % (2 ** 31));
	private readonly startedAt = performance.now();
	private readonly store;
	private readonly declarations: DeclarationsFollower;
	private readonly minions: MinionFollower;
	private readonly peers: Peers;
	private readonly peerServer: PeerServer;
	private readonly callers: CallerService;
	private readonly controller = new AbortController();
	private readonly waiters = new Set<() => void>();
	private readonly readinessServer: HttpServer;
	private peerListener: Awaited<ReturnType<typeof serveStreams>> | undefined;
	private service: DispatchService | undefined;
	private minionsController: AbortController | undefined;
	private choice: Choice = {kind: 'none'};
	private isLeaving = false;
	private hasReadDirectory = false;
	private fencedAt = Number.NEGATIVE_INFINITY;
	private tokenOffsetMs = 0;
	private lastTickAt = performance.now();
	private lastHeartbeatAt = 0;
	private lastDispatchers = '';
	private readonly now: () => number;

	constructor(settings: HostSettings, writeLine: Report) {
		const now = () => performance.now();
		this.now = now;
		this.settings = settings;
		this.metrics = createHostMetrics({
			jobs: () => this.service?.dispatcher.jobs.size ?? 0,
			waitingTasks: () => this.service?.dispatcher.waitingTasks() ?? 0,
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
		this.store = openStore(settings.store);
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
				if (this.service === undefined && from.zone === this.record.zone) {
					this.minions.replace(minions);
				}
			},
		});
		this.peerServer = new PeerServer({
			now,
			greet: () => this.greetings(),
			noteHost: host => {
				this.peers.add([host]);
			},
			submit: (message, settle) => {
				if (this.service === undefined) {
					settle({kind: 'released', doneTasks: []});
				} else {
					this.service.dispatcher.submit(fromMessage(message, now()), settle);
				}
			},
			cancel: id => {
				this.service?.dispatcher.cancel(id);
			},
		});
		this.readinessServer = this.createReadinessServer();
		this.callers = createCallerService({
			now,
			report,
			declarations: () => this.declarations.current,
			runJob: job => runJob({
				now,
				report,
				findDispatcher: zone => this.findDispatcher(zone),
				untilChange: async deadline => this.untilChange(deadline),
			}, job),
			pendingJobs: route => this.pendingJobs(route),
			isLeaving: () => this.isLeaving,
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
		void this.followDirectory();
		void this.tickAlong();
	}

	/** Finishes what is in progress and ends; new connections are served until the balancer has noticed. */
	async stop(): Promise<void> {
		const stopAt = this.now();
		const endAt = stopAt + (this.settings.bounds.stopGraceSeconds * msPerSecond) - stopMarginMs;
		this.report('stopping', {inProgress: this.callers.inProgress()});
		this.isLeaving = true;
		this.endService('stopping');
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
		this.minionsController?.abort();
		const {service} = this;
		this.service = undefined;
		this.peers.close();
		this.peerListener?.forceShutdown();
		for (const server of [this.callers.server, this.readinessServer, this.metrics.server]) {
			server.close();
			server.closeAllConnections();
		}

		service?.release();
		await this.store.close();
	}

	/** Whether the balancer should send connections here. */
	isReady(): boolean {
		return !this.isLeaving && this.declarations.current !== undefined && this.findDispatcher() !== undefined;
	}

	/** Whether this host dispatches for its zone. */
	isDispatching(): boolean {
		return this.service !== undefined;
	}

	/** Tasks that can begin at once in other zones, as far as this host knows. */
	roomElsewhere(): number {
		return this.peers.otherDispatchers().reduce((sum, link) => sum + (link.status?.freeTasks ?? 0), 0);
	}

	private createReadinessServer(): HttpServer {
		return createServer((request, response) => {
			const isReady = request.url?.startsWith(readinessPath) === true && this.isReady();
			response.statusCode = isReady ? okStatus : unavailableStatus;
			response.end();
		});
	}

	private status(): HostStatus {
		return {
			claim: this.service?.token ?? 0,
			isLeaving: this.isLeaving,
			declarationsVersion: this.declarations.current?.version ?? 0,
			freeTasks: this.service?.dispatcher.spareTasks() ?? 0,
		};
	}

	private greetings(): Reply[] {
		const {current} = this.declarations;
		return [
			{
				type: 'hello', host: this.record, status: this.status(), hosts: this.peers.all(),
			},
			{type: 'dispatchers', hosts: this.knownDispatchers()},
			...(current === undefined ? [] : [{type: 'declarations', declarations: current} as const]),
			...(this.service === undefined ? [] : [{type: 'minions', minions: this.zoneMinions()} as const]),
		];
	}

	private zoneMinions() {
		return [...this.minions.table.values()].filter(minion => minion.zone === this.record.zone);
	}

	private knownDispatchers(): HostRecord[] {
		const own = this.choice.kind === 'follow' ? [this.choice.record] : [];
		return [...own, ...this.peers.dispatcherRecords()];
	}

	private pendingJobs(route: string): number {
		let count = 0;
		for (const job of this.service?.dispatcher.jobs.values() ?? []) {
			count += job.request.route === route && job.tasks.every(task => task.run === undefined) ? 1 : 0;
		}

		return count;
	}

	/** A dispatcher to hand jobs to: of a given zone, or the own zone's or else another's. */
	private findDispatcher(zone?: string): DispatcherContact | undefined {
		if (zone === undefined || zone === this.record.zone) {
			const own = this.ownDispatcher();
			if (own !== undefined || zone !== undefined) {
				return own;
			}
		}

		const link = this.peers.otherDispatchers().find(other => zone === undefined || other.record.zone === zone);
		return link === undefined ? undefined : this.contactOf(link.record.name, link.record.zone);
	}

	private ownDispatcher(): DispatcherContact | undefined {
		const {service, choice} = this;
		if (service !== undefined) {
			return {
				name: this.record.name,
				zone: this.record.zone,
				claim: service.token,
				submit(job, settle) {
					service.dispatcher.submit(job, settle);
				},
				cancel(id) {
					service.dispatcher.cancel(id);
				},
			};
		}

		if (choice.kind !== 'follow') {
			return undefined;
		}

		const link = this.peers.link(choice.record.name);
		return link?.status !== undefined && link.status.claim > 0 ? this.contactOf(choice.record.name, this.record.zone) : undefined;
	}

	private contactOf(name: string, zone: string): DispatcherContact | undefined {
		const link = this.peers.link(name);
		return link === undefined
			? undefined
			: {
				name,
				zone,
				claim: link.status?.claim ?? 0,
				submit: (job, settle) => {
					link.submit(toMessage(job, this.now()), settle);
				},
				cancel(id) {
					link.cancel(id);
				},
			};
	}

	private async untilChange(deadline: number): Promise<void> {
		await new Promise<void>(resolve => {
			const finish = () => {
				clearTimeout(timer);
				this.waiters.delete(finish);
				resolve();
			};

			const timer = setTimeout(finish, Math.max(1, deadline - this.now()));
			this.waiters.add(finish);
		});
	}

	/** Chooses the zone's dispatcher anew, and takes or gives up the claim. */
	private evaluate(): void {
		const now = this.now();
		const self = {
			record: this.record, claim: this.service?.token ?? 0, isLeaving: this.isLeaving, contact: contact.alive,
		};
		const others = this.peers.candidates();
		const canReachStore = this.declarations.sinceAnswerMs() < storeReachMs;
		const choice = chooseDispatcher(self, others, canReachStore);
		if (choice.kind !== this.choice.kind || (choice.kind === 'follow' && this.choice.kind === 'follow' && choice.record.name !== this.choice.record.name)) {
			this.report('dispatcher-chosen', {
				choice: choice.kind,
				dispatcher: choice.kind === 'follow' ? choice.record.name : undefined,
				canReachStore,
				others: others.map(other => `${other.record.name} ${other.contact} ${other.claim}`),
			});
		}

		this.choice = choice;
		if (this.service !== undefined && !(choice.kind === 'follow' && choice.record.name === this.record.name)) {
			this.endService('another host dispatches');
		}

		const hasGathered = now > this.startedAt + hostTiming.gatherMs || (this.hasReadDirectory && this.peers.hasHeardZone());
		const isYielding = now < this.fencedAt + hostTiming.yieldMs;
		if (choice.kind === 'claim' && hasGathered && !isYielding) {
			this.beginService();
		}

		this.tellDispatchers();
		for (const wake of this.waiters) {
			wake();
		}
	}

	private beginService(): void {
		const tokenTime = Date.now() - tokenEpoch + this.tokenOffsetMs;
		const token = ((tokenTime * tokenSalts) + randomInteger(this.random, tokenSalts)) * tokensPerClaim;
		const {bounds} = this.settings;
		const service = new DispatchService({
			token,
			leaseMs: bounds.leaseMs,
			farFactor: bounds.farFactor,
			now: this.now,
			random: this.random,
			report: this.report,
			otherZones: () => this.peers.otherDispatchers().map(link => ({
				zone: link.record.zone,
				get freeTasks() {
					return link.status?.freeTasks ?? 0;
				},
				set freeTasks(count: number) {
					if (link.status !== undefined) {
						link.status.freeTasks = count;
					}
				},
			})),
			noteFenced: () => {
				this.noteFenced(service);
			},
		});
		this.report('dispatching', {token, minions: this.zoneMinions().length});
		this.service = service;
		this.choice = {kind: 'follow', record: this.record};
		service.setMinions(this.zoneMinions());
		this.minionsController = new AbortController();
		void this.minions.follow(this.minionsController.signal);
		this.tellStatus();
	}

	private endService(reason: string): void {
		if (this.service === undefined) {
			return;
		}

		this.report('dispatching-ended', {token: this.service.token, reason});
		const {service} = this;
		this.service = undefined;
		this.minionsController?.abort();
		this.tellStatus();
		service.release();
	}

	/** A minion has seen a higher token: another host of the zone dispatches as well. */
	private noteFenced(service: DispatchService): void {
		if (this.service !== service) {
			return;
		}

		const others = this.peers.candidates();
		const alive = others.filter(other => other.contact === contact.alive).length;
		const isCutOff = alive === 0 && others.length > 0;
		this.tokenOffsetMs += tokenStepMs;
		if (isCutOff) {
			this.fencedAt = this.now();
		}

		this.endService(isCutOff ? 'fenced off by a host that is out of reach' : 'a minion has seen a higher token');
		this.evaluate();
	}

	private noteMinions(): void {
		if (this.service !== undefined) {
			const minions = this.zoneMinions();
			this.service.setMinions(minions);
			this.peerServer.tellZone(this.record.zone, {type: 'minions', minions});
		}
	}

	private tellDeclarations(): void {
		const {current} = this.declarations;
		if (current !== undefined) {
			this.peerServer.tellOlder(current.version, {type: 'declarations', declarations: current});
		}
	}

	private tellStatus(): void {
		const status = this.status();
		this.peers.tell(status);
		this.peerServer.tell({type: 'status', status});
	}

	private tellDispatchers(): void {
		const hosts = this.knownDispatchers();
		const names = hosts.map(host => `${host.name} ${host.bornAt}`).join(',');
		if (names !== this.lastDispatchers) {
			this.lastDispatchers = names;
			this.peerServer.tell({type: 'dispatchers', hosts});
		}
	}

	private async followDirectory(): Promise<void> {
		const value = JSON.stringify(this.record);
		let isWritten = false;
		let reads = 0;
		while (!this.controller.signal.aborted) {
			if (!isWritten) {
				const written = await this.store.writeRecord(topic.hosts, this.record.name, value, storeAnswerMs);
				isWritten = written.isOk();
			}

			const result = await this.store.readSnapshot(topic.hosts, storeAnswerMs);
			if (result.isOk()) {
				this.hasReadDirectory = true;
				const records = result.value.records.map(({value: bytes}) => parseRecord(bytes));
				this.peers.add(records.filter(record => record !== undefined));
			}

			reads += 1;
			await sleep(reads <= firstDirectoryReads || !isWritten ? directoryMs.first : directoryMs.later);
		}
	}

	private async tickAlong(): Promise<void> {
		while (!this.controller.signal.aborted) {
			await sleep(hostTiming.tickMs);
			const now = this.now();
			if (now - this.lastTickAt > hostTiming.frozenMs) {
				this.report('frozen', {forMs: Math.round(now - this.lastTickAt)});
				this.endService('this host stood still');
			}

			this.lastTickAt = now;
			this.service?.tick();
			this.peerServer.tick();
			if (now - this.lastHeartbeatAt >= hostTiming.heartbeatMs) {
				this.lastHeartbeatAt = now;
				this.tellStatus();
				this.evaluate();
			}
		}
	}
}

const hostRecord = z.object({
	name: z.string(), zone: z.string(), address: z.string(), bornAt: z.number(), cpuShare: z.number(),
});

/** A host's entry in the store; undefined if it can't be read. */
const parseRecord = (value: Uint8Array | undefined): HostRecord | undefined =>
	hostRecord.safeParse(value === undefined ? undefined : parseJson(value)).data;

const listenAt = async (server: HttpServer, address: string): Promise<void> => {
	const parsed = parseAddress(address);
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(parsed?.port, parsed?.ip, () => {
			resolve();
		});
	});
};
