import {describe, expect, test} from '@jest/globals';
import {MinionSource} from '../minion-source.js';

describe('the host that passes on the minions', () => {
	test('is the first of those that reach the store, and none while no table is needed', () => {
		const source = new MinionSource();
		source.choose(0, ['a', 'b']);
		expect(source.name).toBe('a');
		source.choose(100, []);
		expect(source.name).toBeUndefined();
	});

	test('stays the same while it sends tables, even if a better one reaches the store again', () => {
		const source = new MinionSource();
		source.choose(0, ['b']);
		for (let now = 100; now < 10_000; now += 1000) {
			source.recordAnswer(now);
			source.choose(now + 900, ['a', 'b']);
			expect(source.name).toBe('b');
		}
	});

	test('is replaced by the next one in turn if it sends no table', () => {
		const source = new MinionSource();
		const names: Array<string | undefined> = [];
		for (let now = 0; now < 4000; now += 1000) {
			source.choose(now, ['a', 'b', 'c']);
			names.push(source.name);
		}

		expect(names).toEqual(['a', 'b', 'c', 'a']);
	});

	test('is replaced if it sends no further table', () => {
		const source = new MinionSource();
		source.choose(0, ['a', 'b']);
		source.recordAnswer(100);
		source.choose(1000, ['a', 'b']);
		expect(source.name).toBe('a');
		source.choose(3000, ['a', 'b']);
		expect(source.name).toBe('b');
	});

	test('is replaced if it no longer reaches the store', () => {
		const source = new MinionSource();
		source.choose(0, ['a', 'b']);
		source.choose(100, ['b']);
		expect(source.name).toBe('b');
	});

	test('is asked again if there is no other', () => {
		const source = new MinionSource();
		source.choose(0, ['a']);
		source.choose(5000, ['a']);
		expect(source.name).toBe('a');
	});
});
