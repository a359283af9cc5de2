/** HTTP client of the platform's append-only log. */
import {
	type Clock, type Failure, failureCode, systemClock,
} from 'chivestream-core';
import {type Result} from 'ts-results-es';
import {Agent} from 'undici';
import {z} from 'zod';
import {type Connection, type JsonRequest, requestJson} from './request.js';
import {type Stream, type StreamRange} from './stream.js';

/** Options of the log client. */
export type LogOptions = {
	/** Base URLs of the log's servers. After a failed request, the next request goes to the next server. */
	urls: readonly string[];
	/** Time limit of a request, in milliseconds, in addition to the time for which it lets the log wait for records. */
	requestTimeoutMs: number;
	clock?: Clock;
};

/** Client of the log. */
export type Log = {
	/** Returns the stream with this name, without a request. */
	stream: (name: string) => Stream;
	/** Closes the connections; requests in progress fail. */
	close: () => Promise<void>;
};

const createdStatus = 201;
const okStatus = 200;

const offsetSchema = z.int().min(0);

const appendResponseSchema = z.object({offset: offsetSchema});

const pageSchema = z.object({
	records: z.array(z.object({offset: offsetSchema, at: z.number(), value: z.unknown()})),
	first: offsetSchema,
	next: offsetSchema,
});

/** Creates a client of the log. Every request has a deadline, and the client never retries one. */
export const createLog = ({urls, requestTimeoutMs, clock = systemClock}: LogOptions): Log => {
	const dispatcher = new Agent({pipelining: 1});
	const connection: Connection = {dispatcher, clock, unavailableCode: failureCode.logUnavailable};
	let urlIndex = 0;

	const createUrl = (name: string): URL => {
		const base = urls[urlIndex % urls.length];
		return new URL(`/streams/${encodeURIComponent(name)}/records`, base);
	};

	const sendRequest = async <Schema extends z.ZodType>(
		jsonRequest: JsonRequest<Schema>,
	): Promise<Result<z.output<Schema>, Failure>> => {
		const result = await requestJson(connection, jsonRequest);
		if (result.isErr()) {
			urlIndex += 1;
		}

		return result;
	};

	const append = async (name: string, value: unknown) => {
		const result = await sendRequest({
			method: 'POST',
			url: createUrl(name),
			body: value,
			deadline: clock.now() + requestTimeoutMs,
			step: `append-to-${name}`,
			status: createdStatus,
			schema: appendResponseSchema,
		});
		return result.map(({offset}) => offset);
	};

	const read = async (name: string, {from, limit, waitDeadline}: StreamRange) => {
		const waitMs = Math.max(0, Math.floor(waitDeadline - clock.now()));
		const url = createUrl(name);
		url.search = new URLSearchParams({from: String(from), limit: String(limit), waitMs: String(waitMs)}).toString();
		return sendRequest({
			method: 'GET',
			url,
			deadline: clock.now() + waitMs + requestTimeoutMs,
			step: `read-${name}`,
			status: okStatus,
			schema: pageSchema,
		});
	};

	return {
		stream: name => ({
			append: async value => append(name, value),
			read: async range => read(name, range),
		}),
		close: async () => dispatcher.destroy(),
	};
};
