/** Checks of a statement that the grammar can't make: columns, operators, value types and ranges. */
import {
	type Column, columnsByTable, columnType, type ColumnType, isTableName,
} from '../tables/columns.js';
import {resolveValue} from '../tables/values.js';
import {type StatementFault} from './fault.js';
import {
	type Change, type Comparison, comparisonOperator, type ComparisonOperator, type Condition, type Name, type Query,
	type Statement,
} from './syntax.js';

const equality: ComparisonOperator[] = [comparisonOperator.equal, comparisonOperator.notEqual, comparisonOperator.in];
const ranges: ComparisonOperator[] = [
	comparisonOperator.less, comparisonOperator.lessOrEqual, comparisonOperator.greater, comparisonOperator.greaterOrEqual,
];

const operatorsByType: Record<ColumnType, ComparisonOperator[]> = {
	[columnType.text]: [...equality, ...ranges, comparisonOperator.contains],
	[columnType.number]: [...equality, ...ranges],
	[columnType.span]: [...equality, ...ranges],
	[columnType.time]: [...equality, ...ranges],
	[columnType.flag]: [comparisonOperator.equal, comparisonOperator.notEqual],
	[columnType.choice]: equality,
	[columnType.names]: [...equality, comparisonOperator.contains],
};

const columnsOf = (query: Query): readonly Column[] =>
	isTableName(query.table.text) ? columnsByTable[query.table.text] : [];

const columnFault = (query: Query, name: Name): StatementFault | undefined => {
	const columns = columnsOf(query);
	return columns.some(column => column.name === name.text)
		? undefined
		: {
			message: `${query.table.text} has no column "${name.text}"`,
			place: name.place,
			expected: columns.map(column => column.name),
		};
};

const comparisonFault = (query: Query, comparison: Comparison): StatementFault | undefined => {
	const column = columnsOf(query).find(candidate => candidate.name === comparison.column.text);
	if (!column) {
		return columnFault(query, comparison.column);
	}

	const operators = operatorsByType[column.type];
	if (!operators.includes(comparison.operator)) {
		return {
			message: `column "${column.name}" can't be compared by "${comparison.operator}"`,
			place: comparison.column.place,
			expected: operators,
		};
	}

	for (const literal of comparison.values) {
		const value = resolveValue(column, literal, 0);
		if (value.isErr()) {
			return {
				message: `"${literal.text}" is no value of column "${column.name}"`,
				place: literal.place,
				expected: value.error,
			};
		}
	}

	return undefined;
};

const conditionFault = (query: Query, condition: Condition): StatementFault | undefined => {
	switch (condition.kind) {
		case 'comparison': {
			return comparisonFault(query, condition);
		}

		case 'not': {
			return conditionFault(query, condition.term);
		}

		case 'and':
		case 'or': {
			for (const term of condition.terms) {
				const fault = conditionFault(query, term);
				if (fault) {
					return fault;
				}
			}

			return undefined;
		}
	}
};

const queryFault = (query: Query): StatementFault | undefined => {
	const fault = query.where && conditionFault(query, query.where);
	if (fault) {
		return fault;
	}

	for (const ordering of query.orderings) {
		const orderingFault = columnFault(query, ordering.column);
		if (orderingFault) {
			return orderingFault;
		}
	}

	return undefined;
};

const limitNames: string[] = ['maxTasksPerJob', 'maxDeadlineMs', 'retryRatio'];

const limitFault = (change: Extract<Change, {kind: 'limit'}>): StatementFault | undefined => {
	const {name, value} = change;
	if (!limitNames.includes(name.text)) {
		return {message: `there is no limit "${name.text}"`, place: name.place, expected: [...limitNames]};
	}

	const isSpan = name.text.endsWith('Ms');
	if (value.kind === 'number' || (isSpan && value.kind === 'span')) {
		return undefined;
	}

	return {
		message: `"${value.text}" is no value of limit "${name.text}"`,
		place: value.place,
		expected: isSpan ? ['a length of time such as 30s', 'a number of milliseconds'] : ['a number'],
	};
};

/** The first fault of a statement that the grammar accepts; undefined when there is none. */
export const checkStatement = (statement: Statement): StatementFault | undefined => {
	if (statement.kind === 'query') {
		return queryFault(statement);
	}

	if (statement.kind === 'cancellation') {
		return statement.target.kind === 'jobs' ? queryFault(statement.target.query) : undefined;
	}

	return statement.kind === 'limit' ? limitFault(statement) : undefined;
};
