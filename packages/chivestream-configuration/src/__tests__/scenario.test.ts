import {expect, test} from '@jest/globals';
import fc from 'fast-check';
import {runScenario, type Step} from '../__fixtures__/scenario.js';
import {
	applyRecord, type Change, commandSchema, type Fold, defaultReaderRules, type ReaderRules,
} from '../index.js';

const ids = fc.uniqueArray(fc.constantFrom('m1', 'm2', 'w1', 'nobody'), {minLength: 1, maxLength: 2});

const change: fc.Arbitrary<Change> = fc.oneof(
	fc.record({kind: fc.constant('drain' as const), ids}),
	fc.record({kind: fc.constant('undrain' as const), ids}),
	fc.record({kind: fc.constant('team' as const), team: fc.constantFrom('day-a', 'day-b'), maxTasksInFlight: fc.integer({min: 1, max: 9})}),
	fc.record({kind: fc.constant('limits' as const), limits: fc.record({retryRatio: fc.constantFrom(0, 0.5, 1)})}),
);

const host = fc.nat(2);

const step: fc.Arbitrary<Step> = fc.oneof(
	fc.record({
		kind: fc.constant('submit' as const), host, change, copies: fc.integer({min: 0, max: 2}),
	}),
	fc.record({kind: fc.constant('repeat' as const), command: fc.nat(20)}),
	fc.record({kind: fc.constant('read' as const), host, limit: fc.integer({min: 1, max: 20})}),
	fc.record({kind: fc.constant('snapshot' as const), host}),
	fc.record({kind: fc.constant('drop' as const), share: fc.double({min: 0, max: 1, noNaN: true})}),
);

const steps = fc.array(step, {minLength: 5, maxLength: 60});

/** A host that lags appends a snapshot before a newer one; a third reader must use the newer one. */
const staleSnapshot: Step[] = [
	{kind: 'read', host: 2, limit: 1},
	{
		kind: 'submit', host: 2, change: {kind: 'drain', ids: ['m1']}, copies: 1,
	},
	{kind: 'read', host: 0, limit: 20},
	{
		kind: 'submit', host: 0, change: {kind: 'drain', ids: ['m2']}, copies: 1,
	},
	{kind: 'read', host: 0, limit: 20},
	{kind: 'read', host: 1, limit: 2},
	{kind: 'snapshot', host: 2},
	{kind: 'snapshot', host: 0},
	{kind: 'drop', share: 1},
];

/** Whether some scenario causes the violation with the rules. */
const isReproduced = (violation: string, rules: ReaderRules): boolean => {
	const holds = (scenario: Step[]) => !runScenario(scenario, rules).includes(violation);
	return fc.check(fc.property(steps, holds), {
		seed: 11, numRuns: 500, endOnFailure: true, examples: [[staleSnapshot]],
	}).failed;
};

test('in any interleaving every reader reaches the same state, each version has one accepted command and no reader reverts', () => {
	fc.assert(fc.property(steps, scenario => {
		expect(runScenario(scenario)).toEqual([]);
	}), {seed: 5, numRuns: 500, examples: [[staleSnapshot]]});
});

const foldAnyBase: Fold = (state, record) => {
	const command = commandSchema.safeParse(record.value);
	const value = command.success ? {...command.data, baseVersion: state.configuration.version} : record.value;
	return applyRecord(state, {...record, value});
};

const foldWithoutVerdicts: Fold = (state, record) => {
	const command = commandSchema.safeParse(record.value);
	const verdicts = state.verdicts.filter(verdict => verdict.commandId !== command.data?.commandId);
	return applyRecord({...state, verdicts}, record);
};

const switchedOff: Array<[string, ReaderRules, string]> = [
	['the check of the base version', {...defaultReaderRules, fold: foldAnyBase}, 'a command took effect on a version other than its base version'],
	['the verdicts on earlier commands', {...defaultReaderRules, fold: foldWithoutVerdicts}, 'the verdict on an accepted command changed'],
	['the check of what a snapshot covers', {...defaultReaderRules, isSnapshotUsable: () => true}, 'a reader reverted to an earlier state'],
	['the use of snapshots', {...defaultReaderRules, isSnapshotUsable: () => false}, 'readers of the same log hold different states'],
];

test.each(switchedOff)('some scenario causes a violation without %s', (_name, rules, violation) => {
	expect(isReproduced(violation, rules)).toBe(true);
});
