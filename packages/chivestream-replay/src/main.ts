/** Command line of `chivestream-replay`: replays traces and runs seeds with faults. */
import process from 'node:process';
import meow from 'meow';
import {runFaults} from './faults/index.js';
import {runProfile} from './profile/index.js';

const usageExitCode = 2;

const cli = meow(`
	Usage
	  $ chivestream-replay --profile lens-desk|film-installers [options]
	  $ chivestream-replay --trace FILE [options]
	  $ chivestream-replay --faults NAME [options]

	Options
	  --profile NAME     generate a trace for this deployment and replay it
	  --load N           ratio of offered work to capacity (default 0.6)
	  --seed N           seed of the trace and of every random choice (default 1)
	  --fault NAME       none, straggler, failing-minion, hanging-minion, wrong-sizes, burst,
	                     cancellation-wave, host-killed or zone-cut (default none)
	  --policy NAME      placement policy to replay (default chivestream)
	  --trace FILE       replay this trace
	  --save-trace FILE  write the replayed trace to this file
	  --faults NAMES     run nine entry hosts on a fake clock with these faults: all, or a comma-separated list
	  --count N          with --faults: number of seeds to run, from --seed on (default 1)
	  --switch-off NAME  with --faults: disable this safeguard, to see what it prevents
	  --json             print the result as one JSON object on the last line
`, {
	importMeta: import.meta,
	flags: {
		profile: {type: 'string'},
		load: {type: 'number', default: 0.6},
		seed: {type: 'number', default: 1},
		fault: {type: 'string', default: 'none'},
		policy: {type: 'string', default: 'chivestream'},
		trace: {type: 'string'},
		saveTrace: {type: 'string'},
		faults: {type: 'string'},
		count: {type: 'number', default: 1},
		switchOff: {type: 'string'},
		json: {type: 'boolean', default: false},
	},
});

const run = async (): Promise<number> => {
	const {profile, trace, faults} = cli.flags;
	if (faults !== undefined) {
		return runFaults({...cli.flags, faults});
	}

	if (profile === undefined && trace === undefined) {
		console.error('--profile, --trace or --faults is required; see --help');
		return usageExitCode;
	}

	return runProfile({
		...cli.flags, profile: profile ?? '', trace, saveTrace: cli.flags.saveTrace,
	});
};

try {
	process.exitCode = await run();
} catch (error) {
	console.error(error instanceof Error ? error.message : error);
	process.exitCode = usageExitCode;
}
