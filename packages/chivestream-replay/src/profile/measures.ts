/** Turns what happened in a replay into the figures. */
import {build as buildHistogram} from 'hdr-histogram-js';
import {jobEnd, type JobEnd} from './entry-model.js';
import {capacityOf} from './generate.js';
import {idealMs, slotSpeeds} from './ideal.js';
import {type MessageCounts, wastedMessages} from './messages.js';
import {
	type Deployment, type JobEvent, type StatedOutcome, statedOutcome,
} from './trace.js';

/** How a job ended, as its caller saw it. */
export type JobRecord = {
	event: JobEvent;
	end: JobEnd | 'lost';
	endedAt: number;
};

/** What a replay leaves behind. */
export type ReplayRecord = {
	deployment: Deployment;
	jobs: JobRecord[];
	messages: MessageCounts;
	/** Work done in time for tasks of complete jobs, by the time at which each task ended. */
	doneWork: Array<{at: number; workMs: number; key: string}>;
	startedTasks: number;
	slotOverruns: number;
	/** Tasks that started more than once. */
	doubleStarts: number;
};

/** The figures of one policy. */
export type Figures = {
	/** Job response time over ideal. */
	responseRatio: {p50: number; p99: number};
	wastedMessagesPerTask: number;
	/** Useful work over the lesser of offered work and capacity. */
	goodput: number;
	/** Share of the jobs that were told at once that they can't run. */
	refused: number;
	slotOverruns: number;
	/** Largest shortfall of a team against its fair share. */
	teamShareError: number;
	/** Share of the jobs that were accepted and failed. */
	failed: number;
	/** Share of the jobs that were given up unfinished after half of their time or more had gone. */
	lateRefusals: number;
	jobs: number;
	tasks: number;
	doubleStarts: number;
	/** Jobs that ended in another way than the trace states. */
	outcomeMismatches: number;
	messages: MessageCounts;
};

const digits = 4;
const ratioScale = 10_000;
const significantDigits = 4;

const round = (value: number): number => Number(value.toFixed(digits));

/** What each team is due: its offered work, or its weighted share of the capacity where that is less. */
export const fairShares = (offered: ReadonlyMap<string, number>, weights: ReadonlyMap<string, number>, capacity: number): Map<string, number> => {
	const shares = new Map<string, number>();
	let left = capacity;
	let openWeight = [...offered.keys()].reduce((sum, team) => sum + weights.get(team)!, 0);
	const perWeight = (team: string) => offered.get(team)! / weights.get(team)!;
	for (const team of [...offered.keys()].toSorted((first, second) => perWeight(first) - perWeight(second))) {
		const weight = weights.get(team)!;
		const share = Math.min(offered.get(team)!, left * weight / openWeight);
		shares.set(team, share);
		left -= share;
		openWeight -= weight;
	}

	return shares;
};

const workOf = ({tasks}: JobEvent): number => tasks.reduce((sum, {workMs}) => sum + workMs, 0);

const worstShare = (jobs: readonly JobRecord[], deployment: Deployment): number => {
	const offered = new Map<string, number>();
	const served = new Map<string, number>();
	for (const {event, end} of jobs) {
		if (end !== jobEnd.cancelled) {
			offered.set(event.team, (offered.get(event.team) ?? 0) + workOf(event));
		}

		if (end === jobEnd.complete) {
			served.set(event.team, (served.get(event.team) ?? 0) + workOf(event));
		}
	}

	const weights = new Map(deployment.teams.map(({name, weight}) => [name, weight]));
	const capacity = capacityOf(deployment) * (deployment.endsAt - deployment.warmUpUntil);
	const errors = [...fairShares(offered, weights, capacity)].map(([team, share]) => Math.max(0, 1 - ((served.get(team) ?? 0) / share)));
	return Math.max(0, ...errors);
};

const measureGoodput = (record: ReplayRecord, measured: readonly JobRecord[]): number => {
	const {deployment, jobs, doneWork} = record;
	const completeKeys = new Set(jobs.filter(({end}) => end === jobEnd.complete).map(({event}) => event.key));
	const useful = doneWork
		.filter(({at, key}) => at >= deployment.warmUpUntil && at < deployment.endsAt && completeKeys.has(key))
		.reduce((sum, {workMs}) => sum + workMs, 0);
	const offered = measured.filter(({end}) => end !== jobEnd.cancelled).reduce((sum, {event}) => sum + workOf(event), 0);
	return useful / Math.min(offered, capacityOf(deployment) * (deployment.endsAt - deployment.warmUpUntil));
};

const measureRatios = (jobs: readonly JobRecord[], deployment: Deployment): Figures['responseRatio'] => {
	const histogram = buildHistogram({numberOfSignificantValueDigits: significantDigits});
	const speeds = slotSpeeds(deployment);
	for (const {event, endedAt, end} of jobs) {
		if (end === jobEnd.complete) {
			histogram.recordValue(Math.round((endedAt - event.at) / idealMs(event, deployment, speeds) * ratioScale));
		}
	}

	return {p50: round(histogram.getValueAtPercentile(50) / ratioScale), p99: round(histogram.getValueAtPercentile(99) / ratioScale)};
};

const allowedEnds: Record<StatedOutcome, ReadonlyArray<JobRecord['end']>> = {
	[statedOutcome.complete]: [jobEnd.complete],
	[statedOutcome.completeOrRefused]: [jobEnd.complete, jobEnd.refused, jobEnd.expired],
	[statedOutcome.completeOrCancelled]: [jobEnd.complete, jobEnd.cancelled],
	[statedOutcome.any]: [...Object.values(jobEnd), 'lost'],
};

/** The figures of a replay, over the jobs that came after the warm-up. */
export const measure = (record: ReplayRecord): Figures => {
	const {deployment, messages} = record;
	const jobs = record.jobs.filter(({event}) => event.at >= deployment.warmUpUntil);
	const share = (isCounted: (job: JobRecord) => boolean) => round(jobs.filter(job => isCounted(job)).length / jobs.length);
	const isLate = ({event, end, endedAt}: JobRecord) =>
		(end === jobEnd.refused || end === jobEnd.expired) && endedAt - event.at > (event.deadline - event.at) / 2;
	return {
		responseRatio: measureRatios(jobs, deployment),
		wastedMessagesPerTask: round(wastedMessages(messages) / record.startedTasks),
		goodput: round(measureGoodput(record, jobs)),
		refused: share(({end}) => end === jobEnd.refused),
		slotOverruns: record.slotOverruns,
		teamShareError: round(worstShare(jobs, deployment)),
		failed: share(({end}) => end === jobEnd.failed || end === jobEnd.expired || end === 'lost'),
		lateRefusals: share(isLate),
		jobs: jobs.length,
		tasks: record.startedTasks,
		doubleStarts: record.doubleStarts,
		outcomeMismatches: jobs.filter(({event, end}) => !allowedEnds[event.outcome].includes(end)).length,
		messages,
	};
};
