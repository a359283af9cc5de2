/** Faults in a statement: where, what was found and what was expected. */
import {type Place} from './syntax.js';

/** What is wrong with a statement and where. */
export type StatementFault = {
	/** One sentence without the place. */
	message: string;
	place: Place;
	/** What could stand at the place instead. */
	expected: string[];
};

const listLimit = 14;

/** A list for a sentence: `a, b or c`. */
export const formatChoices = (choices: readonly string[]): string => {
	if (choices.length > listLimit) {
		return `${choices.slice(0, listLimit).join(', ')} or another ${choices.length - listLimit}`;
	}

	const last = choices.at(-1) ?? 'nothing';
	return choices.length < 2 ? last : `${choices.slice(0, -1).join(', ')} or ${last}`;
};

/** The statement with a mark under the place, and below it what was expected. */
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
