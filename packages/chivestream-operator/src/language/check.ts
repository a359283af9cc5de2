/** Checks that the grammar can't express: the names of columns and limits, operators and value types. */
import {
	type Column, columnsByTable, columnType, type ColumnType, isTableName,
} from '../tables/columns.js';
import {resolveValue} from '../tables/values.js';
import {type StatementFault} from './fault.js';
import {
	type Change, type Comparison, comparisonOperator, type ComparisonOperator, type Condition, type Name, type Query,
	type Statement,
} from './syntax.js';

const equalityOperators: ComparisonOperator[] = [comparisonOperator.equal, comparisonOperator.notEqual, comparisonOperator.in];
const orderingOperators: ComparisonOperator[] = [
	comparisonOperator.less, comparisonOperator.lessOrEqual, comparisonOperator.greater, comparisonOperator.greaterOrEqual,
];

const operatorsByType: Record<ColumnType, ComparisonOperator[]> = {
	[columnType.text]: [...equalityOperators, ...orderingOperators, comparisonOperator.contains],
	[columnType.number]: [...equalityOperators, ...orderingOperators],
	[columnType.span]: [...equalityOperators, ...orderingOperators],
	[columnType.time]: [...equalityOperators, ...orderingOperators],
	[columnType.flag]: [comparisonOperator.equal, comparisonOperator.notEqual],
	[columnType.choice]: equalityOperators,
	[columnType.names]: [...equalityOperators, comparisonOperator.contains],
};

const columnsOf = (query: Query): readonly Column[] =>
	isTableName(query.table.text) ? columnsByTable[query.table.text] : [];

const findColumnFault = (query: Query, name: Name): StatementFault | undefined => {
	const columns = columnsOf(query);
	return columns.some(column => column.name === name.text)
		? undefined
		: {
			message: `${query.table.text} has no column "${name.text}"`,
			place: name.place,
			expected: columns.map(column => column.name),
		};
};

const findComparisonFault = (query: Query, comparison: Comparison): StatementFault | undefined => {
	const column = columnsOf(query).find(candidate => candidate.name === comparison.column.text);
	if (!column) {
		return findColumnFault(query, comparison.column);
	}

	const operators = operatorsByType[column.type];
	if (!operators.includes(comparison.operator)) {
		return {
			message: `column "${column.name}" does not support the operator "${comparison.operator}"`,
			place: comparison.column.place,
			expected: operators,
		};
	}

	for (const literal of comparison.values) {
		const value = resolveValue(column, literal, 0);
		if (value.isErr()) {
			return {
				message: `"${literal.text}" is not a valid value of column "${column.name}"`,
				place: literal.place,
				expected: value.error,
			};
		}
	}

	return undefined;
};

const findConditionFault = (query: Query, condition: Condition): StatementFault | undefined => {
	switch (condition.kind) {
		case 'comparison': {
			return findComparisonFault(query, condition);
		}

		case 'not': {
			return findConditionFault(query, condition.term);
		}

		case 'and':
		case 'or': {
			for (const term of condition.terms) {
				const fault = findConditionFault(query, term);
				if (fault) {
					return fault;
				}
			}

			return undefined;
		}
	}
};

const findQueryFault = (query: Query): StatementFault | undefined => {
	const fault = query.where && findConditionFault(query, query.where);
	if (fault) {
		return fault;
	}

	for (const ordering of query.orderings) {
		const orderingFault = findColumnFault(query, ordering.column);
		if (orderingFault) {
			return orderingFault;
		}
	}

	return undefined;
};

const limitNames: string[] = ['maxTasksPerJob', 'maxDeadlineMs', 'retryRatio'];

const findLimitFault = (change: Extract<Change, {kind: 'limit'}>): StatementFault | undefined => {
	const {name, value} = change;
	if (!limitNames.includes(name.text)) {
		return {message: `there is no limit "${name.text}"`, place: name.place, expected: [...limitNames]};
	}

	const isDuration = name.text.endsWith('Ms');
	if (value.kind === 'number' || (isDuration && value.kind === 'span')) {
		return undefined;
	}

	return {
		message: `"${value.text}" is not a valid value of limit "${name.text}"`,
		place: value.place,
		expected: isDuration ? ['a duration such as 30s', 'a number of milliseconds'] : ['a number'],
	};
};

/** Finds the first fault of a statement that the grammar accepts; undefined when the statement is valid. */
export const checkStatement = (statement: Statement): StatementFault | undefined => {
	if (statement.kind === 'query') {
		return findQueryFault(statement);
	}

	if (statement.kind === 'cancellation') {
		return statement.target.kind === 'jobs' ? findQueryFault(statement.target.query) : undefined;
	}

	return statement.kind === 'limit' ? findLimitFault(statement) : undefined;
};
