import {expect, test} from '@jest/globals';
import fc from 'fast-check';
import {playScenario, type Step} from '../__fixtures__/scenario.js';
import {
	applyRecord, type Change, commandSchema, type Fold, readerRules, type ReaderRules,
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

/** A snapshot by a host far behind stands before a newer one, and a third reader has to find the right one. */
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

/** Whether some scenario brings about the violation under the rules. */
const isViolated = (violation: string, rules: ReaderRules): boolean => {
	const isKept = (scenario: Step[]) => !playScenario(scenario, rules).includes(violation);
	return fc.check(fc.property(steps, isKept), {
		seed: 11, numRuns: 500, endOnFailure: true, examples: [[staleSnapshot]],
	}).failed;
};

test('in any interleaving every reader ends in the same state, each version has one winner and none goes back', () => {
	fc.assert(fc.property(steps, scenario => {
		expect(playScenario(scenario)).toEqual([]);
	}), {seed: 5, numRuns: 500, examples: [[staleSnapshot]]});
});

const foldAnyBase: Fold = (state, record) => {
	const command = commandSchema.safeParse(record.value);
	const value = command.success ? {...command.data, baseVersion: state.configuration.version} : record.value;
	return applyRecord(state, {...record, value});
};

const foldWithoutMemory: Fold = (state, record) => {
	const command = commandSchema.safeParse(record.value);
	const verdicts = state.verdicts.filter(verdict => verdict.commandId !== command.data?.commandId);
	return applyRecord({...state, verdicts}, record);
};

const switchedOff: Array<[string, ReaderRules, string]> = [
	['the check of the base version', {...readerRules, fold: foldAnyBase}, 'a command took effect on another version than its own'],
	['the memory of command ids', {...readerRules, fold: foldWithoutMemory}, 'an accepted command has another verdict'],
	['the check of what a snapshot covers', {...readerRules, isSnapshotUsable: () => true}, 'a reader went back'],
	['the use of snapshots', {...readerRules, isSnapshotUsable: () => false}, 'readers of the same log hold different states'],
];

test.each(switchedOff)('without %s the scenarios show it', (_name, rules, violation) => {
	expect(isViolated(violation, rules)).toBe(true);
});
