/** Entry hosts in this process, with stand-ins for the store and the minions. */
import {createServer} from 'node:net';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	Checker, startMinionStandIn, startStoreStandIn, type MinionStandIn, type StandInServer, type StoreStandIn,
} from 'chivestream-site-stand-ins';
import {request, Agent} from 'undici';
import {EntryHost} from '../host.js';
import {hostSettingsSchema, type HostSettings} from '../settings.js';

/** The answer to a request; all fields are undefined if the connection broke. */
export type CallerResult = {
	status: number | undefined;
	body: unknown;
	retryAfter: string | undefined;
};

/** A running site: the store, the minions and the entry hosts, all in one process. */
export type TestSite = {
	store: StoreStandIn;
	minions: MinionStandIn[];
	checker: Checker;
	/** Names of tasks that crash each minion that starts them. */
	deadlyTasks: Set<string>;
	/** Number of log events of all hosts, by their name. */
	eventCounts: Map<string, number>;
	/** The longest time since the start of the site in which this process, with all its hosts, handled no event, in milliseconds. */
	longestPauseMs: () => number;
	hosts: Array<{host: EntryHost; settings: HostSettings}>;
	/** The addresses of the store at which the hosts are served, by index; empty unless `hasEntrances` is set. */
	entrances: StandInServer[];
	/** Submits a job of `count` tasks to a host. Each task takes `workMs`; a negative value makes it fail after that time. */
	submit: (hostIndex: number, job: {id: string; count: number; workMs: number; prefix?: string; callerTimeoutMs?: number}) => Promise<CallerResult>;
	get: (hostIndex: number, path: string) => Promise<CallerResult>;
	/** Cancels a job at a host; asks again for as long as the host answers with 503. */
	cancel: (hostIndex: number, id: string) => Promise<CallerResult>;
	/** The text of a host's metrics. */
	metrics: (hostIndex: number) => Promise<string>;
	/** Publishes declarations with one route for each path prefix. */
	declare: (version: number, prefixes?: string[]) => void;
	/** Keeps the first `minionCount` minions registered from now on. */
	register: (minionCount: number) => void;
	/** Removes the registry entries of minions, which keep running; they register again at `endLapse`. */
	lapse: (lapsing: readonly MinionStandIn[]) => void;
	endLapse: () => void;
	startHost: (index: number) => Promise<void>;
	/** Index of the first host that dispatches, once there is one. */
	dispatcherIndex: () => Promise<number>;
	untilReady: () => Promise<void>;
	close: () => Promise<void>;
};

/** Thousandths of a core that each task needs; a minion has capacity for two tasks. */
export const taskMillicores = 14_000;

const capacity = 32_000;
const defaultLeaseMs = 1000;
const hostName = 'lens.example';
const upstream = 'desk';
const pollIntervalMs = 50;
const heartbeatMs = 300;
const pauseCheckMs = 20;
const usableByteValues = 250;
const portsPerHost = 4;
const unavailableStatus = 503;

/** A loopback address derived from the process id, so that concurrent test processes share no ports. */
const loopbackIp = (index: number): string => {
	const high = 1 + (Math.floor(process.pid / usableByteValues) % usableByteValues);
	return `127.${high}.${1 + (process.pid % usableByteValues)}.${index + 1}`;
};

/** Finds free ports of an address. All are held until the last is found, so that no port occurs twice. */
const freePorts = async (ip: string, count: number): Promise<number[]> => {
	const servers = Array.from({length: count}, () => createServer());
	const ports = await Promise.all(servers.map(async server => new Promise<number>((resolve, reject) => {
		server.once('error', reject);
		server.listen(0, ip, () => {
			const address = server.address();
			resolve(typeof address === 'object' && address !== null ? address.port : 0);
		});
	})));
	await Promise.all(servers.map(async server => new Promise(resolve => {
		server.close(resolve);
	})));
	return ports;
};

