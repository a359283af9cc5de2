/** A simulated site for tests that say what happens when: they send jobs over HTTP, and stop or kill hosts and minions. */
import {createRandom, randomInteger, type Random} from 'chivestream-core';
import {Checker} from 'chivestream-site-stand-ins';
import {type EntryHost} from '../host.js';
import {SimulatedHttp} from './simulated-http.js';
import {SimulatedSite, type EntryHostConstructor, type SimulatedSiteOptions} from './simulated-site.js';
import {type SimulatedMinion} from './simulated-minion.js';
import {type CallerResult} from './site.js';

/** Sizes and bounds of a site, all of whose hosts are in one zone. */
export type ScriptedSiteOptions = {seed: number; hosts: number; minions: number; bounds?: SimulatedSiteOptions['bounds']};

/** A job, each of whose tasks takes `workMs`. */
export type ScriptedJob = {id: string; count: number; workMs: number};

const taskMillicores = 14_000;
const minionMillicores = 32_000;
const callerTimeoutMs = 8000;

/** Longest time from one check of a condition to the next, in milliseconds. */
const mostPollMs = 50;

/** Time after which a condition counts as one that never holds, in milliseconds. */
const mostWaitMs = 60_000;

/** Runs a simulated site step by step. */
export class ScriptedSite {
	readonly site: SimulatedSite;
	readonly http: SimulatedHttp;
	readonly checker = new Checker();
	private readonly random: Random;
	private readonly workMsByJob = new Map<string, number>();
	private readonly runningTasks = new Map<string, Set<string>>();

	constructor({seed, hosts, minions, bounds}: ScriptedSiteOptions) {
		this.random = createRandom(seed + 1);
		this.site = new SimulatedSite({
			seed,
			zones: Array.from({length: hosts}, () => 'z'),
			minionsPerZone: {z: minions},
			resendsAtOnce: false,
			faults: [],
			lengthMs: 0,
			bounds: {stopGraceSeconds: 6, ...bounds},
			workMsOfJob: job => this.workMsByJob.get(job) ?? 0,
			observer: {
				recordStart: (minion, task, number) => {
					this.checker.recordStart(minion, minionMillicores, task, number);
					this.runningTasks.set(minion, new Set([...this.runningTasks.get(minion) ?? [], task]));
				},
				recordEnd: (minion, task, number) => {
					this.checker.recordEnd(minion, task, number);
					this.runningTasks.get(minion)?.delete(task);
				},
			},
		});
		this.http = new SimulatedHttp(this.site.simulation, this.site.network);
	}

	/** Starts the site, and waits until all hosts are ready. */
	async start(EntryHostClass: EntryHostConstructor): Promise<void> {
		this.site.start(EntryHostClass);
		await this.until(() => this.hosts().every(host => host.isReady()) && this.hosts().some(host => host.isDispatching()));
	}

	hosts(): EntryHost[] {
		return this.site.hosts.map(({entryHost}) => entryHost!);
	}

	/** Index of the first host that dispatches. */
	dispatcherIndex(): number {
		return this.hosts().findIndex(host => host.isDispatching());
	}

	/** The minion on which a task runs. */
	busyMinion(): SimulatedMinion {
		return this.site.minions.find(({record}) => (this.runningTasks.get(record.id)?.size ?? 0) > 0)!;
	}

	/** Lets time pass until a condition holds and is noticed. */
	async until(condition: () => boolean): Promise<void> {
		const {simulation} = this.site;
		const endAt = simulation.time + mostWaitMs;
		while (!condition()) {
			if (simulation.time > endAt) {
				throw new Error(`the condition does not hold within ${mostWaitMs} ms`);
			}

			// eslint-disable-next-line no-await-in-loop -- polls are sequential
			await this.pass(1 + randomInteger(this.random, mostPollMs));
		}
	}

	/** Lets time pass; the times at which minions start are in whole milliseconds. */
	async pass(ms: number): Promise<void> {
		await this.site.simulation.runUntil(this.site.simulation.time + ms);
	}

	/** Lets time pass until a promise has resolved. */
	async untilResolved<Value>(promise: Promise<Value>): Promise<Value> {
		let isResolved = false;
		void promise.finally(() => {
			isResolved = true;
		});
		await this.until(() => isResolved);
		return promise;
	}

	/** Sends a job to a host. */
	async submit(host: number, {id, count, workMs}: ScriptedJob): Promise<CallerResult> {
		this.checker.recordJob(id, taskMillicores);
		this.workMsByJob.set(id, workMs);
		return this.http.send({
			address: this.site.hosts[host]!.settings.listen.callers,
			method: 'POST',
			path: `/read/${id}`,
			headers: {host: 'lens.example', 'chivestream-deadline-ms': String(callerTimeoutMs)},
			body: JSON.stringify({
				task_spec: 'x',
				best_effort: true,
				steps: [{
					count, cpu: taskMillicores, mem_mb: 64, estimate_ms: workMs,
				}],
			}),
		});
	}

	/** Stops a host as planned; its process ends after that. */
	async stopHost(index: number): Promise<void> {
		const {process, entryHost} = this.site.hosts[index]!;
		await this.untilResolved(this.site.simulation.runAs(process, async () => entryHost!.stop()));
		this.killHost(index);
	}

	killHost(index: number): void {
		const {process} = this.site.hosts[index]!;
		process.isAlive = false;
		this.site.network.close(process);
		this.http.cut(process);
	}

	/** Crashes a minion, which never listens again. Its next incarnation may still write its entry. */
	stopListening(minion: SimulatedMinion, writesEntry: boolean): void {
		const {network} = this.site;
		minion.crash();
		network.closeMinion(minion.record.id);
		network.refuse(minion.record.id, Number.POSITIVE_INFINITY);
		if (writesEntry) {
			minion.restart();
		}
	}
}
