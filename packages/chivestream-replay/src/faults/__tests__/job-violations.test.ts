import {expect, test} from '@jest/globals';
import {createFailedAnswer, type JobAnswer, type TaskCounts} from 'chivestream-core';
import {type CallerJob} from '../callers.js';
import {type TaskStart} from '../memory-minions.js';
import {countViolations} from '../job-violations.js';

const key = 'k';
const failure = {
	code: 'internal', message: '', step: '', peer: '',
} as const;
const start: TaskStart = {minionId: 'm', hostId: 'a1', at: 0};
const completeAnswer: JobAnswer = {key, state: 'complete', results: [{done: 'left'}, {done: 'right'}]};

const createCallerJob = (answer: JobAnswer | undefined, isIdempotent = true): CallerJob => ({
	job: {
		key, team: '', upstream: '', isIdempotent, deadline: 0, tasks: [{payload: 'left'}, {payload: 'right'}],
	},
	submittedAt: 0,
	calls: [{
		hostId: 'a1', sentAt: 0, endedAt: 0, end: answer && {kind: 'answered', answer},
	}],
	otherAnswers: [],
});

const createFailure = (notRun: boolean, counts: Partial<TaskCounts>): JobAnswer => createFailedAnswer(key, failure, notRun, {
	notRun: 0, completed: 0, failed: 0, unknown: 0, ...counts,
});

const startedOnce = new Map([['k/0', [start]], ['k/1', [start]]]);
const startedAgain = new Map([['k/0', [start, start]], ['k/1', [start]]]);

test.each([
	['a whole answer', createCallerJob(completeAnswer), startedOnce, {}],
	['a task that started twice', createCallerJob(completeAnswer), startedAgain, {startedTwice: 1}],
	['a non-idempotent task that started twice', createCallerJob(completeAnswer, false), startedAgain, {startedTwice: 1, nonIdempotentTwice: 1}],
	['a missing result', createCallerJob({...completeAnswer, results: [{done: 'left'}]}), startedOnce, {partialAnswers: 1}],
	['results that changed places', createCallerJob({...completeAnswer, results: [{done: 'right'}, {done: 'left'}]}), startedOnce, {crossedAnswers: 1}],
	['the answer to another key', createCallerJob({...completeAnswer, key: 'other'}), startedOnce, {crossedAnswers: 1}],
	['no answer', createCallerJob(undefined), startedOnce, {unanswered: 1}],
	['"not run" of a job that ran', createCallerJob(createFailure(true, {notRun: 2})), startedOnce, {notRunButRan: 1}],
	['"not run" of a task that ran', createCallerJob(createFailure(false, {notRun: 1, failed: 1})), startedOnce, {notRunButRan: 1}],
	['"not run" of a task that did not run', createCallerJob(createFailure(false, {notRun: 1, failed: 1})), new Map([['k/0', [start]]]), {}],
])('%s', (_name, job, starts, violations) => {
	expect(countViolations([job], starts)).toEqual({
		startedTwice: 0, partialAnswers: 0, unanswered: 0, notRunButRan: 0, crossedAnswers: 0, nonIdempotentTwice: 0, ...violations,
	});
});
