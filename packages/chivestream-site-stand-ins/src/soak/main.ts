/** The command `chivestream-soak`, which runs soak tests with new or given seeds. */
import path from 'node:path';
import process from 'node:process';
import meow from 'meow';
import {regressions} from './regressions.js';
import {faultSet, runSoak, type SoakOptions} from './soak.js';

const cli = meow(`
	Usage
	  $ chivestream-soak [--seed N] [--seeds N] [--seconds N]

	Options
	  --seed N     First seed (default: derived from the current time)
	  --seeds N    Number of seeds, run one after the other (1)
	  --seconds N  Duration of faults and load for each seed (20)
	  --hosts N    Number of entry hosts (6)
	  --minions N  Number of minions (12)
	  --zones N    Number of availability zones (2)
	  --faults S   Set of faults: all, or basic without deadly tasks and changes of capacity (all)
	  --program F  Path of the host's program (default: the built one)
	  --regressions  Run the seeds that failed in the past instead

	Exit codes
	  0  no violations
	  1  violations; the result with the seed, the violations and the folder of the logs is printed
`, {
	importMeta: import.meta,
	flags: {
		seed: {type: 'number', default: Date.now() % 1_000_000},
		seeds: {type: 'number', default: 1},
		seconds: {type: 'number', default: 20},
		hosts: {type: 'number', default: 6},
		minions: {type: 'number', default: 12},
		zones: {type: 'number', default: 2},
		regressions: {type: 'boolean', default: false},
		faults: {type: 'string', choices: Object.values(faultSet), default: faultSet.all},
		program: {type: 'string', default: path.join(import.meta.dirname, '../../../chivestream-host/bin/chivestream-host.js')},
	},
});

const msPerSecond = 1000;
const {seed: firstSeed, seeds, seconds, program, hosts, minions, zones} = cli.flags;
const faults = cli.flags.faults === faultSet.basic ? faultSet.basic : faultSet.all;
const soakRuns: Array<Pick<SoakOptions, 'seed' | 'hosts' | 'minions' | 'zones' | 'faults'>> = cli.flags.regressions
	? [...regressions]
	: Array.from({length: seeds}, (_, index) => ({
		seed: firstSeed + index, hosts, minions, zones, faults,
	}));
for (const soakRun of soakRuns) {
	const {seed} = soakRun;
	// eslint-disable-next-line no-await-in-loop -- soaks run one after the other
	const result = await runSoak({
		...soakRun,
		program,
		lengthMs: seconds * msPerSecond,
		log(line) {
			console.error(`${seed}: ${line}`);
		},
	});
	console.log(JSON.stringify(result));
	if (result.violations.length > 0) {
		process.exitCode = 1;
	}
}
