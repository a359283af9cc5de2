/** What the callers of both deployments send, as distributions of jobs. */
import {preference, type Preference, type Team} from 'chivestream-core';

/** One kind of request. */
export type JobProfile = {
	name: string;
	/** Share of the deployment's jobs. */
	share: number;
	isIdempotent: boolean;
	tasks: {least: number; most: number};
	/** Bounds of the usual run times, which are spread evenly on a logarithmic scale. */
	runMs: {least: number; most: number};
	/** Share of tasks that take from one to several seconds. */
	longShare: number;
};

/** One deployment: an upstream and what is sent to it. */
export type Deployment = {
	upstream: string;
	preference: Preference;
	teams: Record<string, Team>;
	jobsPerSecond: number;
	profiles: JobProfile[];
};

const maxTasksInFlight = 5000;
const team: Team = {weight: 1, maxTasksInFlight};

/** The lens desk: a sorter waits for every answer. */
export const lensDesk: Deployment = {
	upstream: 'lens',
	preference: preference.responseTime,
	teams: {'day-a': team, 'day-b': team},
	jobsPerSecond: 50,
	profiles: [
		{
			name: 'lens-power', share: 0.5, isIdempotent: true, tasks: {least: 1, most: 4}, runMs: {least: 50, most: 300}, longShare: 0,
		},
		{
			name: 'frame-grade', share: 0.3, isIdempotent: true, tasks: {least: 8, most: 24}, runMs: {least: 50, most: 1000}, longShare: 0.005,
		},
		{
			name: 'box-tag', share: 0.2, isIdempotent: false, tasks: {least: 1, most: 1}, runMs: {least: 50, most: 150}, longShare: 0,
		},
	],
};

/** The film association: members ask from vans and job sites. */
export const filmStock: Deployment = {
	upstream: 'film',
	preference: preference.fewMessages,
	teams: {vans: team, shops: team},
	jobsPerSecond: 14,
	profiles: [
		{
			name: 'stock-check', share: 0.5, isIdempotent: true, tasks: {least: 4, most: 16}, runMs: {least: 50, most: 300}, longShare: 0,
		},
		{
			name: 'glazing-price', share: 0.2, isIdempotent: true, tasks: {least: 20, most: 180}, runMs: {least: 50, most: 1000}, longShare: 0.002,
		},
		{
			name: 'warranty', share: 0.3, isIdempotent: false, tasks: {least: 1, most: 1}, runMs: {least: 80, most: 400}, longShare: 0,
		},
	],
};

/** Both deployments, served by one system in the demo. */
export const deployments = [lensDesk, filmStock] as const;
