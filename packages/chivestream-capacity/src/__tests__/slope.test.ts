import {describe, expect, test} from '@jest/globals';
import {formatSlope, measureSlopes, computeMedian} from '../index.js';

describe('slopes', () => {
	test('the median is the middle value, or the mean of the two middle values', () => {
		expect(computeMedian([9, 1, 5])).toBe(5);
		expect(computeMedian([9, 1, 5, 7])).toBe(6);
		expect(() => computeMedian([])).toThrow('the median of no values');
	});

	test('the first round is a warm-up and is discarded', async () => {
		const measuredSizes: number[] = [];
		const [slope] = await measureSlopes({
			name: 'test',
			size: 'things',
			units: {cost: 'ms'},
			async measure(size) {
				measuredSizes.push(size);
				return {cost: measuredSizes.length <= 3 ? 1_000_000 : 10 * size};
			},
		}, {sizes: [1, 2, 3], rounds: 3});
		expect(measuredSizes).toEqual([1, 2, 3, 1, 2, 3, 1, 2, 3, 1, 2, 3]);
		expect(slope?.points.at(1)).toEqual({
			size: 2, median: 20, lowest: 20, highest: 20,
		});
		expect(slope?.fit.slope).toBeCloseTo(10);
	});

	test('the table shows the unit, the size and the fit with its error', async () => {
		const slopes = await measureSlopes({
			name: 'test', size: 'things', units: {cost: 'ms'}, measure: async size => ({cost: size}),
		}, {sizes: [1, 2, 3], rounds: 3});
		expect(formatSlope(slopes[0]!)).toContain('test.cost: ms by things');
		expect(formatSlope(slopes[0]!)).toContain('slope 1 ± 0, intercept 0, r² 1.000');
	});
});
