/** Reads a statement: text to a checked syntax tree, or a fault that points at the place. */
import {
	EOF, type IToken, Lexer, type ILexingError,
} from 'chevrotain';
import {Err, Ok, type Result} from 'ts-results-es';
import {columnsByTable, isTableName} from '../tables/columns.js';
import {checkStatement} from './check.js';
import {type StatementFault} from './fault.js';
import {possibleNextTokens, statementParser} from './grammar.js';
import {type Place, type Statement} from './syntax.js';
import {
	allTokens, columnName, keyword, tableKeyword,
} from './tokens.js';

/** Most characters of a statement. */
export const maxStatementLength = 4000;

const endLabel = 'the end of the statement';
const lexer = new Lexer(allTokens);
const keywordTypes = new Set([...Object.values(keyword), ...Object.values(tableKeyword)]);

const parsesWhole = (tokens: IToken[]): boolean => {
	statementParser.input = tokens;
	statementParser.statement();
	return statementParser.errors.length === 0;
};

const columnsFor = (tokens: IToken[]): string[] => {
	const table = tokens.find(token => isTableName(token.image))?.image ?? '';
	return isTableName(table) ? columnsByTable[table].map(column => column.name) : [];
};

/** What may stand after the given tokens, in words; the columns by name. */
export const expectedAfter = (tokens: IToken[]): string[] => {
	const labels = possibleNextTokens(tokens).flatMap(type =>
		type === columnName ? columnsFor(tokens) : [type.LABEL ?? type.name]);
	return parsesWhole(tokens) ? [...labels, endLabel] : labels;
};

/** Tokens of a text, as far as the lexer could read it. */
export const tokenize = (text: string): IToken[] => lexer.tokenize(text).tokens;

const lexingFault = (text: string, before: IToken[], error: ILexingError): StatementFault => {
	const isOpenQuote = text[error.offset] === '"';
	return {
		message: isOpenQuote ? 'the text in double quotes does not end' : `"${text.slice(error.offset, error.offset + error.length)}" can't be read`,
		place: {start: error.offset, end: isOpenQuote ? text.length : error.offset + error.length},
		expected: isOpenQuote ? ['a closing double quote'] : expectedAfter(before),
	};
};

const parsingFault = (text: string, tokens: IToken[], found: IToken): StatementFault => {
	const isEnd = found.tokenType === EOF;
	const place: Place = isEnd
		? {start: text.trimEnd().length, end: text.trimEnd().length + 1}
		: {start: found.startOffset, end: found.startOffset + found.image.length};
	const before = isEnd ? tokens : tokens.filter(token => token.startOffset < found.startOffset);
	const expected = expectedAfter(before);
	if (isEnd) {
		return {message: 'the statement ends too early', place, expected};
	}

	const wantsText = expected.includes('a name') || expected.includes('a text in double quotes');
	const hint = keywordTypes.has(found.tokenType) && wantsText ? '; a name that is also a word of the language goes into double quotes' : '';
	return {message: `"${found.image}" can't stand here${hint}`, place, expected};
};

/** Reads and checks one statement. */
export const parseStatement = (text: string): Result<Statement, StatementFault> => {
	if (text.length > maxStatementLength) {
		return new Err({
			message: `the statement has ${text.length} characters`,
			place: {start: maxStatementLength, end: text.length},
			expected: [`at most ${maxStatementLength} characters`],
		});
	}

	const {tokens, errors} = lexer.tokenize(text);
	const [lexingError] = errors;
	const readable = lexingError ? tokens.filter(token => token.startOffset < lexingError.offset) : tokens;
	statementParser.input = readable;
	const statement = statementParser.statement();
	const [parsingError] = statementParser.errors;
	// What can't be read comes after every token of the readable part.
	if (parsingError && !(lexingError && parsingError.token.tokenType === EOF)) {
		return new Err(parsingFault(text, readable, parsingError.token));
	}

	if (lexingError) {
		return new Err(lexingFault(text, readable, lexingError));
	}

	const fault = checkStatement(statement);
	return fault ? new Err(fault) : new Ok(statement);
};
