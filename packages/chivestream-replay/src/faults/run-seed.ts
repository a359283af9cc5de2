/**
One seeded run: nine entry hosts in one process on a fake clock, so that a seed gives the same report every time. After
the faults the cluster recovers, and callers resubmit every job that has no answer.
*/
import {
	createRandom, pickRandom, type Clock, type Random,
} from 'chivestream-core';
import {createFakeClock, createMemoryStream, type FakeClock} from 'chivestream-stand-ins';
import {measureUnavailability, type Unavailability} from './availability.js';
import {createCallers, type Callers} from './callers.js';
import {createCluster} from './cluster.js';
import {createConfigurationMonitor} from './configuration-monitor.js';
import {faultKind, planFaults, type FaultKind} from './fault-plan.js';
import {createInjector} from './injector.js';
import {createLinks} from './links.js';
import {createMemoryMinions, minionMode, type MemoryMinion} from './memory-minions.js';
import {createDeclarations, createOperators} from './operators.js';
import {safeguardReplacements, type Safeguard, type SafeguardReplacement} from './safeguards.js';
import {countViolations, type JobViolations} from './job-violations.js';

/** Options of a run. */
export type SeedOptions = {
	seed: number;
	/** Kinds of faults; defaults to all. */
	kinds?: readonly FaultKind[];
	/** Safeguard to disable, to show which violations it prevents. */
	disabledSafeguard?: Safeguard;
};

/** Results of a run. */
export type FaultReport = JobViolations & {
	seed: number;
	/** Number of jobs submitted. */
	jobs: number;
	tasks: number;
	/** Number of copies of jobs submitted. */
	resubmissions: number;
	/** Number of faults injected, by kind. */
	faults: Record<string, number>;
	/** Longest time from a drain in the log until a host without faults last started a task on the drained minion. */
	newWorkAfterLeaveMs: number;
	/** Number of requests that planned stops cut. */
	cutByStop: number;
	/** How often a host or caller saw an older configuration than before, plus accepted commands missing from the log. */
	configurationReverts: number;
	/** Longest time from a version in the log until a host without faults had it in force. */
	configurationInForceMs: number;
	/** How often a caller that sends no version would have seen an older one than before. */
	staleViews: number;
	/** Figures by fault kind, and under `none` for jobs that no fault affected. */
	unavailability: Record<string, Unavailability>;
};

const startupMs = 8000;
const faultPhaseMs = 40_000;
const recoveryPhaseMs = 15_000;
const finalPhaseMs = 15_000;
const resubmissionDeadlineMs = 10_000;
const checkPeriodMs = 50;
/** Mean time between rounds of concurrent operator commands. */
const meanCommandPeriodMs = 2500;
const meanJobPeriodMs = 90;
const fetchShare = 0.2;
const keyEpochMs = 2000;
/** Each run draws the largest clock skew of its hosts from these. */
const maxSkewChoicesMs = [0, 50, 400, 2000] as const;
/** How late changes appear in the platform's list of hosts. */
const hostListLagMs = 10_000;
/** Run time of tasks over the declared time; each minion draws one. */
const slownesses = [0.7, 1, 1, 1.6, 2.5] as const;

const runPeriodically = (clock: Clock, periodMs: () => number, until: number, callback: () => void) => {
	const tick = () => {
		if (clock.now() < until) {
			callback();
			clock.at(clock.now() + periodMs(), tick);
		}
	};

	clock.at(clock.now() + periodMs(), tick);
};

const createMinions = (random: Random): Map<string, MemoryMinion> => {
	const declared = createDeclarations().upstreams.lens?.minions ?? [];
	return new Map(declared.map(({id, zone}) => [id, {
		endpoint: {name: id, zone}, slowness: slownesses[Math.floor(random() * slownesses.length)] ?? 1, mode: minionMode.normal, running: 0,
	}]));
};

