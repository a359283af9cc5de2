/** Fetches the recorded histories from the operators' service and fails over between entry hosts. */
import {Failure, failureCode, toFailure} from 'chivestream-core';
import {Err, Ok, type Result} from 'ts-results-es';
import {Agent, request} from 'undici';
import {exportSchema, type HistoryExport} from './schemas.js';

/** Connection options of the operators' service. */
export type ReportSource = {
	/** Base URLs of entry hosts, tried in order. */
	urls: string[];
	/** Bearer token of the operators' service. */
	token: string;
	/** Certificate authority in PEM form. */
	authority?: string;
	/** Timeout of the reply of one entry host, in milliseconds. */
	requestMs: number;
};

const unauthorizedStatus = 401;

const readFrom = async (url: string, {token, requestMs}: ReportSource, dispatcher: Agent): Promise<HistoryExport> => {
	const {statusCode, body} = await request(new URL('/v1/histograms', url), {
		headers: {authorization: `Bearer ${token}`}, headersTimeout: requestMs, bodyTimeout: requestMs, dispatcher,
	});
	const answer = await body.json();
	if (statusCode === unauthorizedStatus) {
		throw new Failure(failureCode.unauthorized, 'the token is missing or wrong', {step: 'read-histograms', peer: url});
	}

	return exportSchema.parse(answer);
};

/** Fetches the histories of all hosts through the first entry host that answers. */
export const readHistories = async (source: ReportSource): Promise<Result<HistoryExport, Failure>> => {
	const dispatcher = new Agent({connect: {ca: source.authority}});
	let failure = new Failure(failureCode.connectionFailed, 'no entry host was given', {step: 'read-histograms', peer: 'operator'});
	try {
		for (const url of source.urls) {
			try {
				// eslint-disable-next-line no-await-in-loop -- the next entry host is tried only when this one fails
				return new Ok(await readFrom(url, source, dispatcher));
			} catch (error) {
				const {code, message} = toFailure(error, {step: 'read-histograms', peer: url});
				const isUnauthorized = code === failureCode.unauthorized;
				failure = new Failure(isUnauthorized ? code : failureCode.connectionFailed, `${url}: ${message}`, {step: 'read-histograms', peer: url}, {cause: error});
			}
		}

		return new Err(failure);
	} finally {
		await dispatcher.close();
	}
};
