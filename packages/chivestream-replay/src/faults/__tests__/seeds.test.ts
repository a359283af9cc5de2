/** Seeds that once failed, and mechanisms switched off so that the run must report what they prevent. */
import {expect, test} from '@jest/globals';
import {runSeed, type FaultReport, type Mechanism} from '../index.js';

const noViolation = {
	startedTwice: 0,
	partialAnswers: 0,
	unanswered: 0,
	notRunButRan: 0,
	crossedAnswers: 0,
	nonIdempotentTwice: 0,
	cutByStop: 0,
	configurationReverts: 0,
};

const drainBoundMs = 5000;
const inForceBoundMs = 3000;

// Seed 7 first showed a caller who moved between hosts an older configuration.
test.each([7])('seed %i runs without a violation', async seed => {
	const report = await runSeed({seed});
	expect(report).toMatchObject(noViolation);
	expect(report.newWorkAfterLeaveMs).toBeLessThan(drainBoundMs);
	expect(report.configurationInForceMs).toBeLessThan(inForceBoundMs);
});

const switches: Array<[Mechanism, number, keyof FaultReport]> = [
	['remembered-keys', 3, 'startedTwice'],
	['closed-by-cancel', 3, 'notRunButRan'],
];

test.each(switches)('without %s, seed %i reports %s', async (switchedOff, seed, violation) => {
	const report = await runSeed({seed, switchedOff});
	expect(report[violation]).toBeGreaterThan(0);
});

test('a seed gives the same verdict every time', async () => {
	const kinds = ['kill', 'lost-answers', 'log-outage'] as const;
	expect(await runSeed({seed: 4, kinds})).toEqual(await runSeed({seed: 4, kinds}));
});
