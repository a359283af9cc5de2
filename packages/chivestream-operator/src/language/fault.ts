/** Faults of statements and their representation as text. */
import {type Place} from './syntax.js';

/** A syntax error, or an invalid name or value, in a statement. */
export type StatementFault = {
	/** What is wrong, without the place. */
	message: string;
	place: Place;
	/** Alternatives that are valid at the place. */
	expected: string[];
};

const maxListedChoices = 14;

/** Joins alternatives into `a, b or c`. */
export const formatChoices = (choices: readonly string[]): string => {
	if (choices.length > maxListedChoices) {
		return `${choices.slice(0, maxListedChoices).join(', ')} or another ${choices.length - maxListedChoices}`;
	}

	const last = choices.at(-1) ?? 'nothing';
	return choices.length < 2 ? last : `${choices.slice(0, -1).join(', ')} or ${last}`;
};

/** The message, the faulty line with a marker under the place, and what was expected, one below the other. */
export const formatFault = (statement: string, fault: StatementFault): string => {
	const before = statement.slice(0, fault.place.start);
	const lineStart = before.lastIndexOf('\n') + 1;
	const [line = ''] = statement.slice(lineStart).split('\n');
	const column = fault.place.start - lineStart;
	const width = Math.max(1, Math.min(fault.place.end - fault.place.start, line.length - column));
	const margin = line.slice(0, column).replaceAll(/[^\t]/gv, ' ');
	return [
		`column ${column + 1}: ${fault.message}`,
		`  ${line}`,
		`  ${margin}${'^'.repeat(width)}`,
		`expected ${formatChoices(fault.expected)}`,
	].join('\n');
};
