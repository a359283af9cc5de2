/** The program `chivestream-entry`: one entry host. */
import process from 'node:process';
import {createStructuredLogger, Failure, failureCode} from 'chivestream-core';
import {entrySettings, readSettingsFile} from 'chivestream-settings';
import meow from 'meow';
import {startEntryProcess} from './entry-process.js';

const exitCode = {
	ok: 0,
	failed: 1,
	badSettings: 2,
	cannotListen: 3,
} as const;

const cli = meow(`
	Usage
	  $ chivestream-entry --settings FILE

	Options
	  --settings FILE  Settings in JSON with comments
	  --check          Check the settings and exit
	  --version        Print the version
	  --help           Print this text

	Exit codes
	  0  planned stop, or valid settings with --check
	  1  stopped by an error
	  2  the settings are invalid; all errors are listed
	  3  an address can't be listened on

	SIGTERM and SIGINT start a planned stop, which finishes the work in progress first.
`, {
	importMeta: import.meta,
	flags: {
		settings: {type: 'string', isRequired: true},
		check: {type: 'boolean', default: false},
	},
});

const settings = await readSettingsFile(cli.flags.settings, entrySettings);
if (settings.isErr()) {
	console.error(settings.error.message);
	process.exit(exitCode.badSettings);
}

if (cli.flags.check) {
	process.exit(exitCode.ok);
}

const {host, logLevel} = settings.value;
const logger = createStructuredLogger({host: host.id, zone: host.zone}, logLevel);

try {
	const entry = await startEntryProcess(settings.value, logger);
	console.log(JSON.stringify({...entry.addresses, id: host.id, incarnation: entry.host.incarnation}));
	let isStopping = false;
	const stop = async () => {
		if (isStopping) {
			return;
		}

		isStopping = true;
		await entry.stop();
		process.exit(exitCode.ok);
	};

	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.on(signal, () => {
			void stop();
		});
	}
} catch (error) {
	logger.error('could not start', {step: 'start', peer: host.id, reason: error instanceof Error ? error.message : String(error)});
	process.exit(error instanceof Failure && error.code === failureCode.settingsInvalid ? exitCode.badSettings : exitCode.cannotListen);
}
