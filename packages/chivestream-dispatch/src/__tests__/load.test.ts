import {describe, expect, test} from '@jest/globals';
import {
	createMinions, lensDesk, replay, type Load, type ReplayResult,
} from '../__fixtures__/simulation.js';
import {type DispatchPolicy} from '../index.js';

/** The baseline of the comparison: an unbounded queue ordered by priority and arrival. */
const plainQueue: DispatchPolicy = {
	compare: () => (one, other) => one.request.priority - other.request.priority || one.arrivedAt - other.arrivedAt,
	isTooLate: () => false,
};

const seeds = [1, 2, 3, 4, 5, 6];

const baseLoad: Omit<Load, 'seed'> = {
	lengthMs: 20_000,
	kinds: lensDesk,
	minions: createMinions(11),
	estimateSpread: 0.4,
	rateAt: () => 1,
};

const replayAll = (load: Omit<Load, 'seed'>): ReplayResult[] => seeds.map(seed => replay({...load, seed}));

const meanWorth = (replays: readonly ReplayResult[]): number =>
	replays.reduce((sum, {worth}) => sum + worth, 0) / replays.length;

/** Checks that no minion was overloaded, no task ran twice at once and no started job was refused. */
const expectNoViolations = (replays: readonly ReplayResult[]) => {
	for (const {overruns, overlaps, falseRefusals} of replays) {
		expect({overruns, overlaps, falseRefusals}).toEqual({overruns: 0, overlaps: 0, falseRefusals: 0});
	}
};

/** The users' targets for the share of the worth earned on this deployment, on days with overload or faults and on calm days. */
const targetWorth = {trouble: 0.62, calm: 0.97} as const;

describe('loads of the lens desk', () => {
	test('earns the target for calm days at 56% of the usual rate', () => {
		const replays = replayAll({...baseLoad, rateAt: () => 0.56});
		expectNoViolations(replays);
		expect(meanWorth(replays)).toBeGreaterThan(targetWorth.calm);
	});

	test.each<[string, Partial<Load>]>([
		['1.4 times the usual rate throughout', {rateAt: () => 1.4}],
		['a burst while 3 of 11 minions are missing', {
			minions: createMinions(8), rateAt: time => time > 8000 && time < 12_000 ? 1.4 : 1.1,
		}],
	])('%s: earns more than a plain queue and more than the target', (_, changes) => {
		const replays = replayAll({...baseLoad, ...changes});
		const plain = replayAll({...baseLoad, ...changes, policy: plainQueue});
		expectNoViolations(replays);
		expect(meanWorth(replays)).toBeGreaterThan(targetWorth.trouble);
		expect(meanWorth(replays)).toBeGreaterThan(meanWorth(plain));
	});

	test('no kind of job starves above capacity', () => {
		for (const {tallies} of replayAll({...baseLoad, rateAt: () => 1.4})) {
			for (const {submitted, inObjective} of tallies.values()) {
				expect(inObjective / submitted).toBeGreaterThan(0.36);
			}
		}
	});

	test('a call costs about one pass over minions and jobs at six times the size and twice the usual rate', () => {
		const load = {
			...baseLoad, seed: 1, lengthMs: 4000, minions: createMinions(82), kinds: lensDesk.map(kind => ({...kind, perSecond: kind.perSecond * 6})), rateAt: () => 2,
		};
		const {calls, minionChecks, comparisons} = replay(load);
		expect(minionChecks / calls).toBeLessThan(load.minions.length);
		// Sorting 82 jobs takes about 82 * log2(82) comparisons.
		expect(comparisons / calls).toBeLessThan(82 * Math.log2(82));
	});

	test('a minion on which every task fails is quarantined', () => {
		const minions = createMinions(11).map((minion, index) => index === 3 ? {...minion, failsAt: (time: number) => time > 5000} : minion);
		const replays = replayAll({...baseLoad, minions});
		expectNoViolations(replays);
		expect(meanWorth(replays)).toBeGreaterThan(targetWorth.trouble);
		for (const {tallies} of replays) {
			for (const {submitted, failed} of tallies.values()) {
				expect(failed / submitted).toBeLessThan(0.05);
			}
		}
	});

	test('the same seed gives the same result', () => {
		expect(replay({...baseLoad, seed: 7}).worth).toBe(replay({...baseLoad, seed: 7}).worth);
	});
});
