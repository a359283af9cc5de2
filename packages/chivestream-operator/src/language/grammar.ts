/** The grammar of the statement language: parses tokens into the syntax tree. */
/* eslint-disable new-cap, @typescript-eslint/naming-convention -- the methods of the parser library have names in capitals */
import {EmbeddedActionsParser, type IToken, type TokenType} from 'chevrotain';
import {
	type Cancellation, cancelMode, type Change, type ComparisonOperator, type Condition, type Literal, type Name,
	type Ordering, type Query, type Statement,
} from './syntax.js';
import {
	allTokens, columnName, keyword, number, quotedText, span, symbol, tableKeyword, wholeNumber, word,
} from './tokens.js';
import {
	toName, operatorTokens, parseSpan, placeOf, unquote,
} from './token-values.js';

/** Parses one statement. Each rule returns its node of the syntax tree. */
class StatementParser extends EmbeddedActionsParser {
	statement = this.RULE('statement', (): Statement => this.OR<Statement>([
		{ALT: () => this.SUBRULE(this.query)},
		{ALT: () => this.SUBRULE(this.cancellation)},
		{ALT: () => this.SUBRULE(this.change)},
		{ALT: () => this.SUBRULE(this.fileCommand)},
		{ALT: () => this.SUBRULE(this.history)},
	]));

	private readonly query = this.RULE('query', (): Query => {
		const table = this.OR(Object.values(tableKeyword).map(token => ({ALT: () => toName(this.CONSUME(token))})));
		const where = this.OPTION(() => this.SUBRULE(this.whereClause));
		const orderings = this.OPTION1(() => this.SUBRULE(this.orderClause)) ?? [];
		const limit = this.OPTION2(() => {
			this.CONSUME(keyword.limit);
			return Number(this.CONSUME(wholeNumber).image);
		});
		return {
			kind: 'query', table, where, orderings, limit,
		};
	});

	private readonly whereClause = this.RULE('whereClause', (): Condition => {
		this.CONSUME(keyword.where);
		return this.SUBRULE(this.condition);
	});

	private readonly condition = this.RULE('condition', (): Condition => {
		const terms: Condition[] = [];
		this.AT_LEAST_ONE_SEP({
			SEP: keyword.or,
			DEF: () => {
				terms.push(this.SUBRULE(this.conjunction));
			},
		});
		return terms.length === 1 ? terms[0]! : {kind: 'or', terms};
	});

	private readonly conjunction = this.RULE('conjunction', (): Condition => {
		const terms: Condition[] = [];
		this.AT_LEAST_ONE_SEP({
			SEP: keyword.and,
			DEF: () => {
				terms.push(this.SUBRULE(this.term));
			},
		});
		return terms.length === 1 ? terms[0]! : {kind: 'and', terms};
	});

	private readonly term = this.RULE('term', (): Condition => this.OR<Condition>([
		{
			ALT: () => {
				this.CONSUME(keyword.not);
				return {kind: 'not', term: this.SUBRULE(this.term)};
			},
		},
		{
			ALT: () => {
				this.CONSUME(symbol.open);
				const inner = this.SUBRULE(this.condition);
				this.CONSUME(symbol.close);
				return inner;
			},
		},
		{ALT: () => this.SUBRULE(this.comparison)},
	]));

	private readonly comparison = this.RULE('comparison', (): Condition => {
		const column = toName(this.CONSUME(columnName));
		return this.OR<Condition>([
			{
				ALT: () => {
					const operator = this.SUBRULE(this.operator);
					return {
						kind: 'comparison', column, operator, values: [this.SUBRULE(this.literal)],
					};
				},
			},
			{
				ALT: () => {
					this.CONSUME(keyword.in);
					const values = this.SUBRULE(this.valueList);
					return {
						kind: 'comparison', column, operator: 'in', values,
					};
				},
			},
		]);
	});

	private readonly operator = this.RULE('operator', (): ComparisonOperator => this.OR(operatorTokens.map(({type, operator}) => ({
		ALT: () => {
			this.CONSUME(type);
			return operator;
		},
	}))));

	private readonly valueList = this.RULE('valueList', (): Literal[] => {
		const values: Literal[] = [];
		this.CONSUME(symbol.open);
		this.AT_LEAST_ONE_SEP({
			SEP: symbol.comma,
			DEF: () => {
				values.push(this.SUBRULE(this.literal));
			},
		});
		this.CONSUME(symbol.close);
		return values;
	});

	private readonly literal = this.RULE('literal', (): Literal => this.OR<Literal>([
		{
			ALT: () => {
				const token = this.CONSUME(word);
				return {kind: 'text', text: token.image, place: placeOf(token)};
			},
		},
		{
			ALT: () => {
				const token = this.CONSUME(quotedText);
				return {kind: 'text', text: unquote(token), place: placeOf(token)};
			},
		},
		{
			ALT: () => {
				const token = this.CONSUME(number);
				return {...toName(token), kind: 'number', number: Number(token.image)};
			},
		},
		{
			ALT: () => {
				const token = this.CONSUME(span);
				return {...toName(token), kind: 'span', spanMs: parseSpan(token.image)};
			},
		},
		{ALT: () => this.SUBRULE(this.nowExpression)},
	]));

