/** Words that may stand next in a statement. */
import {columnsByTable, isTableName} from '../tables/columns.js';
import {expectedAfter, tokenize} from './parse.js';

const wordPattern = /^[\w=!<>]+$/v;

const choicesAfter = (text: string): string[] => {
	const {table, column} = /^\s*(?<table>\w+)\s.*?(?<column>\w+)\s*(?:=|!=)\s*$/v.exec(text)?.groups ?? {};
	if (table === undefined || !isTableName(table)) {
		return [];
	}

	return [...columnsByTable[table].find(({name}) => name === column)?.choices ?? []];
};

/** Words of the language, columns and values of choices that may follow the text. */
export const completeStatement = (text: string): string[] => {
	const words = expectedAfter(tokenize(text)).filter(word => wordPattern.test(word));
	return [...choicesAfter(text), ...words];
};
