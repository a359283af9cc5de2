import {describe, expect, test} from '@jest/globals';
import {
	chooseDispatchers, distributeCells, reachability, shouldHandOver, type Candidate,
} from '../election.js';

const candidate = (name: string, changes: Partial<Candidate> = {}, cpuShare = 1): Candidate => ({
	record: {
		name, zone: 'z', address: '10.0.0.1:1', bornAt: 1, cpuShare,
	},
	claims: [],
	cellCount: 1,
	isLeaving: false,
	reachability: reachability.alive,
	...changes,
});

const claims = (...tokens: Array<[cell: number, token: number]>): Pick<Candidate, 'claims'> => ({
	claims: tokens.map(([cell, token]) => ({cell, token, freeTasks: 0})),
});

const choose = (self: Candidate, others: readonly Candidate[], canReachStore = true, cellCount = 1) =>
	chooseDispatchers(self, others, canReachStore, cellCount).map(choice => choice.kind === 'follow' ? choice.record.name : choice.kind);

describe('the choice of a cell\'s dispatcher', () => {
	test('the host with the highest token stays the dispatcher, even if a larger host joins', () => {
		expect(choose(candidate('a', {}, 2), [candidate('b', claims([0, 5])), candidate('c', claims([0, 4]))])).toEqual(['b']);
	});

	test('without a claim, the largest reachable host claims', () => {
		expect(choose(candidate('b', {}, 2), [candidate('a')], false)).toEqual(['claim']);
		expect(choose(candidate('a'), [candidate('b', {}, 2)], false)).toEqual(['b']);
	});

	test('a host that is shutting down neither claims nor is followed', () => {
		expect(choose(candidate('a', {isLeaving: true}), [candidate('b', {...claims([0, 3]), isLeaving: true})])).toEqual(['none']);
	});

	test('a host that reaches neither the others nor the store doesn\'t claim', () => {
		const silent = [candidate('b', {reachability: reachability.silent}), candidate('c', {reachability: reachability.silent})];
		expect(choose(candidate('a'), silent, false)).toEqual(['none']);
		expect(choose(candidate('a'), silent, true)).toEqual(['claim']);
	});

	test('hosts whose addresses refuse connections have ended, so the last remaining host claims', () => {
		const dead = [candidate('b', {reachability: reachability.dead}), candidate('c', {reachability: reachability.dead})];
		expect(choose(candidate('a'), dead, false)).toEqual(['claim']);
	});
});

describe('several cells', () => {
	test('go to the least loaded hosts for their CPU share, and all hosts make the same choice', () => {
		const hosts = [candidate('a', {}, 1.35), candidate('b', {}, 0.9), candidate('c', {}, 0.7), candidate('d', {}, 0.25)];
		const choices = hosts.map(self => choose(self, hosts.filter(host => host !== self), true, 4)
			.map(name => name === 'claim' ? self.record.name : name));
		expect(choices).toEqual(hosts.map(() => ['a', 'b', 'c', 'a']));
		const cellCounts = distributeCells(hosts.map(({record}) => record), 4);
		expect([...cellCounts].map(([{name}, cells]) => [name, cells])).toEqual([['a', 2], ['b', 1], ['c', 1]]);
	});

	test('that have a claimant stay there, and an unclaimed one goes to the least loaded host', () => {
		const others = [candidate('b', claims([0, 7], [1, 8])), candidate('c')];
		expect(choose(candidate('a', claims([2, 9])), others, true, 4)).toEqual(['b', 'b', 'a', 'c']);
	});

	test('all go to the last reachable host', () => {
		expect(choose(candidate('a'), [candidate('b', {reachability: reachability.dead})], false, 4)).toEqual(['claim', 'claim', 'claim', 'claim']);
	});
});

describe('a cell is handed over', () => {
	test('to a host with a much lower load, not to an equal one', () => {
		expect(shouldHandOver(candidate('a', claims([0, 1], [1, 2])), [candidate('b')])).toBe(true);
		expect(shouldHandOver(candidate('a', claims([0, 1])), [candidate('b')])).toBe(false);
		expect(shouldHandOver(candidate('a', claims([0, 1]), 0.25), [candidate('b', {}, 1.35)])).toBe(true);
	});

	test('by one host only when a large host has returned without a cell', () => {
		const hosts = [candidate('a', claims([0, 1], [1, 2]), 1.35), candidate('b', {}, 1.35), candidate('c', claims([2, 3]), 0.81), candidate('d', claims([3, 4]), 0.81)];
		const handingOver = hosts.filter(self => shouldHandOver(self, hosts.filter(other => other !== self)));
		expect(handingOver.map(({record}) => record.name)).toEqual(['a']);
	});

	test('by one of several hosts with the same load', () => {
		const hosts = [candidate('a', claims([0, 1], [1, 2])), candidate('b', claims([2, 3], [3, 4])), candidate('c')];
		expect(hosts.filter(self => shouldHandOver(self, hosts.filter(other => other !== self)))).toHaveLength(1);
	});

	test('to no host that is shutting down or unreachable', () => {
		const others = [candidate('b', {isLeaving: true}), candidate('c', {reachability: reachability.silent})];
		expect(shouldHandOver(candidate('a', claims([0, 1], [1, 2])), others)).toBe(false);
	});
});
