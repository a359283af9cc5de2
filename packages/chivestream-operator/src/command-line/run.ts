/** The program `chivestream`: executes one command line and returns an exit code. */
import {randomUUID} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import {setTimeout as wait} from 'node:timers/promises';
import {toFailure} from 'chivestream-core';
import {type Answer, type OperatorRequest} from '../answers.js';
import {formatJobTimeline, parseLog, buildJobTimeline} from '../explain/index.js';
import {formatFault} from '../language/fault.js';
import {parseStatement} from '../language/parse.js';
import {type Statement} from '../language/syntax.js';
import {type CommandLine, readCommandLine, type StatementCommand} from './arguments.js';
import {createOperatorClient, type OperatorClient} from './client.js';
import {exitCode, type ExitCode, exitCodeOfAnswer} from './exit-code.js';
import {formatAnswer} from './format-answer.js';

/** The arguments, environment and streams of the program's process. */
export type Terminal = {
	arguments: string[];
	environment: Record<string, string | undefined>;
	/** Writes a text, followed by a line break, to standard output. */
	write: (text: string) => void;
	/** Writes a text, followed by a line break, to standard error. */
	writeError: (text: string) => void;
	/** Stops `--watch` when it is aborted. */
	signal: AbortSignal;
};

/** ANSI escape sequences that clear the screen and move the cursor to the top left. */
const clearScreen = '\u001B[2J\u001B[H';

const readsDeclarationsFile = (statement: Statement): statement is Extract<Statement, {kind: 'plan' | 'apply'}> =>
	statement.kind === 'plan' || statement.kind === 'apply';

const readOnlyKinds = new Set<Statement['kind']>(['query', 'cancellation', 'plan', 'history']);

const isChange = (statement: Statement): boolean => !readOnlyKinds.has(statement.kind);

const printAnswer = (terminal: Terminal, command: StatementCommand, answer: Answer): ExitCode => {
	terminal.write(command.isJson ? JSON.stringify(answer) : formatAnswer(answer));
	return exitCodeOfAnswer(answer);
};

/** Sends a request. If no entry host answers, prints the error and returns undefined. */
const sendRequest = async (terminal: Terminal, client: OperatorClient, request: OperatorRequest): Promise<Answer | undefined> => {
	const result = await client.send(request);
	if (result.isOk()) {
		return result.value;
	}

	terminal.writeError(result.error.message);
	if (request.commandId !== undefined) {
		terminal.writeError(`the change may have taken effect; send it again with --command-id ${request.commandId}`);
	}

	return undefined;
};

/** Plans an `apply` and returns the request with the plan's base version, or an exit code if planning failed or nothing changes. */
const planBeforeApply = async (
	terminal: Terminal,
	client: OperatorClient,
	command: StatementCommand,
	request: OperatorRequest,
): Promise<OperatorRequest | ExitCode> => {
	const plan = await sendRequest(terminal, client, {statement: 'plan FILE', declarations: request.declarations});
	if (plan === undefined) {
		return exitCode.unreachable;
	}

	if (plan.kind !== 'plan') {
		return printAnswer(terminal, command, plan);
	}

	if (plan.differences.length === 0) {
		return printAnswer(terminal, command, plan);
	}

	if (!command.isJson) {
		terminal.write(formatAnswer(plan));
	}

	return {...request, baseVersion: plan.baseVersion};
};

const runOnce = async (terminal: Terminal, client: OperatorClient, command: StatementCommand, statement: Statement): Promise<ExitCode> => {
	const {baseVersion} = command;
	// The id is created once per change, so that a retry on the next entry host can't apply the change twice.
	const commandId = isChange(statement) ? command.commandId ?? randomUUID() : undefined;
	let request: OperatorRequest = {statement: command.statement, commandId, baseVersion};
	if (readsDeclarationsFile(statement)) {
		request.declarations = await readFile(statement.file.text, 'utf8');
	}

	if (statement.kind === 'apply' && statement.baseVersion === undefined && baseVersion === undefined) {
		const planned = await planBeforeApply(terminal, client, command, request);
		if (typeof planned === 'number') {
			return planned;
		}

		request = planned;
	}

	const answer = await sendRequest(terminal, client, request);
	return answer === undefined ? exitCode.unreachable : printAnswer(terminal, command, answer);
};

const repeatQuery = async (terminal: Terminal, client: OperatorClient, command: StatementCommand, statement: Statement): Promise<ExitCode> => {
	let code: ExitCode = exitCode.done;
	while (!terminal.signal.aborted) {
		if (!command.isJson) {
			terminal.write(clearScreen);
		}

		// eslint-disable-next-line no-await-in-loop -- iterations are sequential
		code = await runOnce(terminal, client, command, statement);
		try {
			// eslint-disable-next-line no-await-in-loop -- pauses between two queries
			await wait(command.watchMs, undefined, {signal: terminal.signal});
		} catch {
			break;
		}
	}

	return code;
};

const runStatement = async (terminal: Terminal, command: StatementCommand): Promise<ExitCode> => {
	const parsed = parseStatement(command.statement);
	if (parsed.isErr()) {
		terminal.writeError(formatFault(command.statement, parsed.error));
		return exitCode.usage;
	}

	const statement = parsed.value;
	if (command.watchMs !== undefined && statement.kind !== 'query') {
		terminal.writeError('--watch repeats queries only');
		return exitCode.usage;
	}

	const authority = command.authorityFile === undefined ? undefined : await readFile(command.authorityFile, 'utf8');
	const client = createOperatorClient({...command, authority});
	try {
		return command.watchMs === undefined
			? await runOnce(terminal, client, command, statement)
			: await repeatQuery(terminal, client, command, statement);
	} finally {
		await client.close();
	}
};

/** Prints the timeline of a job, built from log files. */
const explainJob = async (terminal: Terminal, command: Extract<CommandLine, {kind: 'explanation'}>): Promise<ExitCode> => {
	const logs = await Promise.all(command.files.map(async file => parseLog(await readFile(file, 'utf8'))));
	const unreadableLines = logs.reduce((sum, log) => sum + log.unreadableLines, 0);
	if (unreadableLines > 0) {
		terminal.writeError(`${unreadableLines} lines are not in the format of the hosts' logs and were skipped`);
	}

	const timeline = buildJobTimeline(command.id, logs.flatMap(log => log.lines));
	if (timeline === undefined) {
		terminal.writeError(`no log line refers to the job ${command.id}; give the logs of all hosts from the time of the job`);
		return exitCode.notFound;
	}

	terminal.write(command.isJson ? JSON.stringify(timeline) : formatJobTimeline(timeline));
	return exitCode.done;
};

const isFileError = (error: unknown): boolean => typeof error === 'object' && error !== null && 'code' in error && 'path' in error;

const runCommand = async (terminal: Terminal, commandLine: CommandLine): Promise<ExitCode> => {
	if (commandLine.kind === 'text') {
		terminal.write(commandLine.text);
		return exitCode.done;
	}

	if (commandLine.kind === 'fault') {
		terminal.writeError(commandLine.message);
		return exitCode.usage;
	}

	return commandLine.kind === 'explanation' ? explainJob(terminal, commandLine) : runStatement(terminal, commandLine);
};

/** Runs the program and returns its exit code. */
export const runCommandLine = async (terminal: Terminal): Promise<ExitCode> => {
	try {
		return await runCommand(terminal, await readCommandLine(terminal.arguments, terminal.environment));
	} catch (error) {
		terminal.writeError(toFailure(error, {step: 'run', peer: 'chivestream'}).message);
		return isFileError(error) ? exitCode.usage : exitCode.internal;
	}
};
