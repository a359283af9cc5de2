/** The program behind `npm run bench`. */
import process from 'node:process';
import meow from 'meow';
import {z} from 'zod';
import {runBench, type BenchResult} from './bench.js';

const exitCode = {done: 0, failed: 1, usage: 2} as const;

const cli = meow(`
	Usage
	  $ npm run bench -- [options]

	Measures one entry host beside direct calls to the same minion stand-ins in the same run.

	Options
	  --seed N         seed of the arrivals (1)
	  --rounds N       rounds of each phase (5)
	  --json           print the result as one line of JSON
	  --cpu-prof DIR   write a processor profile of the entry host into a directory

	Exit codes: 0 measured, 1 failed, 2 wrong arguments.
`, {
	importMeta: import.meta,
	flags: {
		seed: {type: 'number', default: 1},
		rounds: {type: 'number', default: 5},
		json: {type: 'boolean', default: false},
		cpuProf: {type: 'string'},
	},
});

const format = (result: BenchResult): string => [
	`added latency at half load, ms   p50 ${result.addedLatencyMs.p50}, p99 ${result.addedLatencyMs.p99}`,
	`  direct                         p50 ${result.directLatencyMs.p50}, p99 ${result.directLatencyMs.p99}`,
	`  through the entry host         p50 ${result.throughLatencyMs.p50}, p99 ${result.throughLatencyMs.p99}`,
	`  at jobs per second             ${result.halfLoadJobsPerSecond}`,
	`starts per second                ${result.startsPerSecond}`,
	`  per core of the entry host     ${result.startsPerSecondPerCore}`,
	`  direct                         ${result.directStartsPerSecond}`,
	`share of direct                  ${result.shareOfDirect} (by round: ${result.shares.join(', ')})`,
	`memory of the entry host, MB     first ${result.memoryMb.first}, last ${result.memoryMb.last}`,
].join('\n');

const optionsSchema = z.object({seed: z.int(), rounds: z.int().min(1), cpuProf: z.string().optional()});
const options = optionsSchema.safeParse(cli.flags);
if (!options.success) {
	console.error(z.prettifyError(options.error));
	process.exit(exitCode.usage);
}

for (const signal of ['SIGINT', 'SIGTERM'] as const) {
	process.once(signal, () => {
		process.exit(exitCode.failed);
	});
}

const {seed, rounds, cpuProf} = options.data;
try {
	const result = await runBench({
		seed, rounds, nodeOptions: cpuProf === undefined ? [] : ['--cpu-prof', `--cpu-prof-dir=${cpuProf}`],
	});
	console.log(cli.flags.json ? JSON.stringify(result) : format(result));
	process.exit(exitCode.done);
} catch (error) {
	console.error(error instanceof Error ? error.message : error);
	process.exit(exitCode.failed);
}