	private readonly nowExpression = this.RULE('nowExpression', (): Literal => {
		const token = this.CONSUME(keyword.now);
		const shiftMs = this.OPTION(() => {
			const sign = this.OR([
				{
					ALT: () => {
						this.CONSUME(symbol.plus);
						return 1;
					},
				},
				{
					ALT: () => {
						this.CONSUME(symbol.minus);
						return -1;
					},
				},
			]);
			return sign * parseSpan(this.CONSUME(span).image);
		});
		return {...toName(token), kind: 'now', shiftMs: shiftMs ?? 0};
	});

	private readonly orderClause = this.RULE('orderClause', (): Ordering[] => {
		const orderings: Ordering[] = [];
		this.CONSUME(keyword.order);
		this.CONSUME(keyword.by);
		this.AT_LEAST_ONE_SEP({
			SEP: symbol.comma,
			DEF: () => {
				orderings.push(this.SUBRULE(this.ordering));
			},
		});
		return orderings;
	});

	private readonly ordering = this.RULE('ordering', (): Ordering => {
		const column = toName(this.CONSUME(columnName));
		const direction = this.OPTION(() => this.OR([
			{ALT: () => this.CONSUME(keyword.asc)},
			{ALT: () => this.CONSUME(keyword.desc)},
		]));
		return {column, isDescending: direction?.tokenType === keyword.desc};
	});

	private readonly cancellation = this.RULE('cancellation', (): Cancellation => {
		const modeToken = this.OR([
			{ALT: () => this.CONSUME(keyword.cancel)},
			{ALT: () => this.CONSUME(keyword.stop)},
		]);
		const target = this.OR1<Cancellation['target']>([
			{ALT: () => ({kind: 'key', key: this.SUBRULE(this.name)})},
			{ALT: () => ({kind: 'jobs', query: this.SUBRULE(this.selectedJobs)})},
		]);
		const mode = modeToken.tokenType === keyword.stop ? cancelMode.stop : cancelMode.cancel;
		return {kind: 'cancellation', mode, target};
	});

	private readonly selectedJobs = this.RULE('selectedJobs', (): Query => {
		const table = toName(this.CONSUME(tableKeyword.jobs));
		const where = this.SUBRULE(this.whereClause);
		return {
			kind: 'query', table, where, orderings: [],
		};
	});

	private readonly change = this.RULE('change', (): Change => this.OR<Change>([
		{
			ALT: () => {
				this.CONSUME(keyword.drain);
				return {kind: 'drain', id: this.SUBRULE(this.name)};
			},
		},
		{
			ALT: () => {
				this.CONSUME(keyword.undrain);
				return {kind: 'undrain', id: this.SUBRULE1(this.name)};
			},
		},
		{
			ALT: () => {
				this.CONSUME(keyword.limit);
				const name = this.SUBRULE2(this.name);
				this.CONSUME(symbol.equal);
				return {kind: 'limit', name, value: this.SUBRULE(this.literal)};
			},
		},
		{
			ALT: () => {
				this.CONSUME(keyword.quota);
				const team = this.SUBRULE3(this.name);
				this.CONSUME1(symbol.equal);
				return {kind: 'quota', team, count: Number(this.CONSUME(wholeNumber).image)};
			},
		},
		{
			ALT: () => {
				this.CONSUME(keyword.weight);
				const team = this.SUBRULE4(this.name);
				this.CONSUME2(symbol.equal);
				return {kind: 'weight', team, weight: Number(this.CONSUME(number).image)};
			},
		},
		{
			ALT: () => {
				this.CONSUME(keyword.rollback);
				return {kind: 'rollback', version: Number(this.CONSUME1(wholeNumber).image)};
			},
		},
	]));

	private readonly fileCommand = this.RULE('fileCommand', (): Statement => this.OR<Statement>([
		{
			ALT: () => {
				this.CONSUME(keyword.plan);
				return {kind: 'plan', file: this.SUBRULE(this.name)};
			},
		},
		{
			ALT: () => {
				this.CONSUME(keyword.apply);
				const file = this.SUBRULE1(this.name);
				const baseVersion = this.OPTION(() => {
					this.CONSUME(keyword.on);
					this.CONSUME(keyword.version);
					return Number(this.CONSUME(wholeNumber).image);
				});
				return {kind: 'apply', file, baseVersion};
			},
		},
	]));

	private readonly history = this.RULE('history', (): Statement => {
		this.CONSUME(keyword.history);
		const limit = this.OPTION(() => {
			this.CONSUME(keyword.limit);
			return Number(this.CONSUME(wholeNumber).image);
		});
		return {kind: 'history', limit};
	});

	/** An id, key, limit, team or file. An id may look like a number or a duration. */
	private readonly name = this.RULE('name', (): Name => this.OR([
		{ALT: () => toName(this.CONSUME(word))},
		{ALT: () => toName(this.CONSUME(number))},
		{ALT: () => toName(this.CONSUME(span))},
		{
			ALT: () => {
				const token = this.CONSUME(quotedText);
				return {text: unquote(token), place: placeOf(token)};
			},
		},
	]));

	constructor() {
		super(allTokens, {maxLookahead: 2});
		this.performSelfAnalysis();
	}
}

/** The parser, shared by all statements: set `input`, then call `statement`. */
export const statementParser = new StatementParser();

/** Token types that may follow the given tokens. */
export const possibleNextTokens = (tokens: IToken[]): TokenType[] => {
	const paths = statementParser.computeContentAssist('statement', tokens);
	return [...new Set(paths.map(path => path.nextTokenType))];
};
