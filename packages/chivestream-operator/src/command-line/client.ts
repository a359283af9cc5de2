/** Calls to the operators' service of any of several entry hosts. */
import {
	Failure, failureCode, toFailure,
} from 'chivestream-core';
import {Err, Ok, type Result} from 'ts-results-es';
import {Agent, request} from 'undici';
import {type Answer, answerSchema, type OperatorRequest} from '../answers.js';

/** Where and how to reach the operators' service. */
export type OperatorClientOptions = {
	/** Base URLs of entry hosts, tried in order. */
	urls: string[];
	token: string;
	/** Certificate authority in PEM form, for services with a certificate of their own. */
	authority?: string;
	/** How long one entry host may take to answer, in milliseconds. */
	requestMs: number;
};

/** Sends statements to the first entry host that can be reached. */
export type OperatorClient = {
	send: (operatorRequest: OperatorRequest) => Promise<Result<Answer, Failure>>;
	close: () => Promise<void>;
};

const connectMs = 3000;

/** Creates a client; close it in the end. */
export const createOperatorClient = (options: OperatorClientOptions): OperatorClient => {
	const {urls, token, authority, requestMs} = options;
	const dispatcher = new Agent({connect: {timeout: connectMs, ca: authority}});

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
					// A statement may be sent twice: changes carry their command id, all else is idempotent.
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
