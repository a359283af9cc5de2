/** The program `chivestream-soak`: soaks with fresh or given seeds. */
import path from 'node:path';
import process from 'node:process';
import meow from 'meow';
import {regressions} from './regressions.js';
import {runSoak, type SoakOptions} from './soak.js';

const cli = meow(`
	Usage
	  $ chivestream-soak [--seed N] [--seeds N] [--seconds N]

	Options
	  --seed N     First seed (drawn from the time otherwise)
	  --seeds N    How many seeds, one after the other (1)
	  --seconds N  How long faults go on in each (20)
	  --hosts N    Entry hosts (6)
	  --minions N  Minions (12)
	  --zones N    Availability zones (2)
	  --program F  The host's program (the built one)
	  --regressions  The seeds that once failed, in place of the others

	Exit codes
	  0  no promise was broken
	  1  a promise was broken; the seed, what was seen and the folder of the logs are printed
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
		program: {type: 'string', default: path.join(import.meta.dirname, '../../../chivestream-host/bin/chivestream-host.js')},
	},
});

const msPerSecond = 1000;
const {seed: firstSeed, seeds, seconds, program, hosts, minions, zones} = cli.flags;
const soakRuns: Array<Pick<SoakOptions, 'seed' | 'hosts' | 'minions' | 'zones'>> = cli.flags.regressions
	? [...regressions]
	: Array.from({length: seeds}, (_, index) => ({
		seed: firstSeed + index, hosts, minions, zones,
	}));
for (const soakRun of soakRuns) {
	const {seed} = soakRun;
	// eslint-disable-next-line no-await-in-loop -- one soak after the other
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
