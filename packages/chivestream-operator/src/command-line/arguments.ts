/** Parses the arguments and the environment of the program. */
import {readFile} from 'node:fs/promises';
import meow from 'meow';
import {completionScripts, listCompletions} from './completion.js';

/** A statement to execute, with the connection and output options. */
export type StatementCommand = {
	kind: 'statement';
	statement: string;
	/** Base URLs of entry hosts, tried in order. */
	urls: string[];
	token: string;
	/** Path of the certificate authority in PEM form. */
	authorityFile?: string;
	/** Timeout of a request to one entry host, in milliseconds. */
	requestMs: number;
	isJson: boolean;
	/** Pause between two executions with `--watch`, in milliseconds; undefined to execute the statement once. */
	watchMs?: number;
	/** Makes a change idempotent when it is sent again. */
	commandId?: string;
	/** Configuration version that a change builds on. */
	baseVersion?: number;
};

/** The parsed command line. */
export type CommandLine
	= | StatementCommand
	/** Reconstruct the timeline of a job from log files. */
		| {kind: 'explanation'; id: string; files: string[]; isJson: boolean}
		| {kind: 'text'; text: string}
		| {kind: 'fault'; message: string};

const defaultRequestMs = 15_000;
const defaultWatchMs = 2000;

const help = `
	Queries entry hosts and changes their configuration.

	Usage
	  $ chivestream [query] STATEMENT
	  $ chivestream explain JOB-ID LOG-FILE...
	  $ chivestream completion bash|zsh|fish

	Statements
	  jobs|upstreams|minions|workers|hosts|configuration
	    [where CONDITION] [order by COLUMN [desc], ...] [limit N]
	  cancel KEY | cancel jobs where CONDITION   running tasks may finish
	  stop KEY | stop jobs where CONDITION       running tasks are stopped if the upstream supports it
	  drain ID | undrain ID
	  limit NAME = VALUE | quota TEAM = N | weight TEAM = N
	  plan FILE | apply FILE [on version N] | history [limit N] | rollback VERSION

	Options
	  --url URL           entry host, may be given several times (CHIVESTREAM_URL, split at commas)
	  --token-file FILE   file that holds the operators' token (CHIVESTREAM_TOKEN_FILE)
	                      without it the token comes from CHIVESTREAM_TOKEN
	  --authority FILE    certificate authority of the entry hosts, in PEM form
	  --json              one JSON object a line
	  --watch             repeat a query until interrupted
	  --interval MS       pause between two queries of --watch, 2000 by default
	  --timeout MS        timeout of one entry host, 15000 by default
	  --command-id ID     makes a change idempotent when it is sent again
	  --base-version N    the version that a change builds on
	  --help, --version

	Exit codes
	  0 done   1 unexpected   2 usage   3 incomplete: some hosts did not answer
	  4 beaten by another change   5 not valid   6 unknown whether it took effect
	  7 no entry host or log reachable   8 not authorized   9 no such job

	Example
	  $ chivestream query 'jobs where state = late and team = "lens-desk"' --json
`;

const readToken = async (tokenFile: string | undefined, environment: Record<string, string | undefined>): Promise<string | undefined> => {
	const file = tokenFile ?? environment.CHIVESTREAM_TOKEN_FILE;
	if (file !== undefined) {
		const text = await readFile(file, 'utf8');
		return text.trim();
	}

	return environment.CHIVESTREAM_TOKEN;
};

const readArguments = (words: string[]) => meow(help, {
	importMeta: import.meta,
	argv: words,
	autoHelp: false,
	autoVersion: false,
	allowUnknownFlags: true,
	flags: {
		url: {type: 'string', isMultiple: true},
		tokenFile: {type: 'string'},
		authority: {type: 'string'},
		json: {type: 'boolean', default: false},
		watch: {type: 'boolean', default: false},
		interval: {type: 'number', default: defaultWatchMs},
		timeout: {type: 'number', default: defaultRequestMs},
		commandId: {type: 'string'},
		baseVersion: {type: 'number'},
		help: {type: 'boolean', default: false},
		version: {type: 'boolean', default: false},
	},
});

const knownFlags = new Set([
	'url', 'tokenFile', 'authority', 'json', 'watch', 'interval', 'timeout', 'commandId', 'baseVersion', 'help', 'version',
]);

const readCompletionCommand = ([name, ...words]: string[]): CommandLine | undefined => {
	if (name === 'complete') {
		return {kind: 'text', text: listCompletions(words.join(' '))};
	}

	if (name !== 'completion') {
		return undefined;
	}

	const script = completionScripts[words[0] ?? ''];
	return script === undefined
		? {kind: 'fault', message: `completion supports ${Object.keys(completionScripts).join(', ')}`}
		: {kind: 'text', text: script};
};

const readExplainCommand = ([name, id, ...files]: string[], isJson: boolean): CommandLine | undefined => {
	if (name !== 'explain') {
		return undefined;
	}

	return id === undefined || files.length === 0
		? {kind: 'fault', message: 'explain takes the id of a job and the log files of the hosts; see chivestream --help'}
		: {
			kind: 'explanation', id, files, isJson,
		};
};

/** Parses the command line. The message of a `fault` describes the error and how to fix it. */
export const readCommandLine = async (words: string[], environment: Record<string, string | undefined>): Promise<CommandLine> => {
	const cli = readArguments(words);
	const {flags, input} = cli;
	const unknownFlag = Object.keys(flags).find(name => !knownFlags.has(name));
	if (unknownFlag !== undefined) {
		return {kind: 'fault', message: `there is no option --${unknownFlag}; see chivestream --help`};
	}

	if (flags.help) {
		return {kind: 'text', text: cli.help};
	}

	if (flags.version) {
		return {kind: 'text', text: cli.pkg.version ?? ''};
	}

	const completion = readCompletionCommand(input);
	if (completion) {
		return completion;
	}

	const explanation = readExplainCommand(input, flags.json);
	if (explanation) {
		return explanation;
	}

	const statementWords = input[0] === 'query' ? input.slice(1) : input;
	if (statementWords.length === 0) {
		return {kind: 'fault', message: 'a statement is missing; see chivestream --help'};
	}

	const {url: flagUrls = []} = flags;
	const urls = flagUrls.length > 0 ? flagUrls : (environment.CHIVESTREAM_URL ?? '').split(',').filter(Boolean);
	const invalidUrl = urls.find(url => !URL.canParse(url));
	if (urls.length === 0 || invalidUrl !== undefined) {
		return {kind: 'fault', message: `${invalidUrl ?? '(none)'} is not the URL of an entry host; give --url or CHIVESTREAM_URL, such as http://10.0.0.1:7002`};
	}

	const token = await readToken(flags.tokenFile, environment);
	if (token === undefined) {
		return {kind: 'fault', message: 'the token is missing; give --token-file, CHIVESTREAM_TOKEN_FILE or CHIVESTREAM_TOKEN'};
	}

	return {
		kind: 'statement',
		statement: statementWords.join(' '),
		urls,
		token,
		authorityFile: flags.authority,
		requestMs: flags.timeout,
		isJson: flags.json,
		watchMs: flags.watch ? flags.interval : undefined,
		commandId: flags.commandId,
		baseVersion: flags.baseVersion,
	};
};
