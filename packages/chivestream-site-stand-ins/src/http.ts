/** A small HTTP server for stand-ins, with faults. */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {boundAddress} from 'chivestream-core';
import polka from 'polka';

/** How a stand-in answers. */
export const availability = {
	up: 'up',
	/** Answers nothing. */
	silent: 'silent',
	/** Answers 503 to everything. */
	busy: 'busy',
	/** Resets each connection. */
	reset: 'reset',
} as const;

/** One of the ways. */
export type Availability = (typeof availability)[keyof typeof availability];

/** A request that has been read whole. */
export type StandInRequest = {
	path: string;
	query: URLSearchParams;
	headers: IncomingMessage['headers'];
	body: Uint8Array;
};

/** An answer; undefined stays without one. */
export type StandInResponse = {
	status: number;
	body: string | Uint8Array;
} | undefined;

/** A listening stand-in. */
export type StandInServer = {
	address: string;
	/** Sets how it answers from now on. */
	setAvailability: (newAvailability: Availability) => void;
	close: () => Promise<void>;
};

const unavailableStatus = 503;
const errorStatus = 500;

/** The body of a request. */
export const readBody = async (request: IncomingMessage): Promise<Uint8Array> => {
	const chunks: Uint8Array[] = [];
	for await (const chunk of request as AsyncIterable<Uint8Array>) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
};

const send = (response: ServerResponse, answer: StandInResponse) => {
	if (answer !== undefined && !response.destroyed) {
		response.statusCode = answer.status;
		response.setHeader('content-type', 'application/json');
		response.end(answer.body);
	}
};

/** An answer of JSON. */
export const jsonResponse = (status: number, value: unknown): StandInResponse => ({status, body: JSON.stringify(value)});

/** Listens on a port of loopback, one that the system chooses unless an address is given. */
export const startStandInServer = async (handle: (request: StandInRequest) => Promise<StandInResponse>, at?: {ip: string; port: number}): Promise<StandInServer> => {
	let currentAvailability: Availability = availability.up;
	const server: Server = createServer();
	const app = polka({server});
	app.use(async (request, response) => {
		if (currentAvailability === availability.reset) {
			request.socket.resetAndDestroy();
			return;
		}

		if (currentAvailability === availability.silent) {
			return;
		}

		if (currentAvailability === availability.busy) {
			send(response, jsonResponse(unavailableStatus, {error: 'busy'}));
			return;
		}

		try {
			const url = new URL(request.url, 'http://stand-in');
			send(response, await handle({
				path: url.pathname, query: url.searchParams, headers: request.headers, body: await readBody(request),
			}));
		} catch (error) {
			send(response, jsonResponse(errorStatus, {error: String(error)}));
		}
	});
	server.on('request', (request, response) => {
		// The library's types describe the request that its own handler makes of this one.
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
		app.handler(request as never, response);
	});
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(at?.port ?? 0, at?.ip ?? '127.0.0.1', () => {
			resolve();
		});
	});
	return {
		address: boundAddress(server),
		setAvailability(newAvailability) {
			currentAvailability = newAvailability;
		},
		async close() {
			server.closeAllConnections();
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
			});
		},
	};
};
