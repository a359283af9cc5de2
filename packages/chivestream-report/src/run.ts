/** The program `chivestream-report`. */
import {readFile, writeFile} from 'node:fs/promises';
import {
	type Clock, Failure, failureCode, toFailure,
} from 'chivestream-core';
import meow from 'meow';
import {type BurnReport, createBurnReport, objectiveState} from './burn.js';
import {readHistories} from './client.js';
import {formatHtml} from './format-html.js';
import {formatText} from './format-text.js';

/** The program's exit codes. */
export const reportExitCode = {
	/** Every objective is met or idle. */
	met: 0,
	/** An unexpected error occurred. */
	internal: 1,
	/** The command line can't be parsed, or a file can't be read. */
	usage: 2,
	/** Hosts are missing, or the state of an objective can't be determined. */
	incomplete: 3,
	/** No entry host could be reached. */
	unreachable: 7,
	/** The token is missing or wrong. */
	unauthorized: 8,
	/** The error budget of an objective is spent or burns too fast. */
	burning: 10,
} as const;

/** One of the exit codes. */
export type ReportExitCode = (typeof reportExitCode)[keyof typeof reportExitCode];

/** The arguments, environment, streams and clock of the program's process. */
export type ReportTerminal = {
	arguments: string[];
	environment: Record<string, string | undefined>;
	write: (text: string) => void;
	writeError: (text: string) => void;
	clock: Clock;
};

const defaultRequestMs = 15_000;

const help = `
	Reports how fast the objectives burn their error budgets.

	Usage
	  $ chivestream-report [--json] [--html FILE]

	Options
	  --url URL          entry host, may be given several times (CHIVESTREAM_URL, split at commas)
	  --token-file FILE  file that holds the operators' token; otherwise CHIVESTREAM_TOKEN
	  --authority FILE   certificate authority of the entry hosts, in PEM form
	  --json             the report as JSON
	  --html FILE        also writes the report as one page with plots
	  --timeout MS       timeout of one entry host, 15000 by default
	  --help, --version

	Exit codes
	  0 met   1 unexpected   2 usage   3 incomplete: hosts are missing
	  7 no entry host reachable   8 not authorized   10 burning or spent
`;

const readArguments = (words: string[]) => meow(help, {
	importMeta: import.meta,
	argv: words,
	autoHelp: false,
	autoVersion: false,
	flags: {
		url: {type: 'string', isMultiple: true},
		tokenFile: {type: 'string'},
		authority: {type: 'string'},
		json: {type: 'boolean', default: false},
		html: {type: 'string'},
		timeout: {type: 'number', default: defaultRequestMs},
		help: {type: 'boolean', default: false},
		version: {type: 'boolean', default: false},
	},
});

const usageFailure = (message: string): Failure => new Failure(failureCode.badRequest, message, {step: 'read-arguments', peer: 'terminal'});

const readOptionalFile = async (path: string | undefined): Promise<string | undefined> => {
	if (path === undefined) {
		return undefined;
	}

	try {
		return await readFile(path, 'utf8');
	} catch (error) {
		throw usageFailure(toFailure(error, {step: 'read-file', peer: path}).message);
	}
};

const exitCodeByFailureCode: Partial<Record<string, ReportExitCode>> = {
	[failureCode.badRequest]: reportExitCode.usage,
	[failureCode.connectionFailed]: reportExitCode.unreachable,
	[failureCode.unauthorized]: reportExitCode.unauthorized,
};

const exitCodeOfReport = ({objectives, missing}: BurnReport): ReportExitCode => {
	const states = new Set(objectives.map(({state}) => state));
	if (states.has(objectiveState.spent) || states.has(objectiveState.burning)) {
		return reportExitCode.burning;
	}

	return missing.length > 0 || states.has(objectiveState.unproved) ? reportExitCode.incomplete : reportExitCode.met;
};

const printReport = async (terminal: ReportTerminal): Promise<ReportExitCode> => {
	const cli = readArguments(terminal.arguments);
	const {flags} = cli;
	if (flags.help || flags.version) {
		terminal.write(flags.help ? cli.help : cli.pkg.version ?? '');
		return reportExitCode.met;
	}

	const {environment} = terminal;
	const {url: flagUrls = []} = flags;
	const urls = flagUrls.length > 0 ? flagUrls : (environment.CHIVESTREAM_URL ?? '').split(',').filter(Boolean);
	const fileToken = await readOptionalFile(flags.tokenFile);
	const token = fileToken?.trim() ?? environment.CHIVESTREAM_TOKEN;
	if (urls.length === 0 || !urls.every(url => URL.canParse(url))) {
		throw usageFailure('give the URL of an entry host by --url or CHIVESTREAM_URL, such as http://10.0.0.1:7002');
	}

	if (token === undefined) {
		throw usageFailure('the token is missing; give --token-file or CHIVESTREAM_TOKEN');
	}

	const authority = await readOptionalFile(flags.authority);
	const histories = await readHistories({
		urls, token, authority, requestMs: flags.timeout,
	});
	if (histories.isErr()) {
		throw histories.error;
	}

	const burnReport = createBurnReport(histories.value, terminal.clock.now());
	terminal.write(flags.json ? JSON.stringify(burnReport) : formatText(burnReport));
	if (flags.html !== undefined) {
		await writeFile(flags.html, formatHtml(burnReport));
	}

	return exitCodeOfReport(burnReport);
};

/** Runs the program and returns its exit code. */
export const runReport = async (terminal: ReportTerminal): Promise<ReportExitCode> => {
	try {
		return await printReport(terminal);
	} catch (error) {
		const failure = toFailure(error, {step: 'report', peer: 'chivestream-report'});
		terminal.writeError(failure.message);
		return exitCodeByFailureCode[failure.code] ?? reportExitCode.internal;
	}
};
