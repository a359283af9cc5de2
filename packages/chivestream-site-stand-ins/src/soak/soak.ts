/** Randomized soak test: runs real host processes, injects external faults, and checks what callers and minions observe. */
import {mkdtempSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	createRandom, pickRandom, randomInteger, type Random,
} from 'chivestream-core';
import {request} from 'undici';
import {Checker} from '../checker.js';
import {availability} from '../http.js';
import {startMinionStandIn, type MinionStandIn} from '../minion.js';
import {startStoreStandIn, type StoreStandIn} from '../store.js';
import {
	createCallers, soakRoute, type CallerTally, type Callers,
} from './callers.js';
import {HostProcess, hostPorts} from './host-process.js';
import {forwardingMode, startProxy, type Proxy} from './proxy.js';

/** Sets of faults. A seed injects the same faults only from the same set. */
export const faultSet = {
	/** Faults of hosts, the store, minions and declarations. */
	basic: 'basic',
	/** Tasks that crash their minions, and capacities that change, as well. */
	all: 'all',
} as const;

/** One of the sets of faults. */
export type FaultSet = (typeof faultSet)[keyof typeof faultSet];

/** Options of a soak. */
export type SoakOptions = {
	seed: number;
	/** Duration of faults and load, in milliseconds. */
	lengthMs: number;
	hosts: number;
	minions: number;
	zones: number;
	/** The faults that are injected; `all` by default. */
	faults?: FaultSet;
	/** Path of the host's program. */
	program: string;
	/** Receives a line for each injected fault. */
	log: (line: string) => void;
};

/** Result of a soak. */
export type SoakResult = {
	seed: number;
	tally: CallerTally;
	/** Number of runs that minions started. */
	starts: number;
	/** Largest number of crashes under one task. */
	maxCrashes: number;
	/** Violations as `<rule>: <detail>`; empty if the soak passed. */
	violations: string[];
	/** Folder with the hosts' logs. */
	folder: string;
};

type Site = {
	random: Random;
	store: StoreStandIn;
	proxies: Proxy[];
	hosts: HostProcess[];
	minions: MinionStandIn[];
	callers: Callers;
	violations: string[];
	/** Newest version of the declarations. */
	version: number;
	/** Share of the submitted jobs that have a deadly task. */
	deadlyShare: number;
	/** When an unplanned fault last started or ended, in milliseconds of the monotonic clock. */
	lastUnplannedFaultAt: number;
	log: (line: string) => void;
};

/** A fault. A planned one must not break a request, unless an unplanned one has just disturbed the site. */
type Fault = {name: string; isPlanned: boolean; inject: (site: Site) => Promise<void>};

const upstream = 'soak';
const leaseMs = 1000;
const capacity = 32_000;
const heartbeatIntervalMs = 500;
/** Time without faults after which the site must have recovered, in milliseconds. */
const settleMs = 4000;
const versionPollMs = 200;
const okStatus = 200;
/** Number of values used for one octet of a loopback address. */
const octetRange = 250;

const randomBetween = (random: Random, least: number, most: number) => least + (random() * (most - least));

const writeDeclarations = (site: Pick<Site, 'store'>, version: number) => {
	const route = (name: string, prefix: string) => ({
		name, host: soakRoute.host, path_prefix: prefix, service: upstream, priority: 0, max_attempts: 3, stretch: 2, target_latency_ms: 1000, timeout_ms: 4000,
	});
	site.store.write('keyed.op', 'config', JSON.stringify({
		version, routes: [route('run', soakRoute.prefix), route('version', `/v${version}/`)], services: [{name: upstream}],
	}));
};

