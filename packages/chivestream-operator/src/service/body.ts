/** Reads request bodies with a size limit. */
import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import {Failure, failureCode} from 'chivestream-core';

/** Reads the body as text. Throws once more than `maxBytes` bytes have been received, whatever the `content-length` header states. */
export const readBody = async (request: IncomingMessage, maxBytes: number): Promise<string> => {
	const chunks: Uint8Array[] = [];
	let size = 0;
	const parts: AsyncIterable<Uint8Array> = request;
	for await (const chunk of parts) {
		size += chunk.length;
		if (size > maxBytes) {
			throw new Failure(
				failureCode.tooLarge,
				`the body is larger than ${maxBytes} bytes`,
				{step: 'read-body', peer: request.socket.remoteAddress ?? 'operator'},
			);
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString('utf8');
};
