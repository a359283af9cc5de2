import {describe, expect, test} from '@jest/globals';
import {measurements} from '../measurements/index.js';

/** Some measurements start entry processes and stand-ins. */
const testTimeoutMs = 60_000;

describe('measurements', () => {
	test.each(Object.entries(measurements))('%s returns a slope for each metric at tiny sizes', async (name, {sizes, tinySizes, run}) => {
		expect(new Set(sizes).size).toBeGreaterThanOrEqual(4);
		const slopes = await run({sizes: tinySizes, rounds: 1, windowMs: 50});
		expect(slopes.length).toBeGreaterThan(0);
		for (const slope of slopes) {
			expect(slope.name.startsWith(`${name}.`)).toBe(true);
			expect(slope.points.map(({size}) => size)).toEqual(tinySizes);
			expect(slope.points.every(({median}) => Number.isFinite(median))).toBe(true);
		}
	}, testTimeoutMs);
});
