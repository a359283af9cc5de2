/** Converts tokens to values: places, operators, durations, names and quoted texts. */
import {type IToken, type TokenType} from 'chevrotain';
import {
	comparisonOperator, type ComparisonOperator, type Name, type Place,
} from './syntax.js';
import {keyword, symbol} from './tokens.js';

/** The range of characters that a token covers. */
export const placeOf = (token: IToken): Place => ({start: token.startOffset, end: token.startOffset + token.image.length});

/** The token type of each comparison operator except `in`, which takes a list of values and has a grammar rule of its own. */
export const operatorTokens: Array<{type: TokenType; operator: ComparisonOperator}> = [
	{type: symbol.equal, operator: comparisonOperator.equal},
	{type: symbol.notEqual, operator: comparisonOperator.notEqual},
	{type: symbol.less, operator: comparisonOperator.less},
	{type: symbol.lessOrEqual, operator: comparisonOperator.lessOrEqual},
	{type: symbol.greater, operator: comparisonOperator.greater},
	{type: symbol.greaterOrEqual, operator: comparisonOperator.greaterOrEqual},
	{type: keyword.contains, operator: comparisonOperator.contains},
];

const millisecondsByUnit: Record<string, number> = {
	ms: 1, s: 1000, m: 60_000, h: 3_600_000, d: 86_400_000,
};

const unescapeQuoted = (text: string): string => text.replaceAll(/\\(.)/gv, '$1');

/** Converts a duration such as `1.5s` to milliseconds. */
export const parseSpan = (image: string): number => {
	const unit = image.replace(/^[\d.]+/v, '');
	return Number.parseFloat(image) * (millisecondsByUnit[unit] ?? 1);
};

/** Converts an unquoted token to a name. */
export const toName = (token: IToken): Name => ({text: token.image, place: placeOf(token)});

/** The text of a quoted token, without quotes and escapes. */
export const unquote = (token: IToken): string => unescapeQuoted(token.image.slice(1, -1));