const createSettings = async (index: number, zone: string, {store, leaseMs}: {store: string; leaseMs: number}): Promise<HostSettings> => {
	const ip = loopbackIp(index);
	const [callers, readiness, peers, metrics] = await freePorts(ip, portsPerHost);
	return hostSettingsSchema.parse({
		host: {name: `h${index}`, zone, cpuShare: 1},
		listen: {callers: `${ip}:${callers}`, readiness: `${ip}:${readiness}`, peers: `${ip}:${peers}`, metrics: `${ip}:${metrics}`},
		seeds: [],
		store,
		bounds: {leaseMs, stopGraceSeconds: 6, farFactor: 1},
	});
};

/** Measures by how much the timers of this process are late. */
const watchPauses = () => {
	let longestMs = 0;
	let checkedAt = performance.now();
	const check = () => {
		longestMs = Math.max(longestMs, performance.now() - checkedAt - pauseCheckMs);
		checkedAt = performance.now();
	};

	const timer = setInterval(check, pauseCheckMs);
	return {
		longestMs: () => Math.max(longestMs, performance.now() - checkedAt - pauseCheckMs),
		stop() {
			clearInterval(timer);
		},
	};
};

/** Polls until a condition holds; the timeout of the test limits the wait. */
export const until = async (condition: () => boolean | Promise<boolean>): Promise<void> => {
	// eslint-disable-next-line no-await-in-loop -- polls are sequential
	while (!await condition()) {
		// eslint-disable-next-line no-await-in-loop -- pause between two polls
		await sleep(pollIntervalMs);
	}
};

/** Settings of a site. */
export type SiteOptions = {
	zones?: readonly string[];
	/** Number of minions that are registered from the start; `register` adds the others. All by default. */
	initiallyRegistered?: number;
	/** Longest lease that a minion grants, in milliseconds. */
	leaseMs?: number;
	/** Whether the store serves each host at an address of its own. */
	hasEntrances?: boolean;
};

