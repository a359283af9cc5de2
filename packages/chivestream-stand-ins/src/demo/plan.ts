/** Draws the jobs of a run from the profiles: the same for the same seed. */
import {pickRandom, randomInteger, type Random} from 'chivestream-core';
import {type Deployment, type JobProfile} from './profiles.js';

/** One task to be sent. */
export type PlannedTask = {
	/** Run time on a minion of speed 1. */
	runMs: number;
	declaredMs: number;
};

/** One job to be sent. */
export type PlannedJob = {
	id: string;
	profile: string;
	team: string;
	upstream: string;
	isIdempotent: boolean;
	/** When to send it, in milliseconds since the start of the load. */
	sendAt: number;
	tasks: PlannedTask[];
};

/** How much to draw. */
export type PlanOptions = {
	/** End of the load, in milliseconds since its start. */
	endAt: number;
	/** Factor on the job rates of the deployments. */
	rateFactor: number;
};

const longRunMs = {least: 1000, most: 4000} as const;
const msPerSecond = 1000;
/** Share of declared times that are off by the large factor. */
const wrongShare = 0.05;
const wrongFactor = 10;
const usualError = 2;

const drawLogarithmic = (random: Random, least: number, most: number): number => least * ((most / least) ** random());

const drawDeclaredMs = (random: Random, runMs: number): number => {
	const error = random() < wrongShare ? wrongFactor : usualError;
	return Math.max(1, Math.round(drawLogarithmic(random, runMs / error, runMs * error)));
};

const drawTask = (random: Random, profile: JobProfile): PlannedTask => {
	const {least, most} = random() < profile.longShare ? longRunMs : profile.runMs;
	const runMs = Math.round(drawLogarithmic(random, least, most));
	return {runMs, declaredMs: drawDeclaredMs(random, runMs)};
};

const drawProfile = (random: Random, profiles: readonly JobProfile[]): JobProfile => {
	let rest = random();
	for (const profile of profiles) {
		rest -= profile.share;
		if (rest < 0) {
			return profile;
		}
	}

	return pickRandom(random, profiles);
};

const drawJob = (random: Random, deployment: Deployment, id: string, sendAt: number): PlannedJob => {
	const profile = drawProfile(random, deployment.profiles);
	const {least, most} = profile.tasks;
	const taskCount = least + randomInteger(random, most - least + 1);
	return {
		id,
		profile: profile.name,
		team: pickRandom(random, Object.keys(deployment.teams)),
		upstream: deployment.upstream,
		isIdempotent: profile.isIdempotent,
		sendAt,
		tasks: Array.from({length: taskCount}, () => drawTask(random, profile)),
	};
};

/** The jobs of one deployment, with independent arrivals. */
export const planJobs = (random: Random, deployment: Deployment, {endAt, rateFactor}: PlanOptions): PlannedJob[] => {
	const meanGapMs = msPerSecond / (deployment.jobsPerSecond * rateFactor);
	const jobs: PlannedJob[] = [];
	for (let sendAt = 0; sendAt < endAt; sendAt -= Math.log(1 - random()) * meanGapMs) {
		jobs.push(drawJob(random, deployment, `${deployment.upstream}-${jobs.length}`, sendAt));
	}

	return jobs;
};
