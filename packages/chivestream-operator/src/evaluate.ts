/** Evaluates queries over rows. Pure functions: the same query, rows and time give the same result. */
import {
	type Comparison, comparisonOperator, type ComparisonOperator, type Condition, type Ordering, type Query,
} from './language/syntax.js';
import {
	type Column, columnsByTable, isTableName,
} from './tables/columns.js';
import {type CellValue} from './tables/rows.js';
import {type ComparisonValue, resolveValue} from './tables/values.js';

/** A row of a table, as cell values by column name. */
export type CellsByColumn = Partial<Record<string, CellValue>>;
type RowPredicate = (cells: CellsByColumn) => boolean;

const toSortKey = (value: CellValue | ComparisonValue | undefined): string | number => {
	if (Array.isArray(value)) {
		return value.join(',');
	}

	return typeof value === 'boolean' ? Number(value) : value ?? '';
};

const compareValues = (left: CellValue | ComparisonValue | undefined, right: CellValue | ComparisonValue | undefined): number => {
	const [leftKey, rightKey] = [toSortKey(left), toSortKey(right)];
	if (leftKey === rightKey) {
		return 0;
	}

	return leftKey < rightKey ? -1 : 1;
};

const equalsOrIncludes = (cell: CellValue | undefined, value: ComparisonValue): boolean =>
	Array.isArray(cell) ? cell.includes(String(value)) : cell === value;

const containsSubstring = (cell: CellValue | undefined, value: ComparisonValue): boolean => {
	const texts = Array.isArray(cell) ? cell : [String(cell)];
	return texts.some(text => text.includes(String(value)));
};

const matcherByOperator: Record<ComparisonOperator, (cell: CellValue | undefined, values: ComparisonValue[]) => boolean> = {
	[comparisonOperator.equal]: (cell, [value]) => equalsOrIncludes(cell, value!),
	[comparisonOperator.notEqual]: (cell, [value]) => !equalsOrIncludes(cell, value!),
	[comparisonOperator.less]: (cell, [value]) => compareValues(cell, value) < 0,
	[comparisonOperator.lessOrEqual]: (cell, [value]) => compareValues(cell, value) <= 0,
	[comparisonOperator.greater]: (cell, [value]) => compareValues(cell, value) > 0,
	[comparisonOperator.greaterOrEqual]: (cell, [value]) => compareValues(cell, value) >= 0,
	[comparisonOperator.in]: (cell, values) => values.some(value => equalsOrIncludes(cell, value)),
	[comparisonOperator.contains]: (cell, [value]) => containsSubstring(cell, value!),
};

const createComparisonPredicate = (columns: readonly Column[], comparison: Comparison, now: number): RowPredicate => {
	const column = columns.find(candidate => candidate.name === comparison.column.text);
	if (!column) {
		return () => false;
	}

	const values = comparison.values.map(literal => resolveValue(column, literal, now).unwrapOr(''));
	const matches = matcherByOperator[comparison.operator];
	return cells => matches(cells[column.name], values);
};

const createPredicate = (columns: readonly Column[], condition: Condition, now: number): RowPredicate => {
	switch (condition.kind) {
		case 'comparison': {
			return createComparisonPredicate(columns, condition, now);
		}

		case 'not': {
			const predicate = createPredicate(columns, condition.term, now);
			return cells => !predicate(cells);
		}

		case 'and': {
			const predicates = condition.terms.map(term => createPredicate(columns, term, now));
			return cells => predicates.every(predicate => predicate(cells));
		}

		case 'or': {
			const predicates = condition.terms.map(term => createPredicate(columns, term, now));
			return cells => predicates.some(predicate => predicate(cells));
		}
	}
};

/** Compares rows by the orderings, and rows that are equal in them by the table's first column. */
const compareRows = (left: CellsByColumn, right: CellsByColumn, orderings: readonly Ordering[], columns: readonly Column[]): number => {
	for (const {column, isDescending} of orderings) {
		const result = compareValues(left[column.text], right[column.text]);
		if (result !== 0) {
			return isDescending ? -result : result;
		}
	}

	const name = columns[0]?.name ?? '';
	return compareValues(left[name], right[name]);
};

/** Filters, sorts and limits the rows of the query's table. `checkStatement` must have accepted the query. */
export const evaluateQuery = <SelectedRow extends CellsByColumn>(query: Query, rows: readonly SelectedRow[], now: number): SelectedRow[] => {
	const columns: readonly Column[] = isTableName(query.table.text) ? columnsByTable[query.table.text] : [];
	const predicate = query.where ? createPredicate(columns, query.where, now) : () => true;
	const selected = rows.filter(row => predicate(row));
	const sorted = selected.toSorted((left, right) => compareRows(left, right, query.orderings, columns));
	return query.limit === undefined ? sorted : sorted.slice(0, query.limit);
};
