/** Reads request bodies up to a maximum size. The timeouts of the server close the connections of slow senders. */
import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {Failure, failureCode} from 'chivestream-core';
import {Err, Ok, type Result} from 'ts-results-es';

const tooLarge = (maxBytes: number, peer: string): Failure =>
	new Failure(failureCode.tooLarge, `the body: larger than ${maxBytes} bytes; split the job`, {step: 'read-body', peer});

/**
Reads a request body as UTF-8 text. Stops reading as soon as the body exceeds `maxBytes` and returns a `tooLarge` failure. A
body that ends early is a `badRequest` failure.
*/
export const readBody = async (request: IncomingMessage, maxBytes: number): Promise<Result<string, Failure>> => {
	const peer = request.socket.remoteAddress ?? 'caller';
	if (Number(request.headers['content-length'] ?? 0) > maxBytes) {
		return Err(tooLarge(maxBytes, peer));
	}

	const chunks: Uint8Array[] = [];
	let receivedBytes = 0;
	try {
		for await (const chunk of request as AsyncIterable<Uint8Array>) {
			receivedBytes += chunk.length;
			if (receivedBytes > maxBytes) {
				return Err(tooLarge(maxBytes, peer));
			}

			chunks.push(chunk);
		}
	} catch (error) {
		const failure = new Failure(failureCode.badRequest, 'the body ended early', {step: 'read-body', peer}, {cause: error});
		return Err(failure);
	}

	return Ok(Buffer.concat(chunks).toString('utf8'));
};
