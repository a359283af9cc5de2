/** Routers of several entry hosts in memory over a shared log; connections between hosts and to the log can be cut. */
import {
	createHomeKey, formatHomeToken, silentLogger, type Job, type JobAnswer, type Limits,
} from 'chivestream-core';
import {createMemoryStream, type FakeClock, type MemoryStream} from 'chivestream-stand-ins';
import {createClaims, type Claimant, type Claims} from '../claims.js';
import {createEpochs, type Epochs} from '../epochs.js';
import {createJobRegistry} from '../job-registry.js';
import {createJobRouter, type JobRouter, type ClaimantClient} from '../job-router.js';

/** One host of the fixture. */
export type RouterHost = {
	claimant: Claimant;
	router: JobRouter;
	claims: Claims;
	epochs: Epochs;
	/** Keys of the jobs that it ran, in the order of their starts. */
	runs: string[];
	/** Whether other hosts can forward jobs to it. */
	isReachable: boolean;
	/** Whether its answers to forwarded jobs are lost. */
	losesAnswers: boolean;
	/** Whether the other hosts regard this incarnation as ended. */
	isClosed: boolean;
	/** Whether its connection to the log is cut. */
	isLogCut: boolean;
	/** Creates a home key of this host in its current epoch. */
	createKey: (suffix: string) => string;
};

const limits: Limits = {maxTasksPerJob: 180, maxDeadlineMs: 60_000, retryRatio: 0.1};
const runMs = 100;

/** Creates a set of hosts that share a log and forward jobs to each other; `addHost` starts one. */
export const createRouterHosts = (clock: FakeClock): {stream: MemoryStream; hosts: Map<string, RouterHost>; addHost: (id: string, incarnation: string) => RouterHost} => {
	const stream = createMemoryStream(clock);
	const hosts = new Map<string, RouterHost>();
	const findHost = ({hostId, incarnation}: Claimant) => hosts.get(`${hostId}/${incarnation}`);

	const claimantClient: ClaimantClient = {
		async submit(home, job) {
			const host = findHost(home);
			if (!host?.isReachable) {
				return undefined;
			}

			const answer = await host.router.submitForwarded(structuredClone(job));
			return host.losesAnswers ? undefined : answer;
		},
		fetch: async (home, key, waitDeadline) => findHost(home)?.router.fetchLocal(key, waitDeadline),
		cancel: async (home, key) => findHost(home)?.router.cancelLocal(key),
		hasEnded: home => findHost(home)?.isClosed ?? false,
	};

	const addHost = (id: string, incarnation: string): RouterHost => {
		const claimant = {hostId: id, incarnation};
		const runs: string[] = [];
		const epochs = createEpochs({now: clock.now, epochMs: 1000, openEpochs: 3});
		const registry = createJobRegistry({now: clock.now, maxRecords: 100, maxAnswerBytes: 10_000});
		const claims = createClaims({
			self: claimant, stream: stream.connect(() => host.isLogCut), clock, logger: silentLogger, retentionMs: 60_000,
		});
		const router = createJobRouter({
			self: claimant,
			clock,
			epochs,
			registry,
			claims,
			claimantClient,
			run: async job => new Promise<JobAnswer>(resolve => {
				runs.push(job.key);
				clock.at(clock.now() + runMs, () => {
					resolve({key: job.key, state: 'complete', results: job.tasks.map(({payload}) => payload)});
				});
			}),
			cancelRun: () => true,
			limits: () => limits,
			acceptsNewJobs: () => true,
			maxKeyAgeMs: 20_000,
			clockSkewMs: 1000,
		});
		const host: RouterHost = {
			claimant,
			router,
			claims,
			epochs,
			runs,
			isReachable: true,
			losesAnswers: false,
			isClosed: false,
			isLogCut: false,
			createKey: suffix => createHomeKey(formatHomeToken({...claimant, epoch: epochs.current()}), suffix),
		};
		hosts.set(`${id}/${incarnation}`, host);
		void claims.follow(new AbortController().signal);
		return host;
	};

	return {stream, hosts, addHost};
};

/** Creates a job of two tasks. */
export const createJob = (clock: FakeClock, key: string, overrides: Partial<Job> = {}): Job => ({
	key,
	team: 'day-a',
	upstream: 'lens',
	isIdempotent: false,
	deadline: clock.now() + 10_000,
	createdAt: clock.now(),
	tasks: [{payload: {box: 1}}, {payload: {box: 2}}],
	...overrides,
});
