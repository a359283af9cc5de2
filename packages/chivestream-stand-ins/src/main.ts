/** The program `chivestream-stand-in`: one stand-in of an outside system as its own process. */
import process from 'node:process';
import meow from 'meow';
import {parseCommand, standInKinds, type StandIn} from './command-line.js';

const exitCode = {success: 0, failure: 1, usage: 2} as const;

const cli = meow(`
	Usage
	  $ chivestream-stand-in KIND [options]

	Kinds
	  ${standInKinds.join(', ')}

	Options of every kind
	  --listen IP:PORT      address to bind; port 0 lets the system choose (127.0.0.1:0)
	  --seed N              seed of random faults and choices (1)

	log       --max-records N  --max-age-ms MS
	hosts     --lag-ms MS
	minion    --id ID  --slots N  --speed FACTOR  --max-connections N
	          --count N  --speeds FACTOR,...  several in one process
	worker    --id ID  --speed FACTOR  --cores N  --memory-mb N  --accelerators N
	          --count N  --speeds FACTOR,...  several in one process
	          --usage-lag-ms MS  --clock-offset-ms MS  --longest-lease-ms MS
	balancer  --targets IP:PORT,...  --spread round-robin|random
	          --control-listen IP:PORT  --health-interval-ms MS

	Prints one line of JSON with the bound address once it is ready.
	Exit codes: 0 ended by SIGTERM or SIGINT, 1 failed, 2 wrong arguments.
`, {importMeta: import.meta, flags: {listen: {type: 'string'}, targets: {type: 'string'}, speeds: {type: 'string'}}});

const end = async (standIn: StandIn) => {
	await standIn.close();
	process.exit(exitCode.success);
};

const endOn = (signal: NodeJS.Signals, standIn: StandIn) => {
	process.once(signal, () => {
		void end(standIn);
	});
};

const run = async (): Promise<void> => {
	const command = parseCommand(cli.input[0], cli.flags);
	if ('faults' in command) {
		console.error(command.faults.join('\n'));
		process.exit(exitCode.usage);
	}

	const standIn = await command.start();
	endOn('SIGTERM', standIn);
	endOn('SIGINT', standIn);
	console.log(JSON.stringify({
		kind: cli.input[0], address: standIn.address, addresses: standIn.addresses, controlAddress: standIn.controlAddress,
	}));
};

try {
	await run();
} catch (error) {
	console.error(error instanceof Error ? error.message : error);
	process.exit(exitCode.failure);
}
