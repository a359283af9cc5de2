import {describe, expect, test} from '@jest/globals';
import {formatSlope, measureSlopes, medianOf} from '../index.js';

describe('slopes', () => {
	test('the median is the middle value or the mean of the two middle ones', () => {
		expect(medianOf([9, 1, 5])).toBe(5);
		expect(medianOf([9, 1, 5, 7])).toBe(6);
		expect(() => medianOf([])).toThrow('none given');
	});

	test('the first round warms up and is left out', async () => {
		const asked: number[] = [];
		const [slope] = await measureSlopes({
			name: 'test',
			size: 'things',
			units: {cost: 'ms'},
			async measure(size) {
				asked.push(size);
				return {cost: asked.length <= 3 ? 1_000_000 : 10 * size};
			},
		}, {sizes: [1, 2, 3], rounds: 3});
		expect(asked).toEqual([1, 2, 3, 1, 2, 3, 1, 2, 3, 1, 2, 3]);
		expect(slope?.points.at(1)).toEqual({
			size: 2, median: 20, lowest: 20, highest: 20,
		});
		expect(slope?.fit.slope).toBeCloseTo(10);
	});

	test('a table names the unit, the spread and the error', async () => {
		const slopes = await measureSlopes({
			name: 'test', size: 'things', units: {cost: 'ms'}, measure: async size => ({cost: size}),
		}, {sizes: [1, 2, 3], rounds: 3});
		expect(formatSlope(slopes[0]!)).toContain('test.cost: ms by things');
		expect(formatSlope(slopes[0]!)).toContain('slope 1 ± 0, intercept 0, r² 1.000');
	});
});
