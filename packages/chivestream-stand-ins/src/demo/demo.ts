/** One run of the demo: a cluster, its load, the events on the way and the verdict. */
import {createRandom, systemClock, waitUntil} from 'chivestream-core';
import {
	readStarts, startCluster, type Cluster, type CountedStarts,
} from '../cluster/index.js';
import {runEvents, type EventResult} from './events.js';
import {sortSlotSpeeds} from './ideal.js';
import {runLoad, type LoadResult} from './load.js';
import {planJobs, type PlannedJob} from './plan.js';
import {deployments} from './profiles.js';
import {startScraper, type Scraper} from './scraper.js';
import {judge, type Verdict} from './verdict.js';

/** How to run the demo. */
export type DemoOptions = {
	seed: number;
	/** End of the load, in milliseconds since its start. */
	endAt: number;
	/** Factor on the job rates of the deployments. */
	rateFactor: number;
};

/** Exchanges beyond one for each job and one for each task. */
export type WastedMessages = {
	/** Tasks that a minion refused. */
	refusals: number;
	/** Jobs handed to the entry host that is their home. */
	forwards: number;
	/** Requests for another entry host's free slots. */
	loanRequests: number;
	/** Copies of jobs that callers sent again. */
	resubmissions: number;
	/** Messages of all of these, a request and an answer each, over the number of tasks. */
	perTask: number;
};

/** What a run of the demo showed. */
export type DemoResult = {
	verdict: Verdict;
	wasted: WastedMessages;
	configurationInForceMs: number;
	/** Time from the drain of a minion to the last task that started there; 0 when none did. */
	newWorkAfterLeaveMs: number;
	events: EventResult;
};

const zones = ['a', 'b', 'c'] as const;
const hostsPerZone = 3;
const minionsPerZone = 10;
const minionSpeeds = [0.6, 0.8, 1, 1, 1.3] as const;
const hostListLagMs = 2000;
const callers = 24;
const jobTimeoutMs = 15_000;
/** Entry hosts that have just met hold off from one another's slots for a while. */
const warmUpMs = 4000;
const messagesPerExchange = 2;

const startDemoCluster = async (seed: number): Promise<Cluster> => startCluster({
	zones,
	hostsPerZone,
	fleets: deployments.map(({upstream, preference}) => ({
		upstream, preference, minionsPerZone, speeds: minionSpeeds,
	})),
	teams: Object.fromEntries(deployments.flatMap(({teams}) => Object.entries(teams))),
	seed,
	hostListLagMs,
});

const planAll = ({seed, endAt, rateFactor}: DemoOptions): PlannedJob[] => {
	const random = createRandom(seed);
	return deployments
		.flatMap(deployment => planJobs(random, deployment, {endAt, rateFactor}))
		.toSorted((left, right) => left.sendAt - right.sendAt);
};

const countWastedMessages = (load: LoadResult, counted: readonly CountedStarts[], scraper: Scraper): WastedMessages => {
	const refusals = counted.reduce((sum, {requests, total}) => sum + requests - total, 0);
	const forwards = scraper.sum('chivestream_forwards_total');
	const loanRequests = scraper.sum('chivestream_loan_requests_total');
	const {resubmissions} = load;
	const exchanges = refusals + forwards + loanRequests + resubmissions;
	const tasks = load.outcomes.reduce((sum, {job}) => sum + job.tasks.length, 0);
	return {
		refusals, forwards, loanRequests, resubmissions, perTask: exchanges * messagesPerExchange / tasks,
	};
};

const runOn = async (cluster: Cluster, options: DemoOptions): Promise<DemoResult> => {
	await waitUntil(systemClock, Date.now() + warmUpMs);
	const scraper = startScraper(cluster.entries);
	const [load, events] = await Promise.all([
		runLoad(planAll(options), {
			balancerAddress: cluster.balancer.address, callers, seed: options.seed, jobTimeoutMs,
		}),
		runEvents(cluster),
	]);
	await scraper.close();

	const minions = cluster.fleets.flatMap(fleet => fleet.minions);
	const counted = await Promise.all(minions.map(async ({address}) => readStarts(address)));
	const drainedMinion = await readStarts(events.drainedMinionAddress);
	const verdict = judge({
		outcomes: load.outcomes,
		counted,
		slotSpeeds: Object.fromEntries(cluster.fleets.map(fleet => [fleet.upstream, sortSlotSpeeds(fleet.minions)])),
		drainedHostId: events.drainedHostId,
	});
	return {
		verdict,
		wasted: countWastedMessages(load, counted, scraper),
		configurationInForceMs: events.configurationInForceMs,
		newWorkAfterLeaveMs: Math.max(0, (drainedMinion.lastStartAt ?? 0) - events.minionDrainedAt),
		events,
	};
};

/** Runs the demo; every process that it starts has ended when it resolves or rejects. */
export const runDemo = async (options: DemoOptions): Promise<DemoResult> => {
	const cluster = await startDemoCluster(options.seed);
	try {
		return await runOn(cluster, options);
	} finally {
		await cluster.stop();
	}
};
