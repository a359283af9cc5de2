import {describe, expect, test} from '@jest/globals';
import {fitLine, predictValue} from '../line-fit.js';

describe('line fit', () => {
	test('points on a straight line fit without error', () => {
		const fit = fitLine([1, 2, 5, 9].map(size => ({size, value: 3 + (2 * size)})));
		expect(fit.slope).toBeCloseTo(2);
		expect(fit.intercept).toBeCloseTo(3);
		expect(fit.slopeError).toBeCloseTo(0);
		expect(fit.rSquared).toBeCloseTo(1);
		expect(fit.largestRelativeResidual).toBeCloseTo(0);
		expect(predictValue(fit, 100)).toBeCloseTo(203);
	});

	test('scattered points give the known slope, error and residual', () => {
		const fit = fitLine([{size: 1, value: 1}, {size: 2, value: 3}, {size: 3, value: 2}, {size: 4, value: 4}]);
		expect(fit.slope).toBeCloseTo(0.8);
		expect(fit.intercept).toBeCloseTo(0.5);
		expect(fit.slopeError).toBeCloseTo(Math.sqrt(1.8 / 2 / 5));
		expect(fit.rSquared).toBeCloseTo(0.64);
		expect(fit.largestRelativeResidual).toBeCloseTo(0.45);
	});

	test('equal values give a horizontal line', () => {
		expect(fitLine([1, 2, 3].map(size => ({size, value: 7})))).toMatchObject({slope: 0, intercept: 7, rSquared: 1});
	});

	test('too few points and equal sizes throw', () => {
		expect(() => fitLine([{size: 1, value: 1}, {size: 2, value: 2}])).toThrow('at least three');
		expect(() => fitLine([1, 2, 3].map(value => ({size: 4, value})))).toThrow('same size');
	});
});
