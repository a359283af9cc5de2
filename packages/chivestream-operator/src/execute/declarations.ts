/** Carries out `plan` and `apply`. */
import {findDifferences} from 'chivestream-configuration';
import {
	type Declarations, Failure, failureCode,
} from 'chivestream-core';
import {type Result} from 'ts-results-es';
import {type Answer, type ChangeAnswer, type PlanAnswer} from '../answers.js';
import {commandKind, submissionOutcome} from '../source.js';
import {executeChange} from './change.js';
import {type ExecutionContext, requireConfiguration} from './context.js';

const readDeclarations = (context: ExecutionContext): Result<Declarations, string[]> => {
	const {declarations: text} = context.request;
	if (text === undefined) {
		throw new Failure(
			failureCode.badRequest,
			'the request lacks the text of the file in the field "declarations"',
			{step: 'operate', peer: context.source.self.host},
		);
	}

	return context.checkDeclarations(text);
};

const refuse = (context: ExecutionContext, baseVersion: number, faults: string[]): ChangeAnswer => ({
	kind: 'change',
	commandId: context.request.commandId ?? '',
	baseVersion,
	outcome: submissionOutcome.invalid,
	faults,
});

/** What the file would change against the configuration in force. */
export const executePlan = (context: ExecutionContext): PlanAnswer | ChangeAnswer => {
	const {version, offset, declarations} = requireConfiguration(context);
	const proposed = readDeclarations(context);
	if (proposed.isErr()) {
		return refuse(context, version, proposed.error);
	}

	return {
		kind: 'plan', baseVersion: version, offset, differences: findDifferences(declarations, proposed.value),
	};
};

/** Puts the file's declarations in force, if the version that they were planned from still is. */
export const executeApply = async (context: ExecutionContext, statedBaseVersion?: number): Promise<Answer> => {
	const proposed = readDeclarations(context);
	const baseVersion = statedBaseVersion ?? context.request.baseVersion ?? requireConfiguration(context).version;
	if (proposed.isErr()) {
		return refuse(context, baseVersion, proposed.error);
	}

	return executeChange(context, {kind: commandKind.replace, declarations: proposed.value}, baseVersion);
};
