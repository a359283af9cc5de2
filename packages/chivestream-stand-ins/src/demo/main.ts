/** The program behind `npm run demo`. */
import process from 'node:process';
import meow from 'meow';
import {z} from 'zod';
import {runDemo} from './demo.js';
import {createRows, findFaults, formatTable} from './table.js';

const exitCode = {sound: 0, violation: 1, usage: 2} as const;

const cli = meow(`
	Usage
	  $ npm run demo -- [options]

	Runs nine entry hosts in three zones with their platform, minions and callers on loopback, kills one entry host,
	drains another, and holds the answers against what the minions started.

	Options
	  --seed N     seed of the jobs (1)
	  --end-at MS  end of the load after its start (12000)
	  --rate X     factor on the usual job rates (1)
	  --json       print the result as one line of JSON

	Exit codes: 0 sound, 1 a promise was broken or a process failed, 2 wrong arguments.
`, {
	importMeta: import.meta,
	flags: {
		seed: {type: 'number', default: 1},
		endAt: {type: 'number', default: 12_000},
		rate: {type: 'number', default: 1},
		json: {type: 'boolean', default: false},
	},
});

const optionsSchema = z.object({seed: z.int(), endAt: z.number().min(1000), rate: z.number().positive()});
const options = optionsSchema.safeParse(cli.flags);
if (!options.success) {
	console.error(z.prettifyError(options.error));
	process.exit(exitCode.usage);
}

const {seed, endAt, rate} = options.data;
console.error(`Demo with seed ${seed}: nine entry hosts in three zones, ${endAt / 1000} s of load`);
for (const signal of ['SIGINT', 'SIGTERM'] as const) {
	process.once(signal, () => {
		process.exit(exitCode.violation);
	});
}

try {
	const result = await runDemo({seed, endAt, rateFactor: rate});
	const faults = findFaults(result);
	console.log(cli.flags.json ? JSON.stringify(result) : formatTable(createRows(result)));
	console.log(faults.length === 0 ? 'sound' : faults.join('\n'));
	process.exit(faults.length === 0 ? exitCode.sound : exitCode.violation);
} catch (error) {
	console.error(error instanceof Error ? error.message : error);
	process.exit(exitCode.violation);
}
