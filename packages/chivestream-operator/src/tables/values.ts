/** Converts the literals of a statement to values of a column's type. */
import {Err, Ok, type Result} from 'ts-results-es';
import {type Literal} from '../language/syntax.js';
import {type Column, columnType} from './columns.js';

/** A literal converted to the type of the column that it is compared with. */
export type ComparisonValue = string | number | boolean;

const isoPattern = /^\d{4}-\d{2}-\d{2}/v;

/** Descriptions and examples of the literals that a column accepts, for error messages. */
export const describeValues = (column: Column): string[] => {
	switch (column.type) {
		case columnType.choice: {
			return [...column.choices ?? []];
		}

		case columnType.flag: {
			return ['true', 'false'];
		}

		case columnType.number: {
			return ['a number such as 12'];
		}

		case columnType.span: {
			return ['a duration such as 250ms, 5s, 2m, 1h or 1d'];
		}

		case columnType.time: {
			return ['now', 'now - 5m', 'now + 5s', 'a time such as "2026-01-31T08:00:00Z"'];
		}

		case columnType.text:
		case columnType.names: {
			return ['a name', 'a text in double quotes'];
		}
	}
};

const toTimestamp = (literal: Literal, now: number): number | undefined => {
	if (literal.kind === 'now') {
		return now + literal.shiftMs;
	}

	if (literal.kind === 'number') {
		return literal.number;
	}

	if (literal.kind === 'text' && isoPattern.test(literal.text)) {
		const time = Date.parse(literal.text);
		return Number.isNaN(time) ? undefined : time;
	}

	return undefined;
};

const convertLiteral = (column: Column, literal: Literal, now: number): ComparisonValue | undefined => {
	switch (column.type) {
		case columnType.number: {
			return literal.kind === 'number' ? literal.number : undefined;
		}

		case columnType.span: {
			return literal.kind === 'span' ? literal.spanMs : undefined;
		}

		case columnType.time: {
			return toTimestamp(literal, now);
		}

		case columnType.flag: {
			return literal.text === 'true' || literal.text === 'false' ? literal.text === 'true' : undefined;
		}

		case columnType.choice: {
			return column.choices?.includes(literal.text) ? literal.text : undefined;
		}

		case columnType.text:
		case columnType.names: {
			// An id may look like a number or a duration.
			return literal.kind === 'now' ? undefined : literal.text;
		}
	}
};

/** Converts a literal to the column's type, with `now` given in milliseconds since the Unix epoch; the error lists what the column accepts. */
export const resolveValue = (column: Column, literal: Literal, now: number): Result<ComparisonValue, string[]> => {
	const value = convertLiteral(column, literal, now);
	return value === undefined ? new Err(describeValues(column)) : new Ok(value);
};
