/** The program `chivestream`: one statement from the command line to an exit code. */
import {randomUUID} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import {setTimeout as wait} from 'node:timers/promises';
import {toFailure} from 'chivestream-core';
import {type Answer, type OperatorRequest} from '../answers.js';
import {formatStory, readLog, tellStory} from '../explain/index.js';
import {formatFault} from '../language/fault.js';
import {parseStatement} from '../language/parse.js';
import {type Statement} from '../language/syntax.js';
import {type CommandLine, readCommandLine, type StatementCommand} from './arguments.js';
import {createOperatorClient, type OperatorClient} from './client.js';
import {exitCode, type ExitCode, exitCodeOf} from './exit-code.js';
import {formatAnswer} from './format-answer.js';

/** What the program uses of the process around it. */
export type Terminal = {
	arguments: string[];
	environment: Record<string, string | undefined>;
	/** Writes a text and a line break to standard output. */
	write: (text: string) => void;
	/** Writes a text and a line break to standard error. */
	writeError: (text: string) => void;
	/** Ends `--watch`. */
	signal: AbortSignal;
};

const clearScreen = '\u001B[2J\u001B[H';

const namesFile = (statement: Statement): statement is Extract<Statement, {kind: 'plan' | 'apply'}> =>
	statement.kind === 'plan' || statement.kind === 'apply';

const unchanging = new Set<Statement['kind']>(['query', 'cancellation', 'plan', 'history']);

const isChange = (statement: Statement): boolean => !unchanging.has(statement.kind);

const show = (terminal: Terminal, command: StatementCommand, answer: Answer): ExitCode => {
	terminal.write(command.isJson ? JSON.stringify(answer) : formatAnswer(answer));
	return exitCodeOf(answer);
};

/** Sends a request; shows the error when no entry host answers. */
const send = async (terminal: Terminal, client: OperatorClient, request: OperatorRequest): Promise<Answer | undefined> => {
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

/** Finds the version that an `apply` builds on by planning it first. */
const planFirst = async (
	terminal: Terminal,
	client: OperatorClient,
	command: StatementCommand,
	request: OperatorRequest,
): Promise<OperatorRequest | ExitCode> => {
	const plan = await send(terminal, client, {statement: 'plan FILE', declarations: request.declarations});
	if (plan === undefined) {
		return exitCode.unreachable;
	}

	if (plan.kind !== 'plan') {
		return show(terminal, command, plan);
	}

	if (plan.differences.length === 0) {
		return show(terminal, command, plan);
	}

	if (!command.isJson) {
		terminal.write(formatAnswer(plan));
	}

	return {...request, baseVersion: plan.baseVersion};
};

const runOnce = async (terminal: Terminal, client: OperatorClient, command: StatementCommand, statement: Statement): Promise<ExitCode> => {
	const {baseVersion} = command;
	// Named here, so that trying the next entry host can't apply a change twice.
	const commandId = isChange(statement) ? command.commandId ?? randomUUID() : undefined;
	let request: OperatorRequest = {statement: command.statement, commandId, baseVersion};
	if (namesFile(statement)) {
		request.declarations = await readFile(statement.file.text, 'utf8');
	}

	if (statement.kind === 'apply' && statement.baseVersion === undefined && baseVersion === undefined) {
		const planned = await planFirst(terminal, client, command, request);
		if (typeof planned === 'number') {
			return planned;
		}

		request = planned;
	}

	const answer = await send(terminal, client, request);
	return answer === undefined ? exitCode.unreachable : show(terminal, command, answer);
};

const watch = async (terminal: Terminal, client: OperatorClient, command: StatementCommand, statement: Statement): Promise<ExitCode> => {
	let code: ExitCode = exitCode.done;
	while (!terminal.signal.aborted) {
		if (!command.isJson) {
			terminal.write(clearScreen);
		}

		// eslint-disable-next-line no-await-in-loop -- one round after the other
		code = await runOnce(terminal, client, command, statement);
		try {
			// eslint-disable-next-line no-await-in-loop -- the time between two rounds
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
			: await watch(terminal, client, command, statement);
	} finally {
		await client.close();
	}
};

/** Explains from log files what became of a job. */
const explain = async (terminal: Terminal, command: Extract<CommandLine, {kind: 'explanation'}>): Promise<ExitCode> => {
	const logs = await Promise.all(command.files.map(async file => readLog(await readFile(file, 'utf8'))));
	const unreadable = logs.reduce((sum, log) => sum + log.unreadable, 0);
	if (unreadable > 0) {
		terminal.writeError(`${unreadable} lines are not in the format of the hosts' logs and were passed over`);
	}

	const story = tellStory(command.id, logs.flatMap(log => log.lines));
	if (story === undefined) {
		terminal.writeError(`no line names the job ${command.id}; give the logs of all hosts of its time`);
		return exitCode.notFound;
	}

	terminal.write(command.isJson ? JSON.stringify(story) : formatStory(story));
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

	return commandLine.kind === 'explanation' ? explain(terminal, commandLine) : runStatement(terminal, commandLine);
};

/** Runs the program and gives its exit code. */
export const runCommandLine = async (terminal: Terminal): Promise<ExitCode> => {
	try {
		return await runCommand(terminal, await readCommandLine(terminal.arguments, terminal.environment));
	} catch (error) {
		terminal.writeError(toFailure(error, {step: 'run', peer: 'chivestream'}).message);
		return isFileError(error) ? exitCode.usage : exitCode.internal;
	}
};
