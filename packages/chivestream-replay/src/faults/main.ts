/** Runs one seed or several with faults: `--seed N --count N --faults all|KIND,... --switch-off NAME --json`. */
import process from 'node:process';
import meow from 'meow';
import {faultKind} from './fault-plan.js';
import {runFaults} from './run-faults.js';
import {mechanism} from './switches.js';

const cli = meow(`
	Usage
	  $ npm run replay -- --faults all --seed 7 --json

	Options
	  --faults      "all", or kinds of faults with commas between
	  --seed        Seed of the run
	  --count       Number of seeds to run, from --seed on
	  --switch-off  Mechanism to switch off: ${Object.values(mechanism).join(', ')}
	  --json        Ends with one line of JSON for each seed
`, {
	importMeta: import.meta,
	flags: {
		faults: {type: 'string', default: 'all'},
		seed: {type: 'number', default: 1},
		count: {type: 'number', default: 1},
		switchOff: {type: 'string'},
		json: {type: 'boolean', default: true},
	},
});

const kinds = Object.values(faultKind);
const {faults, seed, count, switchOff} = cli.flags;
const chosen = faults === 'all' ? kinds : kinds.filter(kind => faults.split(',').includes(kind));
const switchedOff = Object.values(mechanism).find(known => known === switchOff);
if (switchOff !== undefined && switchedOff === undefined) {
	console.error(`--switch-off: no mechanism is called "${switchOff}"; choose one of ${Object.values(mechanism).join(', ')}`);
	process.exit(2);
}

for (let current = seed; current < seed + count; current++) {
	// eslint-disable-next-line no-await-in-loop -- one run at a time
	const report = await runFaults({seed: current, kinds: chosen, switchedOff});
	console.log(JSON.stringify(report));
}

process.exit(0);
