/** The classification of answers, and the history that a host records and keeps. */
import {describe, expect, test} from '@jest/globals';
import {bucketMs, failureCode} from 'chivestream-core';
import {
	completeAnswer, createFailedAnswer, createTestClock, testObjective,
} from '../__fixtures__/histories.js';
import {classifyAnswer} from '../classify-answer.js';
import {createObjectiveRecorder} from '../recorder.js';

const job = {
	team: 'lens-desk', upstream: 'lens', elapsedMs: 100, answer: completeAnswer,
};

describe('judgeAnswer', () => {
	test.each([
		[completeAnswer, 500, 'good'],
		[completeAnswer, 501, 'bad'],
		[createFailedAnswer(failureCode.taskFailed), 10, 'bad'],
		[createFailedAnswer(failureCode.taskUnknown, 1), 10, 'unknown'],
		[createFailedAnswer(failureCode.cancelled, 1), 10, undefined],
		[createFailedAnswer(failureCode.badRequest), 10, undefined],
	])('%j after %d ms is %s', (answer, elapsedMs, expected) => {
		expect(classifyAnswer(answer, elapsedMs, 500)).toBe(expected);
	});
});

describe('createObjectiveRecorder', () => {
	test('counts the jobs of its objectives by minute', () => {
		const clock = createTestClock(10 * bucketMs);
		const recorder = createObjectiveRecorder(clock, {host: 'e1', zone: 'a'});
		recorder.configure([testObjective]);
		recorder.record(job);
		recorder.record({...job, elapsedMs: 900});
		recorder.record({...job, team: 'other'});
		clock.time += 3 * bucketMs;
		recorder.record({...job, answer: createFailedAnswer(failureCode.taskUnknown, 2)});
		expect(recorder.read()).toMatchObject({
			host: 'e1',
			since: 10 * bucketMs,
			at: 13 * bucketMs,
			objectives: [{
				objective: testObjective,
				buckets: [
					{
						start: 10 * bucketMs, good: 1, bad: 1, unknown: 0,
					},
					{
						start: 13 * bucketMs, good: 0, bad: 0, unknown: 1, histogram: '',
					},
				],
			}],
		});
	});

	test('keeps at most the maximum number of buckets', () => {
		const clock = createTestClock(0);
		const recorder = createObjectiveRecorder(clock, {host: 'e1', zone: 'a', maxBuckets: 5});
		recorder.configure([testObjective]);
		for (let minute = 0; minute < 50; minute += 1) {
			clock.time = minute * bucketMs;
			recorder.record(job);
		}

		const starts = recorder.read().objectives[0]?.buckets.map(({start}) => start / bucketMs);
		expect(starts).toEqual([45, 46, 47, 48, 49]);
		clock.time = 200 * bucketMs;
		expect(recorder.read().objectives[0]?.buckets).toEqual([]);
	});

	test('keeps the history when the target changes and drops it when the team changes', () => {
		const recorder = createObjectiveRecorder(createTestClock(0), {host: 'e1', zone: 'a'});
		recorder.configure([testObjective]);
		recorder.record(job);
		recorder.configure([{...testObjective, targetMs: 50}]);
		expect(recorder.read().objectives[0]).toMatchObject({objective: {targetMs: 50}, buckets: [{good: 1}]});
		recorder.configure([{...testObjective, team: 'day-a'}]);
		expect(recorder.read().objectives[0]?.buckets).toEqual([]);
	});
});
