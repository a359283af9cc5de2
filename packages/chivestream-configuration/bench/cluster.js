/**
Runs the cluster of the tests for many seeds and prints the totals as one JSON object: `node cluster.js FIRST LAST`. The third
argument `no-offer` switches the replication to the zone off, `no-proof` the freshness proof. Run it after a build.
*/
import process from 'node:process';
import {runCluster} from '../dist/__fixtures__/cluster-run.js';

const switchesByName = {
	all: {isReplicating: true},
	'no-offer': {isReplicating: false},
	'no-proof': {isReplicating: true, freshnessProof: () => true},
};

const [first = '1', last = '100', name = 'all'] = process.argv.slice(2);
const total = {
	accepted: 0, beaten: 0, unknown: 0, replaced: 0,
};
const violatingSeeds = [];
const healMs = [];

for (let seed = Number(first); seed <= Number(last); seed += 1) {
	// eslint-disable-next-line no-await-in-loop
	const report = await runCluster(seed, switchesByName[name]);
	for (const field of Object.keys(total)) {
		total[field] += report[field];
	}

	healMs.push(report.healMs);
	if (report.violations.length > 0) {
		violatingSeeds.push(seed);
	}
}

healMs.sort((left, right) => left - right);
console.log(JSON.stringify({
	first, last, name, ...total, violatingSeeds, medianHealMs: healMs[Math.floor(healMs.length / 2)], longestHealMs: healMs.at(-1),
}));
