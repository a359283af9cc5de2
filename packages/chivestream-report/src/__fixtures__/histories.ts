/** Recorded histories for tests. */
import {
	answerState, type Clock, type FailureCode, type JobAnswer, type Objective,
} from 'chivestream-core';
import {createObjectiveRecorder} from '../recorder.js';
import {type HistoryExport} from '../schemas.js';

/** An objective that allows one bad job in ten. */
export const testObjective: Objective = {
	name: 'reading', upstream: 'lens', team: 'lens-desk', targetMs: 500, goal: 0.9,
};

/** A clock whose time is set by the test. */
export type TestClock = Clock & {time: number};

/** Creates a clock that stands at a time, in milliseconds since the Unix epoch. */
export const createTestClock = (time: number): TestClock => ({
	time,
	now() {
		return this.time;
	},
	at: () => ({cancel() {}}),
});

/** The answer of a completed job. */
export const completeAnswer: JobAnswer = {key: 'k', state: answerState.complete, results: []};

/** Creates the answer of a failed job; `unknown` is the number of tasks with an unknown outcome. */
export const createFailedAnswer = (code: FailureCode, unknown = 0): JobAnswer => ({
	key: 'k',
	state: answerState.failed,
	failure: {
		code, message: '', step: 'run', peer: 'm-1', notRun: false, tasks: {
			notRun: 0, completed: 0, failed: 1, unknown,
		},
	},
});

/** Creates an export of hosts that started a day before `at` and completed jobs at `at`, with the given response times in milliseconds. */
export const createExport = (timesByHost: Record<string, number[]>, at: number): HistoryExport => ({
	kind: 'histograms',
	missing: [],
	hosts: Object.entries(timesByHost).map(([host, times]) => {
		const clock = createTestClock(at - 86_400_000);
		const recorder = createObjectiveRecorder(clock, {host, zone: 'a'});
		recorder.configure([testObjective]);
		clock.time = at;
		for (const elapsedMs of times) {
			recorder.record({
				team: 'lens-desk', upstream: 'lens', elapsedMs, answer: completeAnswer,
			});
		}

		return recorder.read();
	}),
});
