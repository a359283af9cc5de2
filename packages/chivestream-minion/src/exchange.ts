/**
Sends one attempt in one HTTP exchange. Unlike `fetch`, it reports whether a byte of the request may have been written before
the exchange broke.
*/
import {Buffer} from 'node:buffer';
import {type IncomingHttpHeaders} from 'node:http';
import {type Dispatcher} from 'undici';

/** An HTTP request that sends one attempt. */
export type ExchangeRequest = {
	path: string;
	method: Dispatcher.HttpMethod;
	headers: Record<string, string>;
	body: string;
	maxResponseBytes: number;
	/** Ends the exchange. If it is aborted before the first byte is written, nothing is sent. */
	signal: AbortSignal;
};

/** An exchange that ended without a complete response. */
export type BrokenExchange = {
	kind: 'broken';
	/** Whether a byte of the request may have been written. */
	isWritten: boolean;
	/** Whether the signal of the request had been aborted when the exchange broke. */
	isAborted: boolean;
	error: Error;
};

/** The end of an exchange, which is a complete response or a broken exchange. */
export type ExchangeEnd
	= | {kind: 'answered'; status: number; headers: IncomingHttpHeaders; body: string}
		| BrokenExchange;

const toError = (reason: unknown): Error => reason instanceof Error ? reason : new Error(String(reason));

/** Sends the request once. Aborts any attempt of the dispatcher to send it again. */
export const exchange = async (dispatcher: Dispatcher, request: ExchangeRequest): Promise<ExchangeEnd> => new Promise(resolve => {
	const {signal} = request;
	let isWritten = false;
	let status = 0;
	let headers: IncomingHttpHeaders = {};
	let receivedBytes = 0;
	const chunks: Uint8Array[] = [];
	let controller: Dispatcher.DispatchController | undefined;

	const onAbort = () => {
		controller?.abort(toError(signal.reason));
		if (!controller) {
			finish({
				kind: 'broken', isWritten: false, isAborted: true, error: toError(signal.reason),
			});
		}
	};

	const finish = (end: ExchangeEnd) => {
		signal.removeEventListener('abort', onAbort);
		resolve(end);
	};

	if (signal.aborted) {
		finish({
			kind: 'broken', isWritten: false, isAborted: true, error: toError(signal.reason),
		});
		return;
	}

	signal.addEventListener('abort', onAbort, {once: true});
	const {path, method, body} = request;
	dispatcher.dispatch({
		path, method, headers: request.headers, body,
	}, {
		onRequestStart(dispatchController) {
			if (signal.aborted || isWritten) {
				dispatchController.abort(toError(signal.reason));
				return;
			}

			controller = dispatchController;
			isWritten = true;
		},
		onResponseStart(_controller, statusCode, responseHeaders) {
			status = statusCode;
			headers = responseHeaders;
		},
		onResponseData(dispatchController, chunk) {
			receivedBytes += chunk.length;
			if (receivedBytes > request.maxResponseBytes) {
				dispatchController.abort(new Error(`the answer is larger than ${request.maxResponseBytes} bytes`));
				return;
			}

			chunks.push(chunk);
		},
		onResponseEnd() {
			finish({
				kind: 'answered', status, headers, body: Buffer.concat(chunks).toString('utf8'),
			});
		},
		onResponseError(_controller, error) {
			finish({
				kind: 'broken', isWritten, isAborted: signal.aborted, error,
			});
		},
	});
});
