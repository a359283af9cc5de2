/** Generates a trace for a deployment from a seed. */
import {createRandom, pickRandom, type Random} from 'chivestream-core';
import {
	connectionsPerMinion, drawDeclaredMs, drawSpeeds, drawTeam, drawWidth, drawWorkMs, hostsPerZone, type Profile, profiles, slotsPerMinion, zones,
} from './deployments.js';
import {injectFault} from './faults.js';
import {
	type Deployment, type JobEvent, statedOutcome, type Trace,
} from './trace.js';

/** What to generate. */
export type GeneratorOptions = {
	profile: string;
	/** Offered work over what all slots can do. */
	load: number;
	seed: number;
	fault: string;
	/** Time over which jobs arrive, in milliseconds. */
	lengthMs?: number;
};

const defaultLengthMs = 60_000;
const warmUpShare = 1 / 6;
const jobsToEstimateWork = 20_000;
const overloadFrom = 0.95;
const quotaPerTeam = 720;
const retryRatio = 0.2;

const createDeployment = (profile: Profile, options: Required<GeneratorOptions>, random: Random): Deployment => ({
	kind: 'deployment',
	format: 1,
	profile: profile.name,
	load: options.load,
	seed: options.seed,
	fault: 'none',
	warmUpUntil: options.lengthMs * warmUpShare,
	endsAt: options.lengthMs,
	preference: profile.preference,
	oneWayMs: {caller: profile.callerOneWayMs, withinZone: profile.withinZoneOneWayMs, betweenZones: profile.betweenZonesOneWayMs},
	hosts: zones.flatMap(zone => Array.from({length: hostsPerZone}, (_, index) => ({id: `entry-${zone}-${index + 1}`, zone}))),
	minions: zones.flatMap(zone => drawSpeeds(random).map((speed, index) => ({
		id: `minion-${zone}-${index + 1}`, zone, slots: slotsPerMinion, connections: connectionsPerMinion, speed,
	}))),
	teams: profile.teamNames.map(name => ({name, weight: 1, maxTasksInFlight: quotaPerTeam})),
	retryRatio,
});

/** Work that all slots do in a millisecond, in milliseconds at speed 1. */
export const capacityOf = ({minions}: Deployment): number =>
	minions.reduce((sum, {slots, speed}) => sum + (slots * speed), 0);

const drawTasks = (random: Random, profile: Profile) => Array.from({length: drawWidth(random, profile)}, () => {
	const workMs = drawWorkMs(random);
	return {workMs, declaredMs: drawDeclaredMs(random, workMs)};
});

const meanWorkPerJob = (profile: Profile): number => {
	const random = createRandom(1);
	let sum = 0;
	for (let index = 0; index < jobsToEstimateWork; index++) {
		for (const task of drawTasks(random, profile)) {
			sum += task.workMs;
		}
	}

	return sum / jobsToEstimateWork;
};

const drawJobs = (random: Random, profile: Profile, deployment: Deployment): JobEvent[] => {
	const meanGapMs = meanWorkPerJob(profile) / (capacityOf(deployment) * deployment.load);
	const outcome = deployment.load < overloadFrom ? statedOutcome.complete : statedOutcome.completeOrRefused;
	const jobs: JobEvent[] = [];
	for (let at = 0; ;) {
		at += -Math.log(1 - random()) * meanGapMs;
		if (at >= deployment.endsAt) {
			return jobs;
		}

		jobs.push({
			kind: 'job',
			at,
			key: `job-${jobs.length}`,
			team: drawTeam(random, profile),
			hostId: pickRandom(random, deployment.hosts).id,
			deadline: at + profile.deadlineMs,
			tasks: drawTasks(random, profile),
			outcome,
		});
	}
};

/** A trace; the same options give the same trace. */
export const generateTrace = (options: GeneratorOptions): Trace => {
	const profile = Object.hasOwn(profiles, options.profile) ? profiles[options.profile] : undefined;
	if (!profile) {
		throw new Error(`there is no profile ${options.profile}; name one of ${Object.keys(profiles).join(', ')}`);
	}

	const random = createRandom(options.seed);
	const deployment = createDeployment(profile, {lengthMs: defaultLengthMs, ...options}, random);
	const trace = {deployment, events: drawJobs(random, profile, deployment)};
	return injectFault(trace, options.fault, createRandom(options.seed + 1));
};
