/** The typed syntax tree of a statement. Names and literals keep their place in the text, so that later checks can report it. */

/** A range of characters in the statement, counted from 0; `end` is exclusive. */
export type Place = {
	start: number;
	end: number;
};

/** A name in the statement, without quotes. */
export type Name = {
	text: string;
	place: Place;
};

/** Operators of comparisons, as they are written in a statement. */
export const comparisonOperator = {
	equal: '=',
	notEqual: '!=',
	less: '<',
	lessOrEqual: '<=',
	greater: '>',
	greaterOrEqual: '>=',
	in: 'in',
	contains: 'contains',
} as const;

/** One of the comparison operators. */
export type ComparisonOperator = (typeof comparisonOperator)[keyof typeof comparisonOperator];

/** A value in the statement. `span` is a duration, `now` the time of evaluation plus `shiftMs`. */
export type Literal
	= | {kind: 'text'; text: string; place: Place}
		| {kind: 'number'; text: string; place: Place; number: number}
		| {kind: 'span'; text: string; place: Place; spanMs: number}
		| {kind: 'now'; text: string; place: Place; shiftMs: number};

/** A comparison of a column with one value, or with several values for the operator `in`. */
export type Comparison = {
	kind: 'comparison';
	column: Name;
	operator: ComparisonOperator;
	values: Literal[];
};

/** The condition of a `where` clause. */
export type Condition
	= | Comparison
		| {kind: 'and'; terms: Condition[]}
		| {kind: 'or'; terms: Condition[]}
		| {kind: 'not'; term: Condition};

/** One column to sort by. */
export type Ordering = {
	column: Name;
	isDescending: boolean;
};

/** A query for rows of one table. */
export type Query = {
	kind: 'query';
	table: Name;
	where?: Condition;
	orderings: Ordering[];
	/** Maximum number of rows in the answer. */
	limit?: number;
};

/** Ways to end a job: `cancel` lets running tasks finish, `stop` ends them where the upstream supports it. */
export const cancelMode = {
	cancel: 'cancel',
	stop: 'stop',
} as const;

/** One of the ways to end a job. */
export type CancelMode = (typeof cancelMode)[keyof typeof cancelMode];

/** Ends one job, or all jobs that a query selects. */
export type Cancellation = {
	kind: 'cancellation';
	mode: CancelMode;
	target: {kind: 'key'; key: Name} | {kind: 'jobs'; query: Query};
};

/** A change of one declaration, or the rollback to an earlier version. */
export type Change
	= | {kind: 'drain'; id: Name}
		| {kind: 'undrain'; id: Name}
		| {kind: 'limit'; name: Name; value: Literal}
		| {kind: 'quota'; team: Name; count: number}
		| {kind: 'weight'; team: Name; weight: number}
		| {kind: 'rollback'; version: number};

/** A statement of any kind. */
export type Statement
	= | Query
		| Cancellation
		| Change
		| {kind: 'plan'; file: Name}
		| {kind: 'apply'; file: Name; baseVersion?: number}
		| {kind: 'history'; limit?: number};
