/** Parses and executes statements of operators. */
import {toFailure} from 'chivestream-core';
import {type Answer} from '../answers.js';
import {formatFault} from '../language/fault.js';
import {parseStatement} from '../language/parse.js';
import {type Statement} from '../language/syntax.js';
import {executeCancellation} from './cancellation.js';
import {executeChange, toConfigurationChange} from './change.js';
import {type ExecutionContext, toErrorAnswer} from './context.js';
import {executeApply, executePlan} from './declarations.js';
import {executeQuery} from './query.js';

const executeHistory = async (context: ExecutionContext, limit?: number): Promise<Answer> => {
	const history = await context.source.history(context.deadline);
	return history.isErr()
		? toErrorAnswer(history.error)
		: {kind: 'history', entries: history.value.slice(0, limit)};
};

const executeParsedStatement = async (context: ExecutionContext, statement: Statement): Promise<Answer> => {
	switch (statement.kind) {
		case 'query': {
			return executeQuery(context, statement);
		}

		case 'cancellation': {
			return executeCancellation(context, statement);
		}

		case 'plan': {
			return executePlan(context);
		}

		case 'apply': {
			return executeApply(context, statement.baseVersion);
		}

		case 'history': {
			return executeHistory(context, statement.limit);
		}

		case 'drain':
		case 'undrain':
		case 'limit':
		case 'quota':
		case 'weight':
		case 'rollback': {
			return executeChange(context, toConfigurationChange(statement));
		}
	}
};

/** Parses and executes the statement of the request. Never throws; faults and failures are returned as answers. */
export const executeStatement = async (context: ExecutionContext): Promise<Answer> => {
	const {statement} = context.request;
	const parsed = parseStatement(statement);
	if (parsed.isErr()) {
		return {kind: 'fault', ...parsed.error, text: formatFault(statement, parsed.error)};
	}

	try {
		return await executeParsedStatement(context, parsed.value);
	} catch (error) {
		return toErrorAnswer(toFailure(error, {step: 'operate', peer: context.source.self.host}));
	}
};
