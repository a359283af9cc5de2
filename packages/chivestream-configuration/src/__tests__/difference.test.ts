import {expect, test} from '@jest/globals';
import type {Declarations} from 'chivestream-core';
import fc from 'fast-check';
import {createCommand, sampleCommand, sampleDeclarations} from '../__fixtures__/declarations.js';
import {FakeStream} from '../__fixtures__/fake-stream.js';
import {
	applyChange, createSnapshot, declarationsSchema, findDifferences, findVersion, initialState, planChange, readDeclarations, applyRecord,
} from '../index.js';

const ids = fc.uniqueArray(fc.constantFrom('m1', 'm2', 'm3', 'm4'), {maxLength: 4});
const teams = fc.uniqueArray(fc.constantFrom('day-a', 'day-b', 'vans'), {maxLength: 3});

/** Declarations of two upstreams; a minion may move between them from one sample to the next. */
const declarations: fc.Arbitrary<Declarations> = fc.record({
	left: ids, right: ids, teams, quota: fc.integer({min: 1, max: 3}), drains: ids, retryRatio: fc.constantFrom(0, 1),
}).map(({left, right, quota, drains, retryRatio, teams: names}) => {
	const createMinions = (chosen: string[]) => chosen.map(id => ({
		id, zone: 'a', address: `10.0.0.${id.slice(1)}:1`, slots: quota, connections: 8,
	}));
	const others = right.filter(id => !left.includes(id));
	return declarationsSchema.parse({
		upstreams: {
			...(left.length > 0 && {left: {minions: createMinions(left)}}),
			...(others.length > 0 && {right: {minions: createMinions(others)}}),
		},
		teams: Object.fromEntries(names.map(name => [name, {maxTasksInFlight: quota}])),
		drains: drains.filter(id => left.includes(id) || others.includes(id)),
		limits: {retryRatio},
	});
});

test('a planned change produces the target declarations', () => {
	fc.assert(fc.property(declarations, declarations, (current, target) => {
		const changed = applyChange(current, planChange(current, target)).unwrap();
		expect(findDifferences(changed, target)).toEqual([]);
	}), {seed: 3});
});

test('a difference has the path of the entry and its values before and after', () => {
	const target = declarationsSchema.parse(sampleDeclarations);
	target.teams['day-b'] = {weight: 3, maxTasksInFlight: 50};
	target.upstreams.lens?.minions.pop();
	target.drains.push('m1');
	expect(findDifferences(sampleDeclarations, target)).toEqual([
		{
			kind: 'changed', path: 'team/day-b', before: {weight: 2, maxTasksInFlight: 50}, after: {weight: 3, maxTasksInFlight: 50},
		},
		{
			kind: 'added', path: 'drain/m1', before: undefined, after: 'm1',
		},
		{
			kind: 'removed', path: 'minion/lens/m2', before: sampleDeclarations.upstreams.lens?.minions[1], after: undefined,
		},
	]);
});

test('an edit is not allowed if it leaves a conflict or its path is not valid', () => {
	const dangling = applyChange(sampleDeclarations, {kind: 'edit', set: {}, remove: ['team/day-a']});
	expect(dangling.unwrapErr()).toEqual([expect.stringMatching(/objectives\[0\]\.team: a team declared/v)]);
	const set: Record<string, unknown> = Object.fromEntries<unknown>([['worker/nobody/w9', {}], ['colour', 1]]);
	const misplaced = applyChange(sampleDeclarations, {kind: 'edit', set, remove: []});
	expect(misplaced.unwrapErr()).toHaveLength(2);
	const renamed = applyChange(sampleDeclarations, {kind: 'edit', set: Object.fromEntries([['drain/m1', 'm2']]), remove: []});
	expect(renamed.unwrapErr()).toEqual(['set: an entry belongs under "drain/m2" by its own id or name']);
});

test('a file without drains keeps the drains in force', () => {
	const text = JSON.stringify({...sampleDeclarations, drains: undefined});
	expect(readDeclarations(text, 'd', ['m1', 'gone']).unwrap().drains).toEqual(['m1']);
	const emptied = JSON.stringify({...sampleDeclarations, drains: []});
	expect(readDeclarations(emptied, 'd', ['m1']).unwrap().drains).toEqual([]);
});

test('an earlier version is read back from records or a snapshot, while the log retains them', async () => {
	const stream = new FakeStream();
	await stream.append(sampleCommand);
	await stream.append(createCommand('c1', 1, {kind: 'drain', ids: ['m1']}));
	let state = initialState;
	for (const record of stream.records) {
		state = applyRecord(state, record);
	}

	const [part] = createSnapshot(state);
	await stream.append(part);
	await stream.append(createCommand('c2', 2, {kind: 'undrain', ids: ['m1']}));
	const drainsOf = async (version: number) => {
		const found = await findVersion(stream, version);
		return found.map(({declarations: {drains}}) => drains).unwrapOr(undefined);
	};

	const seen = await Promise.all([1, 2, 3, 4].map(async version => drainsOf(version)));
	expect(seen).toEqual([[], ['m1'], [], undefined]);
	stream.dropBelow(2);
	const seenLater = await Promise.all([1, 2, 3].map(async version => drainsOf(version)));
	expect(seenLater).toEqual([undefined, ['m1'], []]);
});
