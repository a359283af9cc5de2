/** Parses the text of a statement into a checked syntax tree. */
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

/** Maximum length of a statement, in characters. */
export const maxStatementLength = 4000;

const endLabel = 'the end of the statement';
const lexer = new Lexer(allTokens);
const keywordTypes = new Set([...Object.values(keyword), ...Object.values(tableKeyword)]);

const isCompleteStatement = (tokens: IToken[]): boolean => {
	statementParser.input = tokens;
	statementParser.statement();
	return statementParser.errors.length === 0;
};

const columnNamesFor = (tokens: IToken[]): string[] => {
	const table = tokens.find(token => isTableName(token.image))?.image ?? '';
	return isTableName(table) ? columnsByTable[table].map(column => column.name) : [];
};

/** What may follow the given tokens, as labels for error messages. Columns are listed by name. */
export const expectedAfter = (tokens: IToken[]): string[] => {
	const labels = possibleNextTokens(tokens).flatMap(type =>
		type === columnName ? columnNamesFor(tokens) : [type.LABEL ?? type.name]);
	return isCompleteStatement(tokens) ? [...labels, endLabel] : labels;
};

/** The tokens of a text; characters that are not part of any token are skipped. */
export const tokenize = (text: string): IToken[] => lexer.tokenize(text).tokens;

const createLexingFault = (text: string, before: IToken[], error: ILexingError): StatementFault => {
	const isOpenQuote = text[error.offset] === '"';
	return {
		message: isOpenQuote ? 'the closing double quote is missing' : `"${text.slice(error.offset, error.offset + error.length)}" is not part of the language`,
		place: {start: error.offset, end: isOpenQuote ? text.length : error.offset + error.length},
		expected: isOpenQuote ? ['a closing double quote'] : expectedAfter(before),
	};
};

const createParsingFault = (text: string, tokens: IToken[], unexpectedToken: IToken): StatementFault => {
	const isEnd = unexpectedToken.tokenType === EOF;
	const place: Place = isEnd
		? {start: text.trimEnd().length, end: text.trimEnd().length + 1}
		: {start: unexpectedToken.startOffset, end: unexpectedToken.startOffset + unexpectedToken.image.length};
	const before = isEnd ? tokens : tokens.filter(token => token.startOffset < unexpectedToken.startOffset);
	const expected = expectedAfter(before);
	if (isEnd) {
		return {message: 'the statement ends too early', place, expected};
	}

	const isNameExpected = expected.includes('a name') || expected.includes('a text in double quotes');
	const hint = keywordTypes.has(unexpectedToken.tokenType) && isNameExpected ? '; a name that is also a keyword needs double quotes' : '';
	return {message: `"${unexpectedToken.image}" is not expected here${hint}`, place, expected};
};

/** Parses and checks one statement; the error is its first fault. */
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
	const parsableTokens = lexingError ? tokens.filter(token => token.startOffset < lexingError.offset) : tokens;
	statementParser.input = parsableTokens;
	const statement = statementParser.statement();
	const [parsingError] = statementParser.errors;
	// The parser received only the tokens before a lexing error, so a parsing error at their end results from it; any other comes earlier in the text.
	if (parsingError && !(lexingError && parsingError.token.tokenType === EOF)) {
		return new Err(createParsingFault(text, parsableTokens, parsingError.token));
	}

	if (lexingError) {
		return new Err(createLexingFault(text, parsableTokens, lexingError));
	}

	const fault = checkStatement(statement);
	return fault ? new Err(fault) : new Ok(statement);
};
