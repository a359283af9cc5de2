import {expect, test} from '@jest/globals';
import {createFailedAnswer, type JobAnswer, type TaskCounts} from 'chivestream-core';
import {type CallerJob} from '../callers.js';
import {type TaskStart} from '../memory-minions.js';
import {judgeJobs} from '../verdict.js';

const key = 'k';
const failure = {
	code: 'internal', message: '', step: '', peer: '',
} as const;
const start: TaskStart = {minionId: 'm', hostId: 'a1', at: 0};
const whole: JobAnswer = {key, state: 'complete', results: [{done: 'left'}, {done: 'right'}]};

const known = (answer: JobAnswer | undefined, isIdempotent = true): CallerJob => ({
	job: {
		key, team: '', upstream: '', isIdempotent, deadline: 0, tasks: [{payload: 'left'}, {payload: 'right'}],
	},
	submittedAt: 0,
	calls: [{
		hostId: 'a1', sentAt: 0, endedAt: 0, end: answer && {kind: 'answered', answer},
	}],
	otherAnswers: [],
});

const fail = (notRun: boolean, counts: Partial<TaskCounts>): JobAnswer => createFailedAnswer(key, failure, notRun, {
	notRun: 0, completed: 0, failed: 0, unknown: 0, ...counts,
});

const once = new Map([['k/0', [start]], ['k/1', [start]]]);
const twice = new Map([['k/0', [start, start]], ['k/1', [start]]]);

test.each([
	['a whole answer', known(whole), once, {}],
	['a task that started twice', known(whole), twice, {startedTwice: 1}],
	['a non-idempotent task that started twice', known(whole, false), twice, {startedTwice: 1, nonIdempotentTwice: 1}],
	['a missing result', known({...whole, results: [{done: 'left'}]}), once, {partialAnswers: 1}],
	['results that changed places', known({...whole, results: [{done: 'right'}, {done: 'left'}]}), once, {crossedAnswers: 1}],
	['the answer to another key', known({...whole, key: 'other'}), once, {crossedAnswers: 1}],
	['no answer', known(undefined), once, {unanswered: 1}],
	['"not run" of a job that ran', known(fail(true, {notRun: 2})), once, {notRunButRan: 1}],
	['"not run" of a task that ran', known(fail(false, {notRun: 1, failed: 1})), once, {notRunButRan: 1}],
	['"not run" of a task that did not run', known(fail(false, {notRun: 1, failed: 1})), new Map([['k/0', [start]]]), {}],
])('%s', (_name, job, starts, violations) => {
	expect(judgeJobs([job], starts)).toEqual({
		startedTwice: 0, partialAnswers: 0, unanswered: 0, notRunButRan: 0, crossedAnswers: 0, nonIdempotentTwice: 0, ...violations,
	});
});
