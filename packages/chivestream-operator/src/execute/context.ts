/** The context in which a statement is executed. */
import {
	type Clock, type Configuration, type Declarations, Failure, failureCode,
} from 'chivestream-core';
import {type Result} from 'ts-results-es';
import {type ErrorAnswer, type OperatorRequest} from '../answers.js';
import {type OperatorSource} from '../source.js';

/** Parses and checks the content of a declarations file; the errors name the invalid fields. */
export type DeclarationsCheck = (text: string) => Result<Declarations, string[]>;

/** The request with the dependencies that executing it uses. */
export type ExecutionContext = {
	source: OperatorSource;
	clock: Clock;
	checkDeclarations: DeclarationsCheck;
	request: OperatorRequest;
	/** Time by which the answer must be ready, in milliseconds since the Unix epoch. */
	deadline: number;
};

/** Converts a failure to an answer. */
export const toErrorAnswer = ({
	code, message, step, peer,
}: Failure): ErrorAnswer => ({
	kind: 'error', code, message, step, peer,
});

/** The configuration in force on this host; throws a failure until the host has received one. */
export const requireConfiguration = (context: ExecutionContext): Configuration => {
	const configuration = context.source.configuration();
	if (configuration) {
		return configuration;
	}

	throw new Failure(
		failureCode.notReady,
		'this entry host has no configuration yet; try another one',
		{step: 'operate', peer: context.source.self.host},
	);
};
