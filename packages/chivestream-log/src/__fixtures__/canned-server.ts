/** An HTTP server with canned responses, for tests of the platform's clients. */
import {once} from 'node:events';
import {createServer, type IncomingMessage} from 'node:http';
import {type AddressInfo} from 'node:net';

/** A response; without a status the server sends none. */
export type CannedAnswer = {
	status?: number;
	body?: string;
};

/** A request that the server has received. */
export type ReceivedRequest = {
	method: string;
	url: string;
	body: string;
};

const readBody = async (request: IncomingMessage): Promise<string> => {
	let body = '';
	for await (const chunk of request) {
		body += String(chunk);
	}

	return body;
};

/** Starts a server on a free port. Its responses are the results of `answer`. */
export const startCannedServer = async (answer: (request: ReceivedRequest) => CannedAnswer) => {
	const receivedRequests: ReceivedRequest[] = [];
	const server = createServer(async (request, response) => {
		const body = await readBody(request);
		const receivedRequest = {method: request.method ?? '', url: request.url ?? '', body};
		receivedRequests.push(receivedRequest);
		const canned = answer(receivedRequest);
		if (canned.status !== undefined) {
			response.writeHead(canned.status, {'content-type': 'application/json'}).end(canned.body);
		}
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const {port} = server.address() as AddressInfo;
	return {
		url: `http://127.0.0.1:${port}`,
		receivedRequests,
		async close() {
			server.closeAllConnections();
			server.close();
			await once(server, 'close');
		},
	};
};
