import {expect, test} from '@jest/globals';
import {type ClusterReport, type ClusterSwitches, runCluster} from '../__fixtures__/cluster-run.js';

const runSeeds = async (count: number, switches?: ClusterSwitches): Promise<ClusterReport[]> => {
	const reports: ClusterReport[] = [];
	for (let seed = 1; seed <= count; seed += 1) {
		// eslint-disable-next-line no-await-in-loop
		reports.push(await runCluster(seed, switches));
	}

	return reports;
};

const staleHost = 'a new host serves a version before one that was in force in its zone';

test('no version reverts during faults, and every host has the newest version afterwards', async () => {
	const reports = await runSeeds(40);
	expect(reports.flatMap(({violations}, index) => violations.map(violation => `seed ${index + 1}: ${violation}`))).toEqual([]);
	expect(reports.reduce((sum, {accepted}) => sum + accepted, 0)).toBeGreaterThan(100);
	expect(reports.reduce((sum, {replaced}) => sum + replaced, 0)).toBeGreaterThan(100);
});

test('the same seed produces the same run', async () => {
	expect(await runCluster(7)).toEqual(await runCluster(7));
});

const maxSeeds = 400;

/** Whether some seed reproduces a violation; stops at the first one. */
const isReproduced = async (violation: string, switches: ClusterSwitches): Promise<boolean> => {
	for (let seed = 1; seed <= maxSeeds; seed += 1) {
		// eslint-disable-next-line no-await-in-loop
		const {violations} = await runCluster(seed, switches);
		if (violations.includes(violation)) {
			return true;
		}
	}

	return false;
};

test('some run violates freshness without the freshness proof', async () => {
	expect(await isReproduced(staleHost, {isReplicating: true, freshnessProof: () => true})).toBe(true);
});

test('some run violates freshness without replication to the zone', async () => {
	expect(await isReproduced(staleHost, {isReplicating: false})).toBe(true);
});
