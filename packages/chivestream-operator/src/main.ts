/** The program `chivestream`. */
import process from 'node:process';
import {runCommandLine} from './command-line/run.js';

const controller = new AbortController();
process.once('SIGINT', () => {
	controller.abort();
});

process.exitCode = await runCommandLine({
	arguments: process.argv.slice(2),
	environment: process.env,
	write(text) {
		process.stdout.write(`${text}\n`);
	},
	writeError(text) {
		process.stderr.write(`${text}\n`);
	},
	signal: controller.signal,
});
