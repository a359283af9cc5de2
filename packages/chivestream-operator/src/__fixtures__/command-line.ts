/** Runs the command line against a service on an ephemeral port. */
import {readDeclarations} from 'chivestream-configuration';
import {type Declarations} from 'chivestream-core';
import {type Result} from 'ts-results-es';
import {runCommandLine} from '../command-line/run.js';
import {createOperatorService, type OperatorServiceOptions} from '../service/service.js';
import {type OperatorSource} from '../source.js';

/** Bearer token of the services that `startService` starts. */
export const testToken = 'a-token-for-tests';

/** Exit code and output of one run of the program. */
export type ProgramRun = {
	code: number;
	output: string;
	errors: string;
};

/** A listening service, to be closed at the end of the test. */
export type ListeningService = {
	url: string;
	close: () => Promise<void>;
};

const checkDeclarations = (text: string): Result<Declarations, string[]> =>
	readDeclarations(text).mapErr(failure => failure.message.split('\n'));

/** Starts the operators' service over a source. */
export const startService = async (source: OperatorSource, options: Partial<OperatorServiceOptions> = {}): Promise<ListeningService> => {
	const service = createOperatorService(source, {token: testToken, checkDeclarations, ...options});
	const port = await service.listen(0, '127.0.0.1');
	return {url: `http://127.0.0.1:${port}`, close: service.close};
};

/** Environment variables with the URL of an entry host and the token. */
export const createEnvironment = (url?: string, token?: string): Record<string, string | undefined> =>
	Object.fromEntries([['CHIVESTREAM_URL', url], ['CHIVESTREAM_TOKEN', token]]);

/** Runs the program in this process and captures its output. */
export const runProgram = async (
	arguments_: string[],
	environment: Record<string, string | undefined>,
	signal: AbortSignal = new AbortController().signal,
): Promise<ProgramRun> => {
	const output: string[] = [];
	const errors: string[] = [];
	const code = await runCommandLine({
		arguments: arguments_,
		environment,
		write(text) {
			output.push(text);
		},
		writeError(text) {
			errors.push(text);
		},
		signal,
	});
	return {code, output: output.join('\n'), errors: errors.join('\n')};
};