const basicFaults: readonly Fault[] = [
	{
		name: 'kill',
		isPlanned: false,
		async inject({random, hosts}) {
			const host = pickRandom(random, hosts);
			host.signal('SIGKILL');
			await host.waitForExit();
			await sleep(randomBetween(random, 0, 1500));
			host.start();
		},
	},
	{
		name: 'stop',
		isPlanned: true,
		async inject(site) {
			const host = pickRandom(site.random, site.hosts);
			const stoppedAt = performance.now();
			const requests = [...site.callers.inProgress(host)];
			host.signal('SIGTERM');
			await host.waitForExit();
			if (site.lastUnplannedFaultAt < stoppedAt - settleMs) {
				const brokenCount = requests.filter(({isBroken}) => isBroken).length;
				if (brokenCount > 0) {
					site.violations.push(`lost: ${brokenCount} requests failed during the planned stop of ${host.options.name}`);
				}
			}

			host.start();
		},
	},
	{
		name: 'freeze',
		isPlanned: false,
		async inject({random, hosts}) {
			const host = pickRandom(random, hosts);
			host.signal('SIGSTOP');
			await sleep(randomBetween(random, 200, 3000));
			host.signal('SIGCONT');
		},
	},
	{
		name: 'store of one host',
		isPlanned: false,
		async inject({random, proxies}) {
			const proxy = pickRandom(random, proxies);
			proxy.setForwardingMode(pickRandom(random, [forwardingMode.delayed, forwardingMode.silent, forwardingMode.oneWay, forwardingMode.reset]));
			await sleep(randomBetween(random, 500, 4000));
			proxy.setForwardingMode(forwardingMode.open);
		},
	},
	{
		name: 'store',
		isPlanned: false,
		async inject({random, store}) {
			store.setAvailability(pickRandom(random, [availability.silent, availability.busy, availability.reset]));
			await sleep(randomBetween(random, 500, 4000));
			store.setAvailability(availability.up);
		},
	},
	{
		name: 'dropped history',
		isPlanned: false,
		async inject({store}) {
			store.dropRecords('keyed.op');
			store.dropRecords('keyed.servers');
		},
	},
	{
		name: 'minion unreachable',
		isPlanned: false,
		async inject({random, minions}) {
			const minion = pickRandom(random, minions);
			minion.setAvailability(pickRandom(random, [availability.silent, availability.busy, availability.reset]));
			await sleep(randomBetween(random, 500, 3000));
			minion.setAvailability(availability.up);
		},
	},
	{
		name: 'minion restart',
		isPlanned: false,
		async inject({random, minions, store}) {
			const minion = pickRandom(random, minions);
			minion.crash();
			store.write('keyed.servers', minion.id, minion.createRegistryEntry());
		},
	},
	{
		name: 'delayed start requests',
		isPlanned: false,
		async inject({random, minions}) {
			for (const minion of minions) {
				minion.delayStarts(0.1, random);
			}

			await sleep(randomBetween(random, 1000, 3000));
			for (const minion of minions) {
				minion.delayStarts(0, random);
			}
		},
	},
	{
		name: 'declarations',
		isPlanned: true,
		async inject(site) {
			site.version += 1 + randomInteger(site.random, 3);
			writeDeclarations(site, site.version);
		},
	},
];

const allFaults: readonly Fault[] = [
	...basicFaults,
	{
		name: 'deadly tasks',
		isPlanned: false,
		async inject(site) {
			site.deadlyShare = randomBetween(site.random, 0.02, 0.15);
			await sleep(randomBetween(site.random, 500, 4000));
			site.deadlyShare = 0;
		},
	},
	{
		// Starts are checked against the full capacity, since a host that can't read the store does not learn of a smaller one.
		name: 'shrunk capacity',
		isPlanned: false,
		async inject({random, minions}) {
			const minion = pickRandom(random, minions);
			minion.setCapacity(Math.round(capacity * random()));
			await sleep(randomBetween(random, 500, 4000));
			minion.setCapacity(capacity);
		},
	},
];

const faultsBySet: Record<FaultSet, readonly Fault[]> = {basic: basicFaults, all: allFaults};

const injectFaults = async (site: Site, faults: readonly Fault[], until: number) => {
	const pendingInjections: Array<Promise<void>> = [];
	while (performance.now() < until) {
		const fault = pickRandom(site.random, faults);
		site.log(`${fault.name} (version ${site.version})`);
		if (!fault.isPlanned) {
			site.lastUnplannedFaultAt = performance.now();
		}

		const injection = fault.inject(site).then(() => {
			if (!fault.isPlanned) {
				site.lastUnplannedFaultAt = performance.now();
			}
		});
		pendingInjections.push(injection);
		// Half of the faults overlap the next one.
		// eslint-disable-next-line no-await-in-loop -- faults are injected in series
		await (site.random() < 0.5 ? injection : sleep(randomBetween(site.random, 100, 1500)));
	}

	// An injection that is still in progress may restart a process, so it must finish before the processes are ended.
	await Promise.all(pendingInjections);
};

/**
 * Repeatedly requests the route of the newest version from a host and, once it is served, the route of the version before it. A
 * host must not return to an earlier version without a restart.
 */
const checkServedVersions = async (site: Site, host: HostProcess, signal: AbortSignal) => {
	let startCount = 0;
	let servedVersion = 0;
	const isServed = async (version: number) => request(`http://${host.address}/v${version}/`, {
		headers: {host: soakRoute.host}, signal: AbortSignal.timeout(1000),
	}).then(async ({statusCode, body}) => {
		await body.dump();
		return statusCode === okStatus;
	}, () => false);
	while (!signal.aborted) {
		if (startCount !== host.startCount) {
			({startCount} = host);
			servedVersion = 0;
		}

		const previousVersion = servedVersion;
		const newestVersion = site.version;
		// eslint-disable-next-line no-await-in-loop -- requests are sequential
		if (await isServed(newestVersion)) {
			servedVersion = newestVersion;
		}

		// eslint-disable-next-line no-await-in-loop -- requests are sequential
		if (previousVersion > 0 && previousVersion < servedVersion && await isServed(previousVersion) && startCount === host.startCount) {
			site.violations.push(`config: ${host.options.name} serves version ${previousVersion} after ${servedVersion}`);
		}

		// eslint-disable-next-line no-await-in-loop -- pause between two polls
		await sleep(versionPollMs);
	}
};

