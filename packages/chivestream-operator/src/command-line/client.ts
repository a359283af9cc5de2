/** Client of the operators' service that fails over between entry hosts. */
import {
	Failure, failureCode, toFailure,
} from 'chivestream-core';
import {Err, Ok, type Result} from 'ts-results-es';
import {Agent, request} from 'undici';
import {type Answer, answerSchema, type OperatorRequest} from '../answers.js';

/** Connection options of the client. */
export type OperatorClientOptions = {
	/** Base URLs of entry hosts, tried in order. */
	urls: string[];
	/** Bearer token of the operators' service. */
	token: string;
	/** Certificate authority in PEM form, for services whose certificate isn't signed by a public authority. */
	authority?: string;
	/** Timeout of the reply of one entry host, in milliseconds. */
	requestMs: number;
};

/** Sends statements to the first entry host that answers. */
export type OperatorClient = {
	send: (operatorRequest: OperatorRequest) => Promise<Result<Answer, Failure>>;
	close: () => Promise<void>;
};

const connectTimeoutMs = 3000;

/** Creates a client. The caller must close it to release its connections. */
export const createOperatorClient = (options: OperatorClientOptions): OperatorClient => {
	const {urls, token, authority, requestMs} = options;
	const dispatcher = new Agent({connect: {timeout: connectTimeoutMs, ca: authority}});

	const sendTo = async (url: string, operatorRequest: OperatorRequest): Promise<Answer> => {
		const {body} = await request(new URL('/v1/statements', url), {
			method: 'POST',
			headers: {authorization: `Bearer ${token}`, 'content-type': 'application/json'},
			body: JSON.stringify(operatorRequest),
			headersTimeout: requestMs,
			bodyTimeout: requestMs,
			dispatcher,
		});
		return answerSchema.parse(await body.json());
	};

	return {
		async send(operatorRequest) {
			const reasons: string[] = [];
			for (const url of urls) {
				try {
					// Sending a statement to several hosts is safe: a change carries a command id, and all other statements are idempotent.
					// eslint-disable-next-line no-await-in-loop -- the next entry host is tried only when this one fails
					return new Ok(await sendTo(url, operatorRequest));
				} catch (error) {
					reasons.push(`${url}: ${toFailure(error, {step: 'send', peer: url}).message}`);
				}
			}

			return new Err(new Failure(failureCode.connectionFailed, `no entry host answered: ${reasons.join('; ')}`, {step: 'send', peer: urls.join(',')}));
		},
		async close() {
			await dispatcher.close();
		},
	};
};
