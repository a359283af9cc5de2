/**
One seeded run over all faults together: nine entry hosts in one process on a fake clock, so that a seed gives the same
verdict every time. At the end every fault heals, and every job without an answer is sent once more.
*/
import {
	createRandom, pickRandom, type Clock, type Random,
} from 'chivestream-core';
import {createFakeClock, createMemoryStream, type FakeClock} from 'chivestream-stand-ins';
import {measureUnavailability, type Unavailability} from './availability.js';
import {createCallers, type Callers} from './callers.js';
import {createCluster} from './cluster.js';
import {createConfigurationWatch} from './configuration-watch.js';
import {faultKind, planFaults, type FaultKind} from './fault-plan.js';
import {createInjector} from './inject.js';
import {createLinks} from './links.js';
import {createMemoryMinions, minionMode, type MemoryMinion} from './memory-minions.js';
import {createDeclarations, createOperators} from './operators.js';
import {weakenings, type Mechanism, type Weakening} from './switches.js';
import {judgeJobs, type JobVerdict} from './verdict.js';

/** What to run. */
export type SeedOptions = {
	seed: number;
	/** Kinds of faults; all of them unless given. */
	kinds?: readonly FaultKind[];
	/** A mechanism to switch off, to show what it prevents. */
	switchedOff?: Mechanism;
};

/** What a run has shown. */
export type FaultReport = JobVerdict & {
	seed: number;
	jobs: number;
	tasks: number;
	resubmissions: number;
	faults: Record<string, number>;
	newWorkAfterLeaveMs: number;
	cutByStop: number;
	configurationReverts: number;
	configurationInForceMs: number;
	/** How often a caller that names no version would have seen an older one than before. */
	staleViews: number;
	unavailability: Record<string, Unavailability>;
};

const startMs = 8000;
const faultyMs = 40_000;
const settlingMs = 15_000;
const lastAnswerMs = 15_000;
const lastDeadlineMs = 10_000;
const lookPeriodMs = 50;
const racePeriodMs = 2500;
const jobPeriodMs = 90;
const askShare = 0.2;
const keyEpochMs = 2000;
const skewsMs = [0, 50, 400, 2000] as const;
const listLagMs = 10_000;
const slownesses = [0.7, 1, 1, 1.6, 2.5] as const;

const repeat = (clock: Clock, periodMs: () => number, until: number, work: () => void) => {
	const next = () => {
		if (clock.now() < until) {
			work();
			clock.at(clock.now() + periodMs(), next);
		}
	};

	clock.at(clock.now() + periodMs(), next);
};

const createMinions = (random: Random): Map<string, MemoryMinion> => {
	const declared = createDeclarations().upstreams.lens?.minions ?? [];
	return new Map(declared.map(({id, zone}) => [id, {
		place: {name: id, zone}, slowness: slownesses[Math.floor(random() * slownesses.length)] ?? 1, mode: minionMode.normal, running: 0,
	}]));
};

const sendJobs = (clock: Clock, random: Random, callers: Callers, until: number) => {
	repeat(clock, () => random() * 2 * jobPeriodMs, until, () => {
		callers.submitNew();
		const recent = callers.jobs.at(-3);
		if (recent && random() < askShare) {
			callers.ask(recent);
		}
	});
};

/** Sends every job that has no answer yet once more. */
const resubmitUnanswered = async (callers: Callers) => {
	const unanswered = callers.jobs.filter(({calls}) => calls.every(({end}) => end?.kind !== 'answered'));
	await Promise.all(unanswered.map(async known => callers.resubmit(known, lastDeadlineMs)));
};

const buildRun = (clock: FakeClock, random: Random, weakening: Weakening) => {
	const links = createLinks(clock, random);
	const configurationStream = createMemoryStream(clock);
	const claimsStream = createMemoryStream(clock);
	const minionsById = createMinions(random);
	const minions = createMemoryMinions({
		clock, random, links, minions: minionsById, judge: weakening.judge,
	});
	const cluster = createCluster({
		clock, random, links, configurationStream, claimsStream, minions, parts: weakening.parts ?? {}, keyEpochMs, maxSkewMs: pickRandom(random, skewsMs), listLagMs,
	});
	const callers = createCallers({
		clock, random, links, cluster, alterAnswer: weakening.alterAnswer,
	});
	const operators = createOperators({
		clock, random, cluster, minionIds: [...minionsById.keys()],
	});
	const watch = createConfigurationWatch({
		clock, random, links, cluster, stream: configurationStream, namesVersion: weakening.namesVersion ?? true,
	});
	const injector = createInjector({
		clock, random, cluster, links, callers, streams: [configurationStream, claimsStream], minions: [...minionsById.values()], stopsWait: weakening.stopsWait ?? true,
	});
	return {
		minions, cluster, callers, operators, watch, injector,
	};
};

/** Runs a seed to its report. */
export const runSeed = async ({seed, kinds = Object.values(faultKind), switchedOff}: SeedOptions): Promise<FaultReport> => {
	const clock = createFakeClock();
	const random = createRandom(seed);
	const weakening: Weakening = switchedOff ? weakenings[switchedOff] : {};
	const {
		minions, cluster, callers, operators, watch, injector,
	} = buildRun(clock, random, weakening);
	for (const place of cluster.places) {
		cluster.start(place);
	}

	await clock.runUntil(operators.declare(createDeclarations()));
	await clock.advance(startMs);
	const from = clock.now();
	const until = from + faultyMs;
	const faults = planFaults(random, kinds, from, until);
	for (const fault of faults) {
		injector.schedule(fault);
	}

	repeat(clock, () => lookPeriodMs, until + settlingMs, watch.look);
	repeat(clock, () => random() * 2 * racePeriodMs, until, operators.race);
	sendJobs(clock, random, callers, until + (settlingMs / 2));
	await clock.advanceTo(until);
	injector.healAll();
	await clock.advance(settlingMs);
	callers.stop();
	void resubmitUnanswered(callers);
	await clock.advance(lastAnswerMs);
	injector.healAll();

	return {
		seed,
		jobs: callers.jobs.length,
		tasks: callers.jobs.reduce((sum, {job}) => sum + job.tasks.length, 0),
		resubmissions: callers.resubmissions(),
		faults: injector.counts,
		...judgeJobs(callers.jobs, minions.starts),
		newWorkAfterLeaveMs: watch.newWorkAfterLeaveMs(minions.starts.values()),
		cutByStop: injector.cutByStop(),
		configurationReverts: watch.reverts() + watch.lostCommands(operators.accepted),
		configurationInForceMs: watch.inForceMs(),
		staleViews: watch.staleViews(),
		unavailability: measureUnavailability(callers.jobs, faults, from, until),
	};
};
