/** Executes queries. */
import {type RowsAnswer} from '../answers.js';
import {type Query} from '../language/syntax.js';
import {gatherRows} from '../peers/requests.js';
import {type ExecutionContext} from './context.js';

/** Evaluates a query over the rows of all entry hosts. */
export const executeQuery = async (context: ExecutionContext, query: Query): Promise<RowsAnswer> => {
	const {source, clock, deadline, request} = context;
	const at = clock.now();
	const {items, missing} = await gatherRows(source, request.statement, deadline, clock);
	return {
		kind: 'rows', table: query.table.text, at, rows: items, missing,
	};
};
