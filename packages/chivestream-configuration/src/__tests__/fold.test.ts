import {expect, test} from '@jest/globals';
import {createCommand, sampleCommand, sampleDeclarations} from '../__fixtures__/declarations.js';
import {
	applyRecord, type Change, findVerdict, initialState, maxVerdicts, type State,
} from '../index.js';

const fold = (values: unknown[], start: State = initialState): State => {
	let state = start;
	for (const value of values) {
		const offset = state.configuration.offset + 1;
		state = applyRecord(state, {offset, at: 0, value});
	}

	return state;
};

const quota: Change = {kind: 'team', team: 'day-a', maxTasksInFlight: 7};

test('a command takes effect only while its base version is current', () => {
	const drain: Change = {kind: 'drain', ids: ['m1']};
	const state = fold([sampleCommand, createCommand('c1', 1, quota), createCommand('c2', 1, drain, 'second')]);
	expect(state.configuration.version).toBe(2);
	expect(state.configuration.declarations.drains).toEqual([]);
	expect(findVerdict(state, 'c1')).toMatchObject({outcome: 'accepted', version: 2, summary: 'set team day-a maxTasksInFlight=7'});
	expect(findVerdict(state, 'c2')).toMatchObject({outcome: 'beaten', version: 2, author: 'second'});
});

test('a repeated command has no second effect and keeps its verdict', () => {
	const command = createCommand('c1', 1, quota);
	const state = fold([sampleCommand, command, command]);
	expect(state.configuration).toMatchObject({version: 2, offset: 2});
	expect(findVerdict(state, 'c1')).toMatchObject({outcome: 'accepted', offset: 1});
});

test('a repeated command whose verdict was dropped is superseded', () => {
	const others = Array.from({length: maxVerdicts}, (_, index) => createCommand(`x${index}`, 0, quota));
	const state = fold([sampleCommand, ...others, sampleCommand]);
	expect(state.configuration.version).toBe(1);
	expect(state.verdicts).toHaveLength(maxVerdicts);
	expect(findVerdict(state, 'c0')).toMatchObject({outcome: 'beaten', version: 1});
});

test('each kind of change is applied', () => {
	const state = fold([
		sampleCommand,
		createCommand('c1', 1, quota),
		createCommand('c2', 2, {kind: 'drain', ids: ['m1', 'w1']}),
		createCommand('c3', 3, {kind: 'undrain', ids: ['m1']}),
		createCommand('c4', 4, {kind: 'limits', limits: {retryRatio: 0.5}}),
	]);
	const {declarations, version} = state.configuration;
	expect(version).toBe(5);
	expect(declarations.teams).toEqual({...sampleDeclarations.teams, 'day-a': {weight: 1, maxTasksInFlight: 7}});
	expect(declarations.drains).toEqual(['w1']);
	expect(declarations.limits).toEqual({...sampleDeclarations.limits, retryRatio: 0.5});
});

const invalidChanges: Array<[unknown, RegExp]> = [
	[{kind: 'drain', ids: ['nobody']}, /no minion or worker is called "nobody"/v],
	[{kind: 'undrain', ids: ['m1']}, /"m1" is not being drained/v],
	[{kind: 'team', team: 'nobody', weight: 1}, /no team is called "nobody"/v],
	[{kind: 'limits', limits: {retryRatio: 2}}, /limits\.retryRatio/v],
	[{kind: 'dance'}, /kind/v],
];

test.each(invalidChanges)('%j is invalid with its reason and changes nothing', (change, reason) => {
	const state = fold([sampleCommand, {
		...sampleCommand, commandId: 'c1', baseVersion: 1, change,
	}]);
	expect(state.configuration.version).toBe(1);
	expect(findVerdict(state, 'c1')).toMatchObject({outcome: 'invalid', reasons: [expect.stringMatching(reason)]});
});

test('records that are not commands only advance the offset', () => {
	const state = fold([sampleCommand, 'noise', {kind: 'command'}, null, createCommand('c9', 7, quota)]);
	expect(state.configuration).toMatchObject({version: 1, offset: 4});
	expect(findVerdict(state, 'c9')).toMatchObject({outcome: 'invalid'});
});
