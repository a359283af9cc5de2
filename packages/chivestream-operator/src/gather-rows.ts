/** Rows of all hosts that a query selects. */
import {type Clock} from 'chivestream-core';
import {evaluateQuery} from './evaluate.js';
import {type Query} from './language/syntax.js';
import {type Gathered, type OperatorSource} from './source.js';
import {isTableName} from './tables/columns.js';
import {type Row} from './tables/rows.js';

/** Asks all hosts for the query's table and evaluates it over their rows, in its order. */
export const gatherRows = async (source: OperatorSource, query: Query, deadline: number, clock: Clock): Promise<Gathered<Row>> => {
	const table = query.table.text;
	if (!isTableName(table)) {
		return {items: [], missing: []};
	}

	const {items, missing} = await source.gather(table, deadline);
	return {items: evaluateQuery<Row>(query, items, clock.now()), missing};
};