/** Starts a site. Hosts and minions are spread evenly over the zones. */
export const startSite = async (hostCount: number, minionCount: number, {zones = ['z'], initiallyRegistered = minionCount, leaseMs = defaultLeaseMs, hasEntrances = false}: SiteOptions = {}): Promise<TestSite> => {
	const pauses = watchPauses();
	const checker = new Checker();
	const store = await startStoreStandIn();
	const entrances = await Promise.all(Array.from({length: hasEntrances ? hostCount : 0}, async () => store.openEntrance()));
	const workMsByJob = new Map<string, number>();
	const deadlyTasks = new Set<string>();
	const eventCounts = new Map<string, number>();
	const minions: MinionStandIn[] = [];
	for (let index = 0; index < minionCount; index += 1) {
		// eslint-disable-next-line no-await-in-loop -- the servers are few and start quickly
		minions.push(await startMinionStandIn({
			id: `i-${index}`,
			zone: zones[index % zones.length]!,
			upstream,
			checker,
			capacity,
			leaseMs,
			workMs: task => workMsByJob.get(task.slice(0, task.indexOf('.'))) ?? 0,
			isDeadly: task => deadlyTasks.has(task),
		}));
	}

	let registeredCount = initiallyRegistered;
	const lapsedIds = new Set<string>();
	const writeHeartbeats = () => {
		for (const minion of minions.slice(0, registeredCount)) {
			if (!minion.isDown() && !lapsedIds.has(minion.id)) {
				store.write('keyed.servers', minion.id, minion.createRegistryEntry());
			}
		}
	};

	writeHeartbeats();
	const heartbeatTimer = setInterval(writeHeartbeats, heartbeatMs);
	const agent = new Agent({pipelining: 1});
	const hosts: TestSite['hosts'] = [];
	const settings: HostSettings[] = [];

	const call = async (hostIndex: number, path: string, body?: unknown, callerTimeoutMs?: number, method: 'GET' | 'POST' | 'DELETE' = body === undefined ? 'GET' : 'POST'): Promise<CallerResult> => {
		const {status, ...rest} = await request(`http://${settings[hostIndex]!.listen.callers}${path}`, {
			dispatcher: agent,
			method,
			headers: {host: hostName, ...(callerTimeoutMs !== undefined && {'chivestream-deadline-ms': String(callerTimeoutMs)})},
			...(body !== undefined && {body: JSON.stringify(body)}),
		}).then(async response => ({
			status: response.statusCode, body: await response.body.json(), retryAfter: response.headers['retry-after']?.toString(),
		}), () => ({status: undefined, body: undefined, retryAfter: undefined}));
		return {status, ...rest};
	};

	const startHost = async (index: number) => {
		settings[index] ??= await createSettings(index, zones[index % zones.length]!, {store: entrances[index]?.address ?? store.address, leaseMs});
		const host = new EntryHost(settings[index], event => {
			eventCounts.set(event, (eventCounts.get(event) ?? 0) + 1);
		});
		hosts[index] = {host, settings: settings[index]};
		await host.start();
	};

	const declare = (version: number, prefixes: string[] = ['/read/']) => {
		store.write('keyed.op', 'config', JSON.stringify({
			version,
			routes: prefixes.map((prefix, index) => ({
				name: `r${index}`, host: hostName, path_prefix: prefix, service: upstream, priority: index, max_attempts: 3, stretch: 3, target_latency_ms: 3000,
			})),
			services: [{name: upstream}],
		}));
	};

	declare(1);
	await Promise.all(Array.from({length: hostCount}, async (_, index) => startHost(index)));
	const site: TestSite = {
		store,
		minions,
		checker,
		deadlyTasks,
		eventCounts,
		longestPauseMs: () => pauses.longestMs(),
		hosts,
		entrances,
		async submit(hostIndex, {id, count, workMs, prefix = '/read/', callerTimeoutMs = 8000}) {
			checker.recordJob(id, taskMillicores);
			workMsByJob.set(id, workMs);
			return call(hostIndex, `${prefix}${id}`, {
				task_spec: 'x',
				best_effort: true,
				steps: [{
					count, cpu: taskMillicores, mem_mb: 64, estimate_ms: Math.max(1, Math.abs(workMs)),
				}],
			}, callerTimeoutMs);
		},
		get: async (hostIndex, path) => call(hostIndex, path),
		async cancel(hostIndex, id) {
			for (;;) {
				// eslint-disable-next-line no-await-in-loop -- one request after the other
				const result = await call(hostIndex, `/read/${id}`, undefined, undefined, 'DELETE');
				if (result.status !== unavailableStatus) {
					return result;
				}
			}
		},
		async metrics(hostIndex) {
			const {body} = await request(`http://${settings[hostIndex]!.listen.metrics}/metrics`, {dispatcher: agent});
			return body.text();
		},
		declare,
		register(count) {
			registeredCount = count;
			writeHeartbeats();
		},
		lapse(lapsing) {
			for (const {id} of lapsing) {
				lapsedIds.add(id);
				store.write('keyed.servers', id, '');
			}
		},
		endLapse() {
			lapsedIds.clear();
			writeHeartbeats();
		},
		startHost,
		async dispatcherIndex() {
			let found = -1;
			await until(() => {
				found = hosts.findIndex(({host}) => host.isDispatching());
				return found !== -1;
			});
			return found;
		},
		async untilReady() {
			await until(() => hosts.every(({host}) => host.isReady()));
			await until(() => hosts.some(({host}) => host.isDispatching()));
		},
		async close() {
			clearInterval(heartbeatTimer);
			pauses.stop();
			await Promise.all(hosts.map(async ({host}) => host.close()));
			await Promise.all(minions.map(async minion => minion.close()));
			await Promise.all(entrances.map(async entrance => entrance.close()));
			await store.close();
			await agent.destroy();
		},
	};
	return site;
};
