/** What carrying out a statement needs. */
import {
	type Clock, type Configuration, type Declarations, Failure, failureCode,
} from 'chivestream-core';
import {type Result} from 'ts-results-es';
import {type ErrorAnswer, type OperatorRequest} from '../answers.js';
import {type OperatorSource} from '../source.js';

/** Reads and checks the text of a declarations file; the errors name the faulty fields. */
export type DeclarationsCheck = (text: string) => Result<Declarations, string[]>;

/** Everything that a statement is carried out with. */
export type ExecutionContext = {
	source: OperatorSource;
	clock: Clock;
	checkDeclarations: DeclarationsCheck;
	request: OperatorRequest;
	/** When the answer must be there. */
	deadline: number;
};

/** The answer for a statement that could not be carried out. */
export const toErrorAnswer = ({
	code, message, step, peer,
}: Failure): ErrorAnswer => ({
	kind: 'error', code, message, step, peer,
});

/** The configuration in force on this host. */
export const requireConfiguration = (context: ExecutionContext): Configuration => {
	const configuration = context.source.configuration();
	if (configuration) {
		return configuration;
	}

	throw new Failure(
		failureCode.notReady,
		'this entry host has no configuration yet; ask another one',
		{step: 'operate', peer: context.source.self.host},
	);
};
