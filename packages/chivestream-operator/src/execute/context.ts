/** What carrying out a statement needs. */
import {
	type Clock, type Configuration, Failure, failureCode,
} from 'chivestream-core';
import {type ErrorAnswer, type OperatorRequest} from '../answers.js';
import {type OperatorSource} from '../source.js';

/** Everything that a statement is carried out with. */
export type ExecutionContext = {
	source: OperatorSource;
	clock: Clock;
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
