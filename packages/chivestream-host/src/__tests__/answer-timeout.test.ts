import {expect, test} from '@jest/globals';
import {createRandom} from 'chivestream-core';
import {answerTimeout, createAnswerTimes, createRecentMaximum} from '../answer-timeout.js';

/** Objective of a job of 60 ms tasks on the users' sites, less the time of its tasks, in milliseconds. */
const slackMs = 96;

test('a lost answer of a minion that answers within 3 ms is noticed early enough to run the task elsewhere within the objective', () => {
	const stopAndPollMs = 6;
	expect(answerTimeout(3, 1) + stopAndPollMs).toBeLessThan(slackMs);
});

test('a minion whose answer times are not known gets 150 ms', () => {
	expect(Math.round(answerTimeout(createAnswerTimes().recentMs(), 0))).toBeGreaterThanOrEqual(148);
});

test('a minion that answers slowly, or a process that is delayed, gets more time, but less than a lease', () => {
	expect(answerTimeout(20, 1)).toBeGreaterThan(5 * 20);
	expect(answerTimeout(3, 60)).toBeGreaterThan(150);
	expect(answerTimeout(5000, 5000)).toBe(400);
});

test('single lost answers don\'t lengthen the timeout, several in a row do', () => {
	const times = createAnswerTimes();
	for (let request = 0; request < 100; request += 1) {
		times.record(request % 20 === 0 ? 46 : 3, request % 20 !== 0);
	}

	expect(times.recentMs()).toBe(3);
	times.record(46, false);
	times.record(46, false);
	expect(times.recentMs()).toBe(46);
});

test('lost answers don\'t lengthen the timeout beyond the next answer, however many are lost', () => {
	const times = createAnswerTimes();
	const random = createRandom(971);
	let greatestAfterAnswerMs = 0;
	for (let request = 0; request < 1000; request += 1) {
		const isAnswered = random() >= 0.3;
		times.record(isAnswered ? 3 : answerTimeout(times.recentMs(), 0), isAnswered);
		if (isAnswered && request > 200) {
			greatestAfterAnswerMs = Math.max(greatestAfterAnswerMs, times.recentMs());
		}
	}

	expect(greatestAfterAnswerMs).toBe(3);
});

test.each([100, 200, 350])('a minion whose answers begin to take %i ms is given that time after a few lost ones, and keeps it', answerMs => {
	const times = createAnswerTimes();
	for (let request = 0; request < 200; request += 1) {
		times.record(3, true);
	}

	let lost = 0;
	for (let request = 0; request < 100; request += 1) {
		const timeoutMs = answerTimeout(times.recentMs(), 0);
		const isAnswered = answerMs <= timeoutMs;
		lost += isAnswered ? 0 : 1;
		times.record(isAnswered ? answerMs : timeoutMs, isAnswered);
	}

	expect(lost).toBeLessThanOrEqual(3);
	expect(times.recentMs()).toBe(answerMs);
});

test('a minion of which a third of the answers takes 200 ms is given that time after its first such answer', () => {
	const times = createAnswerTimes();
	const random = createRandom(972);
	let lostAfterFirst = 0;
	let slowAnswers = 0;
	for (let request = 0; request < 1000; request += 1) {
		const answerMs = random() < 0.3 ? 200 : 3;
		const timeoutMs = answerTimeout(times.recentMs(), 0);
		const isAnswered = answerMs <= timeoutMs;
		slowAnswers += isAnswered && answerMs === 200 ? 1 : 0;
		lostAfterFirst += !isAnswered && slowAnswers > 0 ? 1 : 0;
		times.record(isAnswered ? answerMs : timeoutMs, isAnswered);
	}

	expect(slowAnswers).toBeGreaterThan(200);
	expect(lostAfterFirst).toBe(0);
});

test('a maximum is remembered for some observations, and a lasting one stays', () => {
	const delay = createRecentMaximum();
	delay.record(100);
	for (let observation = 0; observation < 20; observation += 1) {
		delay.record(0);
	}

	expect(delay.value()).toBeGreaterThan(40);
	for (let observation = 0; observation < 200; observation += 1) {
		delay.record(observation % 10 === 0 ? 30 : 1);
	}

	expect(delay.value()).toBeGreaterThan(20);
	expect(delay.value()).toBeLessThan(31);
});
