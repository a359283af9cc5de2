/** Executes `plan` and `apply`. */
import {findDifferences} from 'chivestream-configuration';
import {
	type Declarations, Failure, failureCode,
} from 'chivestream-core';
import {type Result} from 'ts-results-es';
import {type Answer, type ChangeAnswer, type PlanAnswer} from '../answers.js';
import {commandKind, submissionOutcome} from '../source.js';
import {executeChange} from './change.js';
import {type ExecutionContext, requireConfiguration} from './context.js';

const readProposedDeclarations = (context: ExecutionContext): Result<Declarations, string[]> => {
	const {declarations: text} = context.request;
	if (text === undefined) {
		throw new Failure(
			failureCode.badRequest,
			'the request has no field "declarations" with the content of the file',
			{step: 'operate', peer: context.source.self.host},
		);
	}

	return context.checkDeclarations(text);
};

const createInvalidAnswer = (context: ExecutionContext, baseVersion: number, faults: string[]): ChangeAnswer => ({
	kind: 'change',
	commandId: context.request.commandId ?? '',
	baseVersion,
	outcome: submissionOutcome.invalid,
	faults,
});

/** Compares the declarations file with the configuration in force, without changing anything. */
export const executePlan = (context: ExecutionContext): PlanAnswer | ChangeAnswer => {
	const {version, offset, declarations} = requireConfiguration(context);
	const proposed = readProposedDeclarations(context);
	if (proposed.isErr()) {
		return createInvalidAnswer(context, version, proposed.error);
	}

	return {
		kind: 'plan', baseVersion: version, offset, differences: findDifferences(declarations, proposed.value),
	};
};

/** Replaces the declarations in force with those of the file, provided that the base version is still in force. */
export const executeApply = async (context: ExecutionContext, explicitBaseVersion?: number): Promise<Answer> => {
	const proposed = readProposedDeclarations(context);
	const baseVersion = explicitBaseVersion ?? context.request.baseVersion ?? requireConfiguration(context).version;
	if (proposed.isErr()) {
		return createInvalidAnswer(context, baseVersion, proposed.error);
	}

	return executeChange(context, {kind: commandKind.replace, declarations: proposed.value}, baseVersion);
};
