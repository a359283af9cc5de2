/** JSON requests to the platform's services, each with a deadline and a validated response. */
import {
	type Clock, Failure, failureCode, type FailureCode,
} from 'chivestream-core';
import {Err, Ok, type Result} from 'ts-results-es';
import {type Dispatcher, request} from 'undici';
import {type z} from 'zod';

/** Settings shared by all requests of a client. */
export type Connection = {
	dispatcher: Dispatcher;
	clock: Clock;
	/** Failure code for a server error or an unreachable service. */
	unavailableCode: FailureCode;
};

/** A request, with the expected status and schema of its response. */
export type JsonRequest<Schema extends z.ZodType> = {
	method: 'GET' | 'POST';
	url: URL;
	/** Sent as JSON if it is defined. */
	body?: unknown;
	/** Milliseconds since the Unix epoch. */
	deadline: number;
	/** Name of the operation, for failures. */
	step: string;
	/** Expected status of the response. */
	status: number;
	schema: Schema;
};

const serverErrorStatus = 500;
const maxErrorBodyLength = 200;

const sendAndDecode = async <Schema extends z.ZodType>(
	connection: Connection,
	{method, url, body, step, status, schema}: JsonRequest<Schema>,
	signal: AbortSignal,
): Promise<Result<z.output<Schema>, Failure>> => {
	const origin = {step, peer: url.host};
	const response = await request(url, {
		method,
		dispatcher: connection.dispatcher,
		signal,
		...(body !== undefined && {body: JSON.stringify(body), headers: {'content-type': 'application/json'}}),
	});
	const text = await response.body.text();
	if (response.statusCode !== status) {
		const code = response.statusCode >= serverErrorStatus ? connection.unavailableCode : failureCode.protocolError;
		const message = `unexpected status ${response.statusCode} instead of ${status}: ${text.slice(0, maxErrorBodyLength)}`;
		return new Err(new Failure(code, message, origin));
	}

	const parsed = schema.safeParse(JSON.parse(text));
	if (!parsed.success) {
		const message = `the response does not match its schema: ${parsed.error.message}`;
		return new Err(new Failure(failureCode.protocolError, message, origin));
	}

	return new Ok(parsed.data);
};

/**
 * Sends a request. The failure's code is `timed-out` after the deadline, the connection's `unavailableCode` if the service is
 * unavailable, and `protocol-error` if the response is invalid.
 */
export const requestJson = async <Schema extends z.ZodType>(
	connection: Connection,
	jsonRequest: JsonRequest<Schema>,
): Promise<Result<z.output<Schema>, Failure>> => {
	const origin = {step: jsonRequest.step, peer: jsonRequest.url.host};
	const controller = new AbortController();
	const timer = connection.clock.at(jsonRequest.deadline, () => {
		controller.abort();
	});
	try {
		return await sendAndDecode(connection, jsonRequest, controller.signal);
	} catch (error) {
		if (controller.signal.aborted) {
			return new Err(new Failure(failureCode.timedOut, 'no answer before the deadline', origin, {cause: error}));
		}

		if (error instanceof SyntaxError) {
			return new Err(new Failure(failureCode.protocolError, 'the response is not valid JSON', origin, {cause: error}));
		}

		return new Err(new Failure(connection.unavailableCode, String(error), origin, {cause: error}));
	} finally {
		timer.cancel();
	}
};
