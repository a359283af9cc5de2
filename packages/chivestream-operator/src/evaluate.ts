/** Evaluates queries over rows. Pure: the same query, rows and time give the same answer. */
import {
	type Comparison, comparisonOperator, type ComparisonOperator, type Condition, type Ordering, type Query,
} from './language/syntax.js';
import {
	type Column, columnsByTable, isTableName,
} from './tables/columns.js';
import {type Cell} from './tables/rows.js';
import {type ComparedValue, resolveValue} from './tables/values.js';

/** A row by column names. */
export type Cells = Partial<Record<string, Cell>>;
type Test = (cells: Cells) => boolean;

const rank = (value: Cell | ComparedValue | undefined): string | number => {
	if (Array.isArray(value)) {
		return value.join(',');
	}

	return typeof value === 'boolean' ? Number(value) : value ?? '';
};

const compare = (left: Cell | ComparedValue | undefined, right: Cell | ComparedValue | undefined): number => {
	const [leftRank, rightRank] = [rank(left), rank(right)];
	if (leftRank === rightRank) {
		return 0;
	}

	return leftRank < rightRank ? -1 : 1;
};

const equals = (cell: Cell | undefined, value: ComparedValue): boolean =>
	Array.isArray(cell) ? cell.includes(String(value)) : cell === value;

const includesText = (cell: Cell | undefined, value: ComparedValue): boolean => {
	const texts = Array.isArray(cell) ? cell : [String(cell)];
	return texts.some(text => text.includes(String(value)));
};

const compareBy: Record<ComparisonOperator, (cell: Cell | undefined, values: ComparedValue[]) => boolean> = {
	[comparisonOperator.equal]: (cell, [value]) => equals(cell, value!),
	[comparisonOperator.notEqual]: (cell, [value]) => !equals(cell, value!),
	[comparisonOperator.less]: (cell, [value]) => compare(cell, value) < 0,
	[comparisonOperator.lessOrEqual]: (cell, [value]) => compare(cell, value) <= 0,
	[comparisonOperator.greater]: (cell, [value]) => compare(cell, value) > 0,
	[comparisonOperator.greaterOrEqual]: (cell, [value]) => compare(cell, value) >= 0,
	[comparisonOperator.in]: (cell, values) => values.some(value => equals(cell, value)),
	[comparisonOperator.contains]: (cell, [value]) => includesText(cell, value!),
};

const createComparison = (columns: readonly Column[], comparison: Comparison, now: number): Test => {
	const column = columns.find(candidate => candidate.name === comparison.column.text);
	if (!column) {
		return () => false;
	}

	const values = comparison.values.map(literal => resolveValue(column, literal, now).unwrapOr(''));
	const test = compareBy[comparison.operator];
	return cells => test(cells[column.name], values);
};

const createTest = (columns: readonly Column[], condition: Condition, now: number): Test => {
	switch (condition.kind) {
		case 'comparison': {
			return createComparison(columns, condition, now);
		}

		case 'not': {
			const test = createTest(columns, condition.term, now);
			return cells => !test(cells);
		}

		case 'and': {
			const tests = condition.terms.map(term => createTest(columns, term, now));
			return cells => tests.every(test => test(cells));
		}

		case 'or': {
			const tests = condition.terms.map(term => createTest(columns, term, now));
			return cells => tests.some(test => test(cells));
		}
	}
};

/** Compares by the orderings, then by the table's first column. */
const compareRows = (left: Cells, right: Cells, orderings: readonly Ordering[], columns: readonly Column[]): number => {
	for (const {column, isDescending} of orderings) {
		const order = compare(left[column.text], right[column.text]);
		if (order !== 0) {
			return isDescending ? -order : order;
		}
	}

	const name = columns[0]?.name ?? '';
	return compare(left[name], right[name]);
};

/** Rows of the query's table that meet its condition, in its order, up to its limit. The query must have been checked. */
export const evaluateQuery = <SelectedRow extends Cells>(query: Query, rows: readonly SelectedRow[], now: number): SelectedRow[] => {
	const columns: readonly Column[] = isTableName(query.table.text) ? columnsByTable[query.table.text] : [];
	const test = query.where ? createTest(columns, query.where, now) : () => true;
	const selected = rows.filter(row => test(row));
	const sorted = selected.toSorted((left, right) => compareRows(left, right, query.orderings, columns));
	return query.limit === undefined ? sorted : sorted.slice(0, query.limit);
};
