import {describe, expect, test} from '@jest/globals';
import fc from 'fast-check';
import {cellCountFor, cellName, cellOf} from '../cells.js';
import {type HostRecord} from '../messages.js';

/** Hosts of a zone, with their number of cores. */
const zone = (...cpuShares: number[]): HostRecord[] => cpuShares.map((cpuShare, index) => ({
	name: `h${index}`, zone: 'z', address: '127.0.0.1:1', bornAt: 1, cpuShare,
}));

const manyHosts = (count: number, cpuShare: number) => zone(...Array.from({length: count}, () => cpuShare));

describe('a zone whose hosts can carry 20 minions or more', () => {
	const sizes = [0, 1, 11, 33, 39, 40, 61, 79, 80, 82, 160];
	const cellCounts = [1, 1, 1, 1, 1, 2, 2, 2, 4, 4, 8];

	test('is one cell if it is small, and a division leaves at least 20 minions per cell on average', () => {
		expect(sizes.map(minions => cellCountFor(minions, []))).toEqual(cellCounts);
		expect(sizes.map(minions => cellCountFor(minions, manyHosts(3, 0.675)))).toEqual(cellCounts);
		expect(sizes.map(minions => cellCountFor(minions, manyHosts(20, 0.243)))).toEqual(cellCounts);
		expect(sizes.map(minions => cellCountFor(minions, zone(1.35, 1.35, 0.81, 0.81, ...Array.from({length: 7}, () => 0.243))))).toEqual(cellCounts);
	});

	test('has as many cells as its number of minions requires, whichever of its hosts are there', () => {
		const cores = fc.double({min: 0.24, max: 4, noNaN: true});
		fc.assert(fc.property(fc.nat(500), fc.array(cores, {maxLength: 40}), (minions, shares) => {
			expect(cellCountFor(minions, zone(...shares))).toBe(cellCountFor(minions, []));
		}), {seed: 44, numRuns: 2000});
	});
});

describe('a zone of small hosts', () => {
	test('has cells that its hosts can carry', () => {
		expect([8, 9, 10, 20, 34, 40, 70].map(minions => cellCountFor(minions, manyHosts(11, 0.06)))).toEqual([1, 1, 1, 2, 4, 4, 8]);
		expect(cellCountFor(34, manyHosts(5, 0.12))).toBe(2);
	});

	test('has no more cells than hosts, unless its number of minions requires them', () => {
		expect([1, 2, 3, 4, 5, 7, 8].map(hosts => cellCountFor(70, manyHosts(hosts, 0.06)))).toEqual([2, 2, 2, 4, 4, 4, 8]);
		expect(cellCountFor(82, manyHosts(1, 0.06))).toBe(4);
	});

	test('has at least 5 minions per cell on average, however small the hosts are', () => {
		expect([4, 9, 10, 19, 20, 34].map(minions => cellCountFor(minions, manyHosts(11, 0.001)))).toEqual([1, 1, 2, 2, 4, 4]);
	});

	test('keeps a count that it has', () => {
		expect(cellCountFor(34, manyHosts(5, 0.06), 8)).toBe(8);
		expect(cellCountFor(0, [], 4)).toBe(4);
	});
});

describe('a zone of hosts of different sizes', () => {
	test('is not divided because of hosts that would not dispatch', () => {
		expect(cellCountFor(34, zone(1, 0.06))).toBe(1);
		expect(cellCountFor(34, zone(0.06, 0.06, 0.06, 0.06, 1))).toBe(1);
		expect(cellCountFor(45, zone(1, 1, 0.06, 0.06, 0.06))).toBe(2);
	});

	test('is not divided if smaller cells would stay with the largest host', () => {
		expect(cellCountFor(39, zone(0.2, 0.01, 0.01, 0.01, 0.01))).toBe(1);
	});
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
