/** The program `chivestream-host`: one entry host on the users' platform. */
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {readSettingsFile} from 'chivestream-settings';
import meow from 'meow';
import {EntryHost} from './host.js';
import {createReport} from './host-log.js';
import {hostSettingsSchema, settingsVariable} from './settings.js';

const exitCode = {ok: 0, failed: 1, badSettings: 2} as const;

const cli = meow(`
	Usage
	  $ chivestream-host [--settings FILE]

	Options
	  --settings FILE  Settings in JSON with comments; default: the file named by ${settingsVariable}
	  --check          Check the settings and exit
	  --version        Print the version
	  --help           Print this text

	Exit codes
	  0  planned stop, or valid settings with --check
	  1  could not start, or stopped after an unexpected error
	  2  the settings are invalid; all errors are listed

	SIGTERM and SIGINT start a planned stop: work in progress is completed first.
	SIGHUP reloads the settings: seeds and bounds take effect, and the log lists the changes that need a restart.
`, {
	importMeta: import.meta,
	// The bundled program has no package file beside it.
	pkg: {name: 'chivestream-host', version: '0.1.0'},
	flags: {
		settings: {type: 'string', default: process.env[settingsVariable] ?? ''},
		check: {type: 'boolean', default: false},
	},
});

/** Reads the settings and runs the host until a stop signal. A function, since the bundled program can't use top-level await. */
const run = async () => {
	const settings = await readSettingsFile(cli.flags.settings, hostSettingsSchema);
	if (settings.isErr()) {
		console.error(settings.error.message);
		process.exit(exitCode.badSettings);
	}

	if (cli.flags.check) {
		process.exit(exitCode.ok);
	}

	const {host, logLevel} = settings.value;
	const report = createReport({host: host.name}, logLevel, () => performance.now());

	try {
		const entryHost = new EntryHost(settings.value, report);
		let isStopping = false;
		const stop = async (code: number) => {
			if (!isStopping) {
				isStopping = true;
				await entryHost.stop();
				process.exit(code);
			}
		};

		for (const signal of ['SIGTERM', 'SIGINT'] as const) {
			process.on(signal, () => {
				void stop(exitCode.ok);
			});
		}

		const reload = async () => {
			const changed = await readSettingsFile(cli.flags.settings, hostSettingsSchema);
			if (changed.isErr()) {
				report('settings-refused', {reason: changed.error.message});
			} else {
				entryHost.changeSettings(changed.value);
			}
		};

		process.on('SIGHUP', () => {
			void reload();
		});
		process.on('unhandledRejection', error => {
			// Only the operation that failed is affected.
			report('unexpected-error', {reason: error instanceof Error ? error.stack : String(error)});
		});
		process.on('uncaughtException', error => {
			// The state of the process is unknown: it completes its requests and is started anew.
			report('unexpected-error', {reason: error.stack});
			void stop(exitCode.failed);
		});
		await entryHost.start();
	} catch (error) {
		report('could-not-start', {reason: error instanceof Error ? error.message : String(error)});
		process.exitCode = exitCode.failed;
	}
};

void run();
