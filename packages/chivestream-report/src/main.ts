/** The program `chivestream-report`. */
import process from 'node:process';
import {systemClock} from 'chivestream-core';
import {runReport} from './run.js';

process.exitCode = await runReport({
	arguments: process.argv.slice(2),
	environment: process.env,
	write(text) {
		process.stdout.write(`${text}\n`);
	},
	writeError(text) {
		process.stderr.write(`${text}\n`);
	},
	clock: systemClock,
});