const generateLoad = async (site: Site, until: number) => {
	const pendingJobs = new Set<Promise<unknown>>();
	while (performance.now() < until) {
		const workMs = Math.round(randomBetween(site.random, 10, site.random() < 0.1 ? 1500 : 200));
		const isDeadly = site.deadlyShare > 0 && site.random() < site.deadlyShare;
		const job = site.callers.submit(randomInteger(site.random, site.hosts.length), workMs, isDeadly);
		pendingJobs.add(job);
		void job.finally(() => {
			pendingJobs.delete(job);
		});
		// eslint-disable-next-line no-await-in-loop -- jobs are submitted at intervals
		await sleep(randomBetween(site.random, 10, 80));
	}

	await Promise.all(pendingJobs);
};

const checkRecovery = async (site: Site, checker: Checker) => {
	await sleep(settleMs);
	for (const [index, host] of site.hosts.entries()) {
		// eslint-disable-next-line no-await-in-loop -- hosts are checked one after the other
		const answer = await site.callers.submit(index, 10);
		if (answer !== okStatus) {
			site.violations.push(`recovery: ${host.options.name} answered ${answer} after ${settleMs} ms without faults`);
		}
	}

	for (const id of site.callers.refusedIds) {
		checker.recordRefusal(id);
	}
};

const createSite = async (options: SoakOptions, checker: Checker, folder: string): Promise<Site> => {
	const random = createRandom(options.seed);
	const store = await startStoreStandIn();
	const workMsByJob = new Map<string, number>();
	const deadlyTasks = new Set<string>();
	const ips = Array.from({length: options.hosts}, (_, index) =>
		`127.${1 + (Math.floor(process.pid / octetRange) % octetRange)}.${1 + (process.pid % octetRange)}.${index + 1}`);
	const proxies = await Promise.all(ips.map(async () => startProxy(store.address)));
	const hosts = ips.map((ip, index) => new HostProcess({
		name: `h${index}`,
		zone: `z${index % options.zones}`,
		ip,
		store: proxies[index]!.address,
		seeds: ips.slice(0, 3).map(seed => `${seed}:${hostPorts.peers}`),
		folder,
		program: options.program,
		leaseMs,
	}));
	const minions = await Promise.all(Array.from({length: options.minions}, async (_, index) => startMinionStandIn({
		id: `i-${index}`,
		zone: `z${index % options.zones}`,
		upstream,
		checker,
		capacity,
		leaseMs,
		workMs: task => workMsByJob.get(task.slice(0, task.indexOf('.'))) ?? 0,
		isDeadly: task => deadlyTasks.has(task),
	})));
	return {
		random,
		store,
		proxies,
		hosts,
		minions,
		callers: createCallers({
			random, checker, hosts, workMsByJob, deadlyTasks,
		}),
		violations: [],
		version: 1,
		deadlyShare: 0,
		lastUnplannedFaultAt: Number.NEGATIVE_INFINITY,
		log: options.log,
	};
};

/** Runs one soak. It ends only the processes that it started itself. */
export const runSoak = async (options: SoakOptions): Promise<SoakResult> => {
	const checker = new Checker();
	const folder = mkdtempSync(path.join(tmpdir(), `chivestream-soak-${options.seed}-`));
	const site = await createSite(options, checker, folder);
	const writeHeartbeats = () => {
		for (const minion of site.minions) {
			if (!minion.isDown()) {
				site.store.write('keyed.servers', minion.id, minion.createRegistryEntry());
			}
		}
	};

	writeHeartbeats();
	writeDeclarations(site, site.version);
	const heartbeatTimer = setInterval(writeHeartbeats, heartbeatIntervalMs);
	for (const host of site.hosts) {
		host.start();
	}

	const controller = new AbortController();
	try {
		await sleep(settleMs);
		const versionChecks = site.hosts.map(async host => checkServedVersions(site, host, controller.signal));
		const until = performance.now() + options.lengthMs;
		await Promise.all([generateLoad(site, until), injectFaults(site, faultsBySet[options.faults ?? faultSet.all], until)]);
		await checkRecovery(site, checker);
		controller.abort();
		await Promise.all(versionChecks);
	} finally {
		controller.abort();
		clearInterval(heartbeatTimer);
		await Promise.all(site.hosts.map(async host => host.close()));
		for (const proxy of site.proxies) {
			proxy.close();
		}

		await site.callers.close();
		await Promise.all(site.minions.map(async minion => minion.close()));
		await site.store.close();
	}

	return {
		seed: options.seed,
		tally: site.callers.tally,
		starts: checker.starts,
		maxCrashes: checker.maxCrashes(),
		violations: [...checker.violations.map(({rule, detail}) => `${rule}: ${detail}`), ...site.violations],
		folder,
	};
};
