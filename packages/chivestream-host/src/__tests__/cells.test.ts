import {expect, test} from '@jest/globals';
import {cellCountFor, cellName, cellOf} from '../cells.js';

test('a small zone is one cell, and a division leaves at least 20 minions per cell on average', () => {
	expect([0, 1, 11, 33, 39, 40, 61, 79, 80, 82, 160].map(minions => cellCountFor(minions))).toEqual([1, 1, 1, 1, 1, 2, 2, 2, 4, 4, 8]);
});

test('minions are distributed over the cells about evenly', () => {
	const sizes = [0, 0, 0, 0];
	for (let minion = 0; minion < 4000; minion += 1) {
		sizes[cellOf(`i-${(minion * 2_654_435_761).toString(16)}`, sizes.length)]! += 1;
	}

	for (const size of sizes) {
		expect(Math.abs(size - 1000)).toBeLessThan(150);
	}
});

test('cells of different divisions have different names', () => {
	expect(cellName('z', 0, 1)).not.toBe(cellName('z', 0, 2));
});
