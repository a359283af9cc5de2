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

/** A clock that tests set. */
export type TestClock = Clock & {time: number};

/** A clock at a time. */
export const createTestClock = (time: number): TestClock => ({
	time,
	now() {
		return this.time;
	},
	at: () => ({cancel() {}}),
});

/** A whole answer. */
export const completeAnswer: JobAnswer = {key: 'k', state: answerState.complete, results: []};

/** A failed answer, with tasks of which nothing is known. */
export const createFailedAnswer = (code: FailureCode, unknown = 0): JobAnswer => ({
	key: 'k',
	state: answerState.failed,
	failure: {
		code, message: '', step: 'run', peer: 'm-1', notRun: false, tasks: {
			notRun: 0, completed: 0, failed: 1, unknown,
		},
	},
});

/** The export of hosts of which each answered jobs in the given times, in the hour before a time. */
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
