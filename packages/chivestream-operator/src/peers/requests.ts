/** What entry hosts ask one another on behalf of an operator: rows and recorded histories, as JSON text. */
import {type Clock, type HostHistory} from 'chivestream-core';
import {z} from 'zod';
import {evaluateQuery} from '../evaluate.js';
import {parseStatement} from '../language/parse.js';
import {type Query} from '../language/syntax.js';
import {type LocalSource, type OperatorSource} from '../source.js';
import {isTableName} from '../tables/columns.js';
import {type Row} from '../tables/rows.js';
import {gatherFromPeers, type Gathered, type Part} from './gather.js';
import {historySchema, rowSchema} from './schemas.js';

/** Most rows that one host gives to one query. */
export const maxRowsPerHost = 5000;

const requestSchema = z.discriminatedUnion('kind', [
	z.strictObject({kind: z.literal('rows'), statement: z.string(), now: z.number()}),
	z.strictObject({kind: z.literal('history')}),
]);

const rowsReplySchema = z.object({rows: z.array(rowSchema), omitted: z.int()});

type PeerRequest = z.output<typeof requestSchema>;
type RowsReply = {rows: Row[]; omitted: number};

const readQuery = (statement: string): Query | undefined => {
	const parsed = parseStatement(statement);
	return parsed.isOk() && parsed.value.kind === 'query' ? parsed.value : undefined;
};

const selectRows = (source: LocalSource, query: Query, now: number): RowsReply => {
	const table = query.table.text;
	const rows = isTableName(table) ? evaluateQuery<Row>(query, source.localRows(table), now) : [];
	return {rows: rows.slice(0, maxRowsPerHost), omitted: Math.max(0, rows.length - maxRowsPerHost)};
};

const answer = (source: LocalSource, request: PeerRequest): unknown => {
	if (request.kind === 'history') {
		return source.localHistory();
	}

	const query = readQuery(request.statement);
	return query ? selectRows(source, query, request.now) : {error: 'the statement is no query'};
};

/** Answers another entry host's request from this host alone; both as JSON text. */
export const answerPeerRequest = (source: LocalSource, text: string): string =>
	JSON.stringify(answer(source, requestSchema.parse(JSON.parse(text))));

const toPart = <Item>(rows: Item[], omitted: number): Part<Item> =>
	omitted === 0 ? {items: rows} : {items: rows, omission: `left out ${omitted} rows: ask for fewer`};

/** A row as it came over the network; its columns are those of its table. */
export type GatheredRow = z.output<typeof rowSchema>;

/** Rows of all hosts that a query selects, in its order. */
export const gatherRows = async (
	source: OperatorSource,
	statement: string,
	deadline: number,
	clock: Clock,
): Promise<Gathered<GatheredRow>> => {
	const query = readQuery(statement);
	if (!query) {
		return {items: [], missing: []};
	}

	const now = clock.now();
	const local = selectRows(source, query, now);
	const {host, zone} = source.self;
	const question = {
		request: JSON.stringify({kind: 'rows', statement, now}),
		read(reply: string) {
			const {rows, omitted} = rowsReplySchema.parse(JSON.parse(reply));
			return toPart(rows, omitted);
		},
	};
	const gathered = await gatherFromPeers(source.peers(), question, deadline, clock);
	const own = toPart(local.rows, local.omitted);
	const rows = evaluateQuery(query, [...own.items, ...gathered.items], now);
	const missing = own.omission === undefined ? gathered.missing : [{host, zone, reason: own.omission}, ...gathered.missing];
	return {items: rows, missing};
};

/** Recorded histories of all hosts. */
export const gatherHistories = async (
	source: OperatorSource,
	deadline: number,
	clock: Clock,
): Promise<Gathered<HostHistory>> => {
	const question = {
		request: JSON.stringify({kind: 'history'}),
		read: (reply: string) => ({items: [historySchema.parse(JSON.parse(reply))]}),
	};
	const gathered = await gatherFromPeers(source.peers(), question, deadline, clock);
	return {items: [source.localHistory(), ...gathered.items], missing: gathered.missing};
};
