/** What tokens mean: places, operators, lengths of time and quoted texts. */
import {type IToken, type TokenType} from 'chevrotain';
import {
	comparisonOperator, type ComparisonOperator, type Name, type Place,
} from './syntax.js';
import {keyword, symbol} from './tokens.js';

/** The place of a token in the statement. */
export const placeOf = (token: IToken): Place => ({start: token.startOffset, end: token.startOffset + token.image.length});

/** The tokens of the comparison operators. */
export const operatorTokens: Array<{type: TokenType; operator: ComparisonOperator}> = [
	{type: symbol.equal, operator: comparisonOperator.equal},
	{type: symbol.notEqual, operator: comparisonOperator.notEqual},
	{type: symbol.less, operator: comparisonOperator.less},
	{type: symbol.lessOrEqual, operator: comparisonOperator.lessOrEqual},
	{type: symbol.greater, operator: comparisonOperator.greater},
	{type: symbol.greaterOrEqual, operator: comparisonOperator.greaterOrEqual},
	{type: keyword.contains, operator: comparisonOperator.contains},
];

const unitMs: Record<string, number> = {
	ms: 1, s: 1000, m: 60_000, h: 3_600_000, d: 86_400_000,
};

const unescapeText = (text: string): string => text.replaceAll(/\\(.)/gv, '$1');

/** Milliseconds of a length of time such as `1.5s`. */
export const parseSpan = (image: string): number => {
	const unit = image.replace(/^[\d.]+/v, '');
	return Number.parseFloat(image) * (unitMs[unit] ?? 1);
};

/** The name that a token is. */
export const nameFrom = (token: IToken): Name => ({text: token.image, place: placeOf(token)});

/** The text between the quotes of a token. */
export const unquote = (token: IToken): string => unescapeText(token.image.slice(1, -1));
