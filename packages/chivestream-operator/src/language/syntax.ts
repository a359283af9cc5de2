/** The typed syntax tree of a statement. Every name keeps its place in the text, so that later checks can point at it. */

/** A range of characters in the statement; `end` is exclusive. */
export type Place = {
	start: number;
	end: number;
};

/** A name as it was written. */
export type Name = {
	text: string;
	place: Place;
};

/** How a comparison compares. */
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

/** A value with its text. `span` is a length of time, `now` the time of evaluation shifted by `shiftMs`. */
export type Literal
	= | {kind: 'text'; text: string; place: Place}
		| {kind: 'number'; text: string; place: Place; number: number}
		| {kind: 'span'; text: string; place: Place; spanMs: number}
		| {kind: 'now'; text: string; place: Place; shiftMs: number};

/** A column compared with one value, or with several after `in`. */
export type Comparison = {
	kind: 'comparison';
	column: Name;
	operator: ComparisonOperator;
	values: Literal[];
};

/** What a row must meet. */
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

/** Rows of one table. */
export type Query = {
	kind: 'query';
	table: Name;
	where?: Condition;
	orderings: Ordering[];
	/** Most rows of the answer. */
	limit?: number;
};

/** How a job is ended: `cancel` lets running tasks finish, `stop` ends them where the upstream can. */
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

/** A change of one declaration against the configuration in force. */
export type Change
	= | {kind: 'drain'; id: Name}
		| {kind: 'undrain'; id: Name}
		| {kind: 'limit'; name: Name; value: Literal}
		| {kind: 'quota'; team: Name; count: number}
		| {kind: 'weight'; team: Name; weight: number}
		| {kind: 'rollback'; version: number};

/** A statement of the language. */
export type Statement
	= | Query
		| Cancellation
		| Change
		| {kind: 'plan'; file: Name}
		| {kind: 'apply'; file: Name; baseVersion?: number}
		| {kind: 'history'; limit?: number};
