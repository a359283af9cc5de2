/** HTTP requests for the tests of the stand-ins. */
import {request, type Dispatcher} from 'undici';
import {z} from 'zod';

/** What a test looks at in an answer. */
export type Answer = {
	status: number;
	/** The echoed attempt. */
	echo: unknown;
	body: Record<string, unknown>;
};

/** What a request carries besides its method and path. */
export type CallOptions = {
	payload?: unknown;
	headers?: Record<string, string>;
	dispatcher?: Dispatcher;
	signal?: AbortSignal;
};

const bodySchema = z.record(z.string(), z.unknown());

/** Sends a request and reads its JSON answer; an empty one counts as `{}`. */
export const call = async (
	address: string,
	method: Dispatcher.HttpMethod,
	path: string,
	{payload, headers, dispatcher, signal}: CallOptions = {},
): Promise<Answer> => {
	const answer = await request(`http://${address}${path}`, {
		method, headers, dispatcher, signal, body: payload === undefined ? undefined : JSON.stringify(payload),
	});
	const text = await answer.body.text();
	return {
		status: answer.statusCode,
		echo: answer.headers['chivestream-attempt'],
		body: bodySchema.parse(text === '' ? {} : JSON.parse(text)),
	};
};

/** Status of an answer still under way. */
export const statusOf = async (answer: Promise<Answer>): Promise<number> => {
	const {status} = await answer;
	return status;
};

/** Body of an answer still under way. */
export const bodyOf = async (answer: Promise<Answer>): Promise<Record<string, unknown>> => {
	const {body} = await answer;
	return body;
};

/** Polls until the stand-in has started this many tasks. */
export const untilStarted = async (standIn: {report: () => {total: number}}, total: number): Promise<void> => {
	while (standIn.report().total < total) {
		// eslint-disable-next-line no-await-in-loop
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
};
