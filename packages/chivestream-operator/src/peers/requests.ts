/** Requests between entry hosts on behalf of an operator, for rows and recorded histories, as JSON text. */
import {type Clock, type HostHistory} from 'chivestream-core';
import {z} from 'zod';
import {evaluateQuery} from '../evaluate.js';
import {parseStatement} from '../language/parse.js';
import {type Query} from '../language/syntax.js';
import {type LocalSource, type OperatorSource} from '../source.js';
import {isTableName} from '../tables/columns.js';
import {type Row} from '../tables/rows.js';
import {gatherFromPeers, type GatheredResult, type HostResult} from './gather.js';
import {historySchema, rowSchema} from './schemas.js';

/** Maximum number of rows that one host returns for a query. */
export const maxRowsPerHost = 5000;

const requestSchema = z.discriminatedUnion('kind', [
	z.strictObject({kind: z.literal('rows'), statement: z.string(), now: z.number()}),
	z.strictObject({kind: z.literal('history')}),
]);

const rowsReplySchema = z.object({rows: z.array(rowSchema), omitted: z.int()});

type PeerRequest = z.output<typeof requestSchema>;
type RowsReply = {rows: Row[]; omitted: number};

const parseQuery = (statement: string): Query | undefined => {
	const parsed = parseStatement(statement);
	return parsed.isOk() && parsed.value.kind === 'query' ? parsed.value : undefined;
};

const selectRows = (source: LocalSource, query: Query, now: number): RowsReply => {
	const table = query.table.text;
	const rows = isTableName(table) ? evaluateQuery<Row>(query, source.localRows(table), now) : [];
	return {rows: rows.slice(0, maxRowsPerHost), omitted: Math.max(0, rows.length - maxRowsPerHost)};
};

const createReply = (source: LocalSource, request: PeerRequest): unknown => {
	if (request.kind === 'history') {
		return source.localHistory();
	}

	const query = parseQuery(request.statement);
	return query ? selectRows(source, query, request.now) : {error: 'the statement is not a query'};
};

/** Handles a request of another entry host from local data only. Request and reply are JSON text. */
export const answerPeerRequest = (source: LocalSource, text: string): string =>
	JSON.stringify(createReply(source, requestSchema.parse(JSON.parse(text))));

const toHostResult = <Item>(rows: Item[], omitted: number): HostResult<Item> =>
	omitted === 0 ? {items: rows} : {items: rows, omission: `${omitted} rows were omitted; use a stricter condition or a lower limit`};

/** A row received from a host; its columns are those of its table. */
export type GatheredRow = z.output<typeof rowSchema>;

/** Evaluates a query over the rows of all hosts, in the order of the query. */
export const gatherRows = async (
	source: OperatorSource,
	statement: string,
	deadline: number,
	clock: Clock,
): Promise<GatheredResult<GatheredRow>> => {
	const query = parseQuery(statement);
	if (!query) {
		return {items: [], missing: []};
	}

	const now = clock.now();
	const localReply = selectRows(source, query, now);
	const {host, zone} = source.self;
	const peerQuery = {
		request: JSON.stringify({kind: 'rows', statement, now}),
		read(reply: string) {
			const {rows, omitted} = rowsReplySchema.parse(JSON.parse(reply));
			return toHostResult(rows, omitted);
		},
	};
	const gathered = await gatherFromPeers(source.peers(), peerQuery, deadline, clock);
	const localResult = toHostResult(localReply.rows, localReply.omitted);
	const rows = evaluateQuery(query, [...localResult.items, ...gathered.items], now);
	const missing = localResult.omission === undefined ? gathered.missing : [{host, zone, reason: localResult.omission}, ...gathered.missing];
	return {items: rows, missing};
};

/** Collects the histories that all hosts have recorded. */
export const gatherHistories = async (
	source: OperatorSource,
	deadline: number,
	clock: Clock,
): Promise<GatheredResult<HostHistory>> => {
	const peerQuery = {
		request: JSON.stringify({kind: 'history'}),
		read: (reply: string) => ({items: [historySchema.parse(JSON.parse(reply))]}),
	};
	const gathered = await gatherFromPeers(source.peers(), peerQuery, deadline, clock);
	return {items: [source.localHistory(), ...gathered.items], missing: gathered.missing};
};
