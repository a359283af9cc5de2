/** HTTP servers and calls of the stand-ins. */
import {Buffer} from 'node:buffer';
import {createServer, request as sendRequest} from 'node:http';

/** Reads a body completely. */
export const readBody = async stream => {
	const chunks = [];
	for await (const chunk of stream) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
};

/**
 * Listens at an address. `handle` receives method, path, query, headers, body and the socket, and returns `{status, body}`;
 * undefined leaves the request without an answer.
 */
export const listen = async (ip, port, handle) => {
	const server = createServer({keepAliveTimeout: 60_000, noDelay: true}, (request, response) => {
		const answer = async () => {
			const url = new URL(request.url, 'http://stand-in');
			const result = await handle({
				method: request.method, path: url.pathname, query: url.searchParams, headers: request.headers, body: await readBody(request), socket: request.socket,
			});
			if (result !== undefined && !response.destroyed) {
				response.statusCode = result.status;
				response.setHeader('content-type', 'application/json');
				response.end(result.body instanceof Uint8Array ? result.body : JSON.stringify(result.body ?? {}));
			}
		};

		answer().catch(() => {
			response.destroy();
		});
	});
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, ip, resolve);
	});
	return {
		address: `${ip}:${server.address().port}`,
		async close() {
			server.closeAllConnections();
			await new Promise(resolve => {
				server.close(resolve);
			});
		},
	};
};

/**
 * Sends a request on a connection of its own. Resolves with `{status, body, retryAfter}`, or with `{error}` if the connection breaks or
 * no answer arrives in time. `onSocket` receives the function that closes the connection.
 */
export const call = async (address, {method, path, headers = {}, body, timeoutMs = 10_000}, onRequest = () => undefined) => new Promise(resolve => {
	const [host, port] = address.split(':');
	const payload = body === undefined ? undefined : JSON.stringify(body);
	const request = sendRequest({
		host, port, method, path, agent: false, headers: {...headers, ...(payload !== undefined && {'content-type': 'application/json', 'content-length': Buffer.byteLength(payload)})},
	});
	const timer = setTimeout(() => {
		request.destroy(new Error('no answer'));
	}, timeoutMs);
	const finish = result => {
		clearTimeout(timer);
		resolve(result);
	};

	request.on('response', response => {
		readBody(response).then(bytes => {
			let parsed;
			try {
				parsed = JSON.parse(bytes.toString('utf8'));
			} catch {
				// Answers of the platform's readiness checks have no body.
				parsed = bytes.toString('utf8');
			}

			finish({status: response.statusCode, body: parsed, retryAfter: response.headers['retry-after']});
		}, error => {
			finish({error: String(error.code ?? error.message)});
		});
	});
	request.on('error', error => {
		finish({error: String(error.code ?? error.message)});
	});
	onRequest(request);
	request.end(payload);
});
