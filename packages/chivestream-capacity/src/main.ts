/** Command-line entry point of `chivestream-capacity`. */
import process from 'node:process';
import meow from 'meow';
import {formatSlope} from './format.js';
import {measurements} from './measurements/index.js';
import {parseOptions} from './options.js';
import {type Slope} from './slope.js';

const exitCode = {done: 0, failed: 1, usage: 2} as const;

const cli = meow(`
	Usage
	  $ chivestream-capacity [options]

	Measures how the cost of the project's own code grows with size and prints each metric with its least-squares line and error.

	Options
	  --only NAMES   run only these measurements, separated by commas: ${Object.keys(measurements).join(', ')}
	  --rounds N     measured rounds over all sizes, after one warm-up round (default 3)
	  --json         print the result as one JSON object on the last line

	Exit codes: 0 success, 1 failure, 2 invalid arguments.
`, {
	importMeta: import.meta,
	flags: {
		only: {type: 'string'},
		rounds: {type: 'number', default: 3},
		json: {type: 'boolean', default: false},
	},
});

const options = parseOptions(cli.flags, Object.keys(measurements));
if (options.isErr()) {
	console.error(options.error.join('\n'));
	process.exit(exitCode.usage);
}

const {names, rounds, isJson} = options.value;
try {
	const slopes: Slope[] = [];
	for (const name of names) {
		const {sizes, run} = measurements[name]!;
		const measured = await run({sizes, rounds}); // eslint-disable-line no-await-in-loop -- measurements run one at a time
		console.log(measured.map(slope => formatSlope(slope)).join('\n'));
		slopes.push(...measured);
	}

	if (isJson) {
		console.log(JSON.stringify({node: process.version, rounds, slopes}));
	}

	process.exit(exitCode.done);
} catch (error) {
	console.error(error instanceof Error ? error.message : error);
	process.exit(exitCode.failed);
}
