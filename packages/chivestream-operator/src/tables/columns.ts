/** The tables of the statement language and their typed columns. */
import {jobState} from './job-state.js';
import {
	hostState, type RowsByTable, type TableName, targetState,
} from './rows.js';

/** Types of column values, which determine the operators and literals that a column can be compared with. */
export const columnType = {
	text: 'text',
	number: 'number',
	/** A duration in milliseconds, compared with literals such as `5s`. */
	span: 'span',
	/** Milliseconds since the Unix epoch, compared with `now`, an ISO 8601 time or a number. */
	time: 'time',
	/** `true` or `false`. */
	flag: 'flag',
	/** One of the values in `choices`. */
	choice: 'choice',
	/** A list of texts; `=` is true when one of them is equal. */
	names: 'names',
} as const;

/** One of the column types. */
export type ColumnType = (typeof columnType)[keyof typeof columnType];

/** Name and type of a column. */
export type Column<ColumnName extends string = string> = {
	name: ColumnName;
	type: ColumnType;
	/** The possible values of a column of type `choice`. */
	choices?: readonly string[];
};

type ColumnsByTable = {[Table in TableName]: ReadonlyArray<Column<Extract<keyof RowsByTable[Table], string>>>};

const text = <ColumnName extends string>(name: ColumnName): Column<ColumnName> => ({name, type: columnType.text});
const number = <ColumnName extends string>(name: ColumnName): Column<ColumnName> => ({name, type: columnType.number});
const span = <ColumnName extends string>(name: ColumnName): Column<ColumnName> => ({name, type: columnType.span});
const time = <ColumnName extends string>(name: ColumnName): Column<ColumnName> => ({name, type: columnType.time});
const names = <ColumnName extends string>(name: ColumnName): Column<ColumnName> => ({name, type: columnType.names});
const choice = <ColumnName extends string>(name: ColumnName, values: Record<string, string>): Column<ColumnName> =>
	({name, type: columnType.choice, choices: Object.values(values)});

/** The columns of every table, in the order in which they are displayed. */
export const columnsByTable: ColumnsByTable = {
	jobs: [
		text('key'),
		text('team'),
		text('upstream'),
		text('zone'),
		text('host'),
		choice('state', jobState),
		span('age'),
		time('deadline'),
		time('progressDeadline'),
		number('tasks'),
		number('queued'),
		number('running'),
		number('completed'),
		number('failed'),
		names('minions'),
		names('workers'),
	],
	upstreams: [
		text('name'),
		text('zone'),
		text('host'),
		number('minions'),
		number('workers'),
		number('slots'),
		number('queued'),
		number('running'),
	],
	minions: [
		text('id'),
		text('upstream'),
		text('zone'),
		text('host'),
		choice('state', targetState),
		number('slots'),
		number('running'),
		number('slowness'),
		text('address'),
	],
	workers: [
		text('id'),
		text('upstream'),
		text('zone'),
		text('rack'),
		text('host'),
		choice('state', targetState),
		number('cores'),
		number('memoryMb'),
		number('accelerators'),
		number('running'),
		number('slowness'),
		text('address'),
	],
	hosts: [
		text('id'),
		text('region'),
		text('zone'),
		choice('state', hostState),
		span('age'),
		number('jobs'),
		number('memoryMb'),
		text('incarnation'),
		text('callerAddress'),
		text('operatorAddress'),
	],
	configuration: [
		text('host'),
		text('zone'),
		number('version'),
		number('offset'),
		{name: 'isLogReachable', type: columnType.flag},

	],
};

/** Whether a text is the name of a table. */
export const isTableName = (name: string): name is TableName => Object.hasOwn(columnsByTable, name);

/** The names of all tables. */
export const tableNames: TableName[] = Object.keys(columnsByTable).filter(name => isTableName(name));