const submitJobs = (clock: Clock, random: Random, callers: Callers, until: number) => {
	runPeriodically(clock, () => random() * 2 * meanJobPeriodMs, until, () => {
		callers.submitNewJob();
		const recent = callers.jobs.at(-3);
		if (recent && random() < fetchShare) {
			callers.fetchAnswer(recent);
		}
	});
};

/** Submits every job that has no answer once more. */
const resubmitUnanswered = async (callers: Callers) => {
	const unanswered = callers.jobs.filter(({calls}) => calls.every(({end}) => end?.kind !== 'answered'));
	await Promise.all(unanswered.map(async callerJob => callers.resubmit(callerJob, resubmissionDeadlineMs)));
};

const createRun = (clock: FakeClock, random: Random, replacement: SafeguardReplacement) => {
	const links = createLinks(clock, random);
	const configurationStream = createMemoryStream(clock);
	const claimsStream = createMemoryStream(clock);
	const minionsById = createMinions(random);
	const minions = createMemoryMinions({
		clock, random, links, minions: minionsById, classifyEnd: replacement.classifyEnd,
	});
	const cluster = createCluster({
		clock, random, links, configurationStream, claimsStream, minions, parts: replacement.parts ?? {}, keyEpochMs, maxSkewMs: pickRandom(random, maxSkewChoicesMs), hostListLagMs,
	});
	const callers = createCallers({
		clock, random, links, cluster, alterAnswer: replacement.alterAnswer,
	});
	const operators = createOperators({
		clock, random, cluster, minionIds: [...minionsById.keys()],
	});
	const monitor = createConfigurationMonitor({
		clock, random, links, cluster, stream: configurationStream, sendsSeenVersion: replacement.sendsSeenVersion ?? true,
	});
	const injector = createInjector({
		clock, random, cluster, links, callers, streams: [configurationStream, claimsStream], minions: [...minionsById.values()], plannedStopsWait: replacement.plannedStopsWait ?? true,
	});
	return {
		minions, cluster, callers, operators, monitor, injector,
	};
};

/** Runs one seed and returns its report. */
export const runSeed = async ({seed, kinds = Object.values(faultKind), disabledSafeguard}: SeedOptions): Promise<FaultReport> => {
	const clock = createFakeClock();
	const random = createRandom(seed);
	const replacement: SafeguardReplacement = disabledSafeguard ? safeguardReplacements[disabledSafeguard] : {};
	const {
		minions, cluster, callers, operators, monitor, injector,
	} = createRun(clock, random, replacement);
	for (const endpoint of cluster.endpoints) {
		cluster.start(endpoint);
	}

	await clock.runUntil(operators.declare(createDeclarations()));
	await clock.advance(startupMs);
	const from = clock.now();
	const until = from + faultPhaseMs;
	const faults = planFaults(random, kinds, from, until);
	for (const fault of faults) {
		injector.schedule(fault);
	}

	runPeriodically(clock, () => checkPeriodMs, until + recoveryPhaseMs, monitor.check);
	runPeriodically(clock, () => random() * 2 * meanCommandPeriodMs, until, operators.sendConcurrentCommands);
	submitJobs(clock, random, callers, until + (recoveryPhaseMs / 2));
	await clock.advanceTo(until);
	injector.healAll();
	await clock.advance(recoveryPhaseMs);
	callers.stop();
	void resubmitUnanswered(callers);
	await clock.advance(finalPhaseMs);
	injector.healAll();

	return {
		seed,
		jobs: callers.jobs.length,
		tasks: callers.jobs.reduce((sum, {job}) => sum + job.tasks.length, 0),
		resubmissions: callers.resubmissions(),
		faults: injector.counts,
		...countViolations(callers.jobs, minions.starts),
		newWorkAfterLeaveMs: monitor.newWorkAfterLeaveMs(minions.starts.values()),
		cutByStop: injector.cutByStop(),
		configurationReverts: monitor.reverts() + monitor.lostCommands(operators.accepted),
		configurationInForceMs: monitor.inForceMs(),
		staleViews: monitor.staleViews(),
		unavailability: measureUnavailability(callers.jobs, faults, from, until),
	};
};
