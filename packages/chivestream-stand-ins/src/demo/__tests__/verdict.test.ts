import {expect, test} from '@jest/globals';
import {notRunCounts, type JobAnswer} from 'chivestream-core';
import {type CountedStarts} from '../../cluster/index.js';
import {type JobOutcome} from '../load.js';
import {type PlannedJob} from '../plan.js';
import {isSound, judge, type Verdict} from '../verdict.js';

const job: PlannedJob = {
	id: 'lens-1',
	profile: 'frame-grade',
	team: 'day-a',
	upstream: 'lens',
	isIdempotent: true,
	sendAt: 0,
	tasks: [{runMs: 100, declaredMs: 100}, {runMs: 200, declaredMs: 200}],
};
const key = 'h~e1~i~1~lens-1';
const resultOf = (tag: string) => ({payload: {tag}});
const complete = (...tags: string[]): JobAnswer => ({key, state: 'complete', results: tags.map(tag => resultOf(tag))});
const failed = (notRun: boolean): JobAnswer => ({
	key,
	state: 'failed',
	failure: {
		code: 'task-unknown', message: '', step: '', peer: '', notRun, tasks: notRunCounts(2),
	},
});

const judgeOne = (answer: JobAnswer | undefined, starts: Record<string, number>, drainedHostId = 'e9'): Verdict => {
	const outcome: JobOutcome = {
		job, keys: [key], answers: [answer], giveUps: [], sentAt: 1000, endedAt: 1300,
	};
	const counted: CountedStarts = {
		starts, total: 0, requests: 0, refused: 0, mostRunning: 0, mostConnections: 0,
	};
	return judge({
		outcomes: [outcome], counted: [counted], slotSpeeds: {lens: [2, 1]}, drainedHostId,
	});
};

const startsOnce = Object.fromEntries([[`${key}/0`, 1], [`${key}/1`, 1]]);

test('a complete answer to tasks that started once is sound', () => {
	const verdict = judgeOne(complete('lens-1/0', 'lens-1/1'), startsOnce);
	expect(isSound(verdict)).toBe(true);
	expect(verdict).toMatchObject({
		jobs: 1, tasks: 2, starts: 2, complete: 1, ratio: {p50: 3},
	});
});

test.each<[keyof Verdict['violations'], JobAnswer | undefined, Record<string, number>]>([
	['startedTwice', complete('lens-1/0', 'lens-1/1'), {...startsOnce, [`${key}/1`]: 2}],
	['partial', complete('lens-1/0'), startsOnce],
	['crossed', complete('lens-1/1', 'lens-1/1'), startsOnce],
	['unanswered', undefined, startsOnce],
	['notRunButRan', failed(true), {[`${key}/1`]: 1}],
])('the violation %s is counted', (violation, answer, starts) => {
	const verdict = judgeOne(answer, starts);
	expect(verdict.violations[violation]).toBe(1);
	expect(isSound(verdict)).toBe(false);
});

test('a job of the drained host must not fail once it was accepted', () => {
	expect(judgeOne(failed(false), {}, 'e1').violations.cutByStop).toBe(1);
	expect(judgeOne(failed(false), {}, 'e2').violations.cutByStop).toBe(0);
	expect(judgeOne(failed(true), {}, 'e1').violations.cutByStop).toBe(0);
});
