/** The two users' deployments, at the sizes and times of their brief. */
import {
	type Preference, preference, type Random, randomInteger,
} from 'chivestream-core';

/** A range from which a job's width is drawn evenly over its logarithm. */
export type WidthRange = {
	/** Share of the jobs. */
	share: number;
	from: number;
	to: number;
};

/** What a generator needs to know of a deployment. */
export type Profile = {
	name: string;
	preference: Preference;
	callerOneWayMs: number;
	withinZoneOneWayMs: number;
	betweenZonesOneWayMs: number;
	teamNames: string[];
	/** How much busier the busiest team is: team i submits in proportion to 1 / (i + 1) ** skew. */
	teamSkew: number;
	widths: WidthRange[];
	/** Length of a job's deadline in milliseconds. */
	deadlineMs: number;
};

/** Zones of both deployments. */
export const zones = ['zone-a', 'zone-b', 'zone-c'];
/** Entry hosts in each zone. */
export const hostsPerZone = 3;
/** Minions in each zone. */
export const minionsPerZone = 10;
/** Tasks that a minion runs at once. */
export const slotsPerMinion = 8;
/** Connections that a minion accepts at once. */
export const connectionsPerMinion = 64;

const slowestSpeed = 0.5;
const fastestSpeed = 2;
const speedJitter = 0.1;
const shortestMs = 50;
const longestMs = 1000;
const longTaskShare = 0.02;
const shortestLongMs = 2000;
const longestLongMs = 5000;
const declaredDeviation = 0.25;
const wrongShare = 0.05;
const wrongFactor = 10;

/** Both deployments by name. */
export const profiles: Record<string, Profile> = {
	'lens-desk': {
		name: 'lens-desk',
		preference: preference.responseTime,
		callerOneWayMs: 3,
		withinZoneOneWayMs: 0.25,
		betweenZonesOneWayMs: 1.5,
		teamNames: ['day-a', 'day-b'],
		teamSkew: 0,
		widths: [{share: 0.7, from: 1, to: 8}, {share: 0.25, from: 8, to: 32}, {share: 0.05, from: 32, to: 180}],
		deadlineMs: 10_000,
	},
	'film-installers': {
		name: 'film-installers',
		preference: preference.fewMessages,
		callerOneWayMs: 3,
		withinZoneOneWayMs: 0.25,
		betweenZonesOneWayMs: 0.5,
		teamNames: Array.from({length: 12}, (_, index) => `members-${index + 1}`),
		teamSkew: 0.5,
		widths: [{share: 0.6, from: 1, to: 6}, {share: 0.3, from: 6, to: 24}, {share: 0.1, from: 24, to: 180}],
		deadlineMs: 15_000,
	},
};

const drawLogarithmic = (random: Random, from: number, to: number): number => from * ((to / from) ** random());

/** A number of the standard normal distribution. */
const drawNormal = (random: Random): number =>
	Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());

/** Number of tasks of a job. */
export const drawWidth = (random: Random, {widths}: Profile): number => {
	let left = random();
	const range = widths.find(({share}) => {
		left -= share;
		return left < 0;
	}) ?? widths[0]!;
	return Math.min(range.to, Math.floor(drawLogarithmic(random, range.from, range.to + 1)));
};

/** Run time of a task on a minion of speed 1, in milliseconds. */
export const drawWorkMs = (random: Random): number => random() < longTaskShare
	? drawLogarithmic(random, shortestLongMs, longestLongMs)
	: drawLogarithmic(random, shortestMs, longestMs);

/** What a caller declares for a task: near the truth for most, far off for a few. */
export const drawDeclaredMs = (random: Random, workMs: number): number => {
	const near = workMs * Math.exp(declaredDeviation * drawNormal(random));
	if (random() >= wrongShare) {
		return near;
	}

	return random() < 0.5 ? near * wrongFactor : near / wrongFactor;
};

/** Speeds of a zone's minions: evenly over the logarithm from slow to fast, each a little off. */
export const drawSpeeds = (random: Random): number[] => Array.from({length: minionsPerZone}, (_, index) => {
	const even = slowestSpeed * ((fastestSpeed / slowestSpeed) ** (index / (minionsPerZone - 1)));
	return even * (1 + (speedJitter * ((2 * random()) - 1)));
});

/** A team by how much it submits. */
export const drawTeam = (random: Random, {teamNames, teamSkew}: Profile): string => {
	if (teamSkew === 0) {
		return teamNames[randomInteger(random, teamNames.length)]!;
	}

	const shares = teamNames.map((_, index) => 1 / ((index + 1) ** teamSkew));
	let left = random() * shares.reduce((sum, share) => sum + share, 0);
	const index = shares.findIndex(share => {
		left -= share;
		return left < 0;
	});
	return teamNames[Math.max(0, index)]!;
};
