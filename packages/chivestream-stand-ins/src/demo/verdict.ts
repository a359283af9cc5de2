/** Holds what the callers got against what the minions started. */
import {parseHome, type JobAnswer} from 'chivestream-core';
import {build} from 'hdr-histogram-js';
import {z} from 'zod';
import {type CountedStarts} from '../cluster/index.js';
import {idealMs} from './ideal.js';
import {createPayload, type JobOutcome} from './load.js';

/** Counts of broken promises; all are 0 in a sound run. */
export type Violations = {
	/** Tasks that started more than once. */
	startedTwice: number;
	/** Complete answers without a result for each task. */
	partial: number;
	/** Results that belong to another task. */
	crossed: number;
	/** Jobs that were told neither complete nor failed before their deadline. */
	unanswered: number;
	/** Tasks that started although their job was told "not run". */
	notRunButRan: number;
	/** Jobs of the drained entry host that failed after they were accepted. */
	cutByStop: number;
};

/** Percentiles of response time over ideal. */
export type Ratio = {
	p50: number;
	p99: number;
};

/** What a run showed. */
export type Verdict = {
	jobs: number;
	tasks: number;
	starts: number;
	complete: number;
	/** Failed jobs by failure code. */
	failed: Record<string, number>;
	/** Why callers gave up on a key before they had its answer. */
	giveUps: Record<string, number>;
	violations: Violations;
	/** Response time over ideal, of the complete jobs. */
	ratio: Ratio;
	ratioByUpstream: Record<string, Ratio>;
};

/** What the verdict is drawn from. */
export type Evidence = {
	outcomes: readonly JobOutcome[];
	counted: readonly CountedStarts[];
	/** Speeds of all slots of each upstream, fastest first. */
	slotSpeeds: Record<string, number[]>;
	drainedHostId: string;
};

const resultSchema = z.object({payload: z.object({tag: z.string()})});
const ratioScale = 1000;
const roundingScale = 100;

const sumStarts = (counted: readonly CountedStarts[]): Map<string, number> => {
	const sums = new Map<string, number>();
	for (const {starts} of counted) {
		for (const [task, count] of Object.entries(starts)) {
			sums.set(task, (sums.get(task) ?? 0) + count);
		}
	}

	return sums;
};

const countCrossed = (outcome: JobOutcome, results: readonly unknown[]): number => results
	.filter((result, index) => {
		const parsed = resultSchema.safeParse(result);
		return !parsed.success || parsed.data.payload.tag !== createPayload(outcome.job, index % outcome.job.tasks.length).tag;
	}).length;

/** Starts of a job's task, over all keys under which the job was sent. */
const startsOfTask = ({keys}: JobOutcome, taskIndex: number, starts: Map<string, number>): number => {
	let sum = 0;
	for (const key of keys) {
		sum += starts.get(`${key}/${taskIndex}`) ?? 0;
	}

	return sum;
};

const startsUnderKey = (key: string, taskCount: number, starts: Map<string, number>): number => {
	let sum = 0;
	for (let index = 0; index < taskCount; index++) {
		sum += starts.get(`${key}/${index}`) ?? 0;
	}

	return sum;
};

const wasCutByStop = (key: string, answer: JobAnswer | undefined, drainedHostId: string): boolean =>
	parseHome(key)?.hostId === drainedHostId && answer?.state === 'failed' && !answer.failure.notRun;

const addOutcome = (outcome: JobOutcome, starts: Map<string, number>, violations: Violations, drainedHostId: string) => {
	const taskCount = outcome.job.tasks.length;
	for (let index = 0; index < taskCount; index++) {
		violations.startedTwice += startsOfTask(outcome, index, starts) > 1 ? 1 : 0;
	}

	for (const [index, answer] of outcome.answers.entries()) {
		const key = outcome.keys[index] ?? '';
		violations.cutByStop += wasCutByStop(key, answer, drainedHostId) ? 1 : 0;
		if (answer?.state === 'complete') {
			violations.partial += answer.results.length === taskCount ? 0 : 1;
			violations.crossed += countCrossed(outcome, answer.results);
		} else if (answer?.failure.notRun) {
			violations.notRunButRan += startsUnderKey(key, taskCount, starts);
		}
	}

	violations.unanswered += outcome.answers.at(-1) ? 0 : 1;
};

const describeFailure = (answer: JobAnswer): string | undefined => {
	if (answer.state === 'complete') {
		return undefined;
	}

	return answer.failure.notRun ? `${answer.failure.code} (not run)` : answer.failure.code;
};

const measureRatio = (outcomes: readonly JobOutcome[], slotSpeeds: Record<string, number[]>): Ratio => {
	const histogram = build({numberOfSignificantValueDigits: 3});
	for (const {job, answers, sentAt, endedAt} of outcomes) {
		if (answers.at(-1)?.state === 'complete') {
			const ratio = (endedAt - sentAt) / idealMs(job.tasks, slotSpeeds[job.upstream] ?? [1]);
			histogram.recordValue(Math.round(ratio * ratioScale));
		}
	}

	const at = (percentile: number) => Math.round(histogram.getValueAtPercentile(percentile) / ratioScale * roundingScale) / roundingScale;
	return {p50: at(50), p99: at(99)};
};

/** The verdict on a run. */
export const judge = ({outcomes, counted, slotSpeeds, drainedHostId}: Evidence): Verdict => {
	const starts = sumStarts(counted);
	const violations: Violations = {
		startedTwice: 0, partial: 0, crossed: 0, unanswered: 0, notRunButRan: 0, cutByStop: 0,
	};
	const failed: Record<string, number> = {};
	const giveUps: Record<string, number> = {};
	let tasks = 0;
	let complete = 0;
	for (const outcome of outcomes) {
		addOutcome(outcome, starts, violations, drainedHostId);
		tasks += outcome.job.tasks.length;
		const last = outcome.answers.at(-1);
		const failure = last && describeFailure(last);
		complete += last?.state === 'complete' ? 1 : 0;
		if (failure !== undefined) {
			failed[failure] = (failed[failure] ?? 0) + 1;
		}

		for (const reason of outcome.giveUps) {
			giveUps[reason] = (giveUps[reason] ?? 0) + 1;
		}
	}

	return {
		jobs: outcomes.length,
		tasks,
		starts: [...starts.values()].reduce((sum, count) => sum + count, 0),
		complete,
		failed,
		giveUps,
		violations,
		ratio: measureRatio(outcomes, slotSpeeds),
		ratioByUpstream: Object.fromEntries(Object.keys(slotSpeeds).map(upstream =>
			[upstream, measureRatio(outcomes.filter(({job}) => job.upstream === upstream), slotSpeeds)])),
	};
};

/** Whether no promise was broken. */
export const isSound = ({violations}: Verdict): boolean => Object.values(violations).every(count => count === 0);
