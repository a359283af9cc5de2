import {describe, expect, test} from '@jest/globals';
import {
	createMinions, lensDesk, replay, type Load, type Replayed,
} from '../__fixtures__/simulation.js';
import {type DispatchPolicy} from '../index.js';

/** What the product is measured against: one queue by class priority and arrival, without a bound. */
const plainQueue: DispatchPolicy = {
	compare: () => (one, other) => one.request.priority - other.request.priority || one.arrivedAt - other.arrivedAt,
	isTooLate: () => false,
};

const seeds = [1, 2, 3, 4, 5, 6];

const base: Omit<Load, 'seed'> = {
	lengthMs: 20_000,
	kinds: lensDesk,
	minions: createMinions(11),
	estimateSpread: 0.4,
	rateAt: () => 1,
};

const replayAll = (load: Omit<Load, 'seed'>): Replayed[] => seeds.map(seed => replay({...load, seed}));

const meanWorth = (replays: readonly Replayed[]): number =>
	replays.reduce((sum, {worth}) => sum + worth, 0) / replays.length;

const expectNoBrokenRule = (replays: readonly Replayed[]) => {
	for (const {overruns, overlaps, falseRefusals} of replays) {
		expect({overruns, overlaps, falseRefusals}).toEqual({overruns: 0, overlaps: 0, falseRefusals: 0});
	}
};

/** The users' target for days with trouble on this deployment, and for calm days. */
const target = {trouble: 0.62, calm: 0.97} as const;

describe('loads of the lens desk', () => {
	test('a calm day, at just over half of the usual rate, is served within its objectives', () => {
		const replays = replayAll({...base, rateAt: () => 0.56});
		expectNoBrokenRule(replays);
		expect(meanWorth(replays)).toBeGreaterThan(target.calm);
	});

	test.each<[string, Partial<Load>]>([
		['40% above the usual rate all the time', {rateAt: () => 1.4}],
		['a burst while 3 of 11 minions are lost', {
			minions: createMinions(8), rateAt: time => time > 8000 && time < 12_000 ? 1.4 : 1.1,
		}],
	])('%s: more is earned than by a plain queue, and than the target', (_, changes) => {
		const replays = replayAll({...base, ...changes});
		const plain = replayAll({...base, ...changes, policy: plainQueue});
		expectNoBrokenRule(replays);
		expect(meanWorth(replays)).toBeGreaterThan(target.trouble);
		expect(meanWorth(replays)).toBeGreaterThan(meanWorth(plain));
	});

	test('no class starves when the load is above capacity', () => {
		for (const {tallies} of replayAll({...base, rateAt: () => 1.4})) {
			for (const {asked, inObjective} of tallies.values()) {
				expect(inObjective / asked).toBeGreaterThan(0.36);
			}
		}
	});

	test('at six times the size and twice the usual rate, a call costs about one pass over the minions and the jobs', () => {
		const load = {
			...base, seed: 1, lengthMs: 4000, minions: createMinions(82), kinds: lensDesk.map(kind => ({...kind, perSecond: kind.perSecond * 6})), rateAt: () => 2,
		};
		const {calls, looks, comparisons} = replay(load);
		expect(looks / calls).toBeLessThan(load.minions.length);
		// Sorting 82 jobs takes about 82 times the logarithm of that.
		expect(comparisons / calls).toBeLessThan(82 * Math.log2(82));
	});

	test('a minion that fails all it starts is put aside', () => {
		const minions = createMinions(11).map((minion, index) => index === 3 ? {...minion, failsAt: (time: number) => time > 5000} : minion);
		const replays = replayAll({...base, minions});
		expectNoBrokenRule(replays);
		expect(meanWorth(replays)).toBeGreaterThan(target.trouble);
		for (const {tallies} of replays) {
			for (const {asked, failed} of tallies.values()) {
				expect(failed / asked).toBeLessThan(0.05);
			}
		}
	});

	test('the same seed gives the same result', () => {
		expect(replay({...base, seed: 7}).worth).toBe(replay({...base, seed: 7}).worth);
	});
});
