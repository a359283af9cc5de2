/** Tokens of the statement language. Their labels are used in error messages. */
/* eslint-disable require-unicode-regexp, @typescript-eslint/naming-convention -- the lexer library reads patterns without the v flag only, and has its own names */
import {createToken, Lexer, type TokenType} from 'chevrotain';

/** A column name: a word, or a keyword that is also the name of a column. */
export const columnName = createToken({name: 'ColumnName', pattern: Lexer.NA, label: 'a column'});

/** An unquoted id, key, column, team or file. */
export const word = createToken({
	name: 'Word', pattern: /[\w./][\w./:~@%+-]*/, label: 'a name', categories: [columnName],
});

/** A text in double quotes; a backslash escapes the character after it. */
export const quotedText = createToken({name: 'QuotedText', pattern: /"(?:[^"\\\n]|\\.)*"/, label: 'a text in double quotes'});

/** A duration such as `250ms` or `2h`. */
export const span = createToken({
	name: 'Span', pattern: /\d+(?:\.\d+)?(?:ms|s|m|h|d)/, longer_alt: word, label: 'a duration such as 5s',
});

/** Category of numbers with or without a decimal point. */
export const number = createToken({name: 'Number', pattern: Lexer.NA, label: 'a number'});

/** A number with a decimal point. */
export const decimal = createToken({
	name: 'Decimal', pattern: /\d+\.\d+/, longer_alt: [span, word], label: 'a number', categories: [number],
});

/** A number without a decimal point. */
export const wholeNumber = createToken({
	name: 'WholeNumber', pattern: /\d+/, longer_alt: [decimal, span, word], label: 'a whole number', categories: [number],
});

const space = createToken({name: 'Space', pattern: /\s+/, group: Lexer.SKIPPED});

const createKeyword = (text: string, categories: TokenType[] = []): TokenType => createToken({
	name: `Keyword-${text}`, pattern: text, longer_alt: word, label: text, categories,
});

const createSymbol = (name: string, text: string): TokenType => createToken({name, pattern: text, label: text});

/** The names of the tables, which are keywords too. */
export const tableKeyword = {
	jobs: createKeyword('jobs', [columnName]),
	upstreams: createKeyword('upstreams', [columnName]),
	minions: createKeyword('minions', [columnName]),
	workers: createKeyword('workers', [columnName]),
	hosts: createKeyword('hosts', [columnName]),
	configuration: createKeyword('configuration', [columnName]),
} as const;

/** All other keywords. */
export const keyword = {
	where: createKeyword('where'),
	and: createKeyword('and'),
	or: createKeyword('or'),
	not: createKeyword('not'),
	in: createKeyword('in'),
	contains: createKeyword('contains'),
	order: createKeyword('order'),
	by: createKeyword('by'),
	asc: createKeyword('asc'),
	desc: createKeyword('desc'),
	limit: createKeyword('limit'),
	now: createKeyword('now'),
	stop: createKeyword('stop'),
	cancel: createKeyword('cancel'),
	drain: createKeyword('drain'),
	undrain: createKeyword('undrain'),
	quota: createKeyword('quota'),
	weight: createKeyword('weight'),
	plan: createKeyword('plan'),
	apply: createKeyword('apply'),
	on: createKeyword('on'),
	version: createKeyword('version', [columnName]),
	history: createKeyword('history'),
	rollback: createKeyword('rollback'),
} as const;

/** Operators and punctuation. */
export const symbol = {
	notEqual: createSymbol('NotEqual', '!='),
	lessOrEqual: createSymbol('LessOrEqual', '<='),
	greaterOrEqual: createSymbol('GreaterOrEqual', '>='),
	equal: createSymbol('Equal', '='),
	less: createSymbol('Less', '<'),
	greater: createSymbol('Greater', '>'),
	open: createSymbol('Open', '('),
	close: createSymbol('Close', ')'),
	comma: createSymbol('Comma', ','),
	plus: createSymbol('Plus', '+'),
	minus: createSymbol('Minus', '-'),
} as const;

/** Every token, in the order in which the lexer tries them. */
export const allTokens: TokenType[] = [
	columnName,
	number,
	space,
	quotedText,
	...Object.values(symbol),
	...Object.values(tableKeyword),
	// Longer keywords first, so that a keyword never hides one of which it is a prefix.
	...Object.values(keyword).toSorted((left, right) => (right.LABEL?.length ?? 0) - (left.LABEL?.length ?? 0)),
	span,
	decimal,
	wholeNumber,
	word,
];
