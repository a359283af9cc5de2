import {expect, test} from '@jest/globals';
import {type ClusterReport, type ClusterSwitches, playCluster} from '../__fixtures__/cluster-run.js';

const playSeeds = async (count: number, switches?: ClusterSwitches): Promise<ClusterReport[]> => {
	const reports: ClusterReport[] = [];
	for (let seed = 1; seed <= count; seed += 1) {
		// eslint-disable-next-line no-await-in-loop
		reports.push(await playCluster(seed, switches));
	}

	return reports;
};

const behindZone = 'a new host serves a version before one that was in force in its zone';

test('through all faults no version reverts, and afterwards every host has the newest', async () => {
	const reports = await playSeeds(40);
	expect(reports.flatMap(({violations}, index) => violations.map(violation => `seed ${index + 1}: ${violation}`))).toEqual([]);
	expect(reports.reduce((sum, {accepted}) => sum + accepted, 0)).toBeGreaterThan(100);
	expect(reports.reduce((sum, {replaced}) => sum + replaced, 0)).toBeGreaterThan(100);
});

test('the same seed gives the same run', async () => {
	expect(await playCluster(7)).toEqual(await playCluster(7));
});

const mostSeeds = 400;

/** Whether some seed shows a violation; the seeds end with the first one that does. */
const isShown = async (violation: string, switches: ClusterSwitches): Promise<boolean> => {
	for (let seed = 1; seed <= mostSeeds; seed += 1) {
		// eslint-disable-next-line no-await-in-loop
		const {violations} = await playCluster(seed, switches);
		if (violations.includes(violation)) {
			return true;
		}
	}

	return false;
};

test('without the rule for the start some run shows it', async () => {
	expect(await isShown(behindZone, {isOffering: true, proof: () => true})).toBe(true);
});

test('without the offer to the zone some run shows it', async () => {
	expect(await isShown(behindZone, {isOffering: false})).toBe(true);
});
