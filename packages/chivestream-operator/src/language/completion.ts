/** Completion of statements for the shell. */
import {columnsByTable, isTableName} from '../tables/columns.js';
import {expectedAfter, tokenize} from './parse.js';

const wordPattern = /^[\w=!<>]+$/v;

const choiceValuesAfter = (text: string): string[] => {
	const {table, column} = /^\s*(?<table>\w+)\s.*?(?<column>\w+)\s*(?:=|!=)\s*$/v.exec(text)?.groups ?? {};
	if (table === undefined || !isTableName(table)) {
		return [];
	}

	return [...columnsByTable[table].find(({name}) => name === column)?.choices ?? []];
};

/** Keywords, columns and values of choice columns that may follow the text. */
export const completeStatement = (text: string): string[] => {
	const words = expectedAfter(tokenize(text)).filter(word => wordPattern.test(word));
	return [...choiceValuesAfter(text), ...words];
};
