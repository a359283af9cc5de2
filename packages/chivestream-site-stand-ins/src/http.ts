/** HTTP server of the stand-ins, with fault injection. */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {boundAddress} from 'chivestream-core';
import polka from 'polka';

/** Availability of a stand-in. */
export const availability = {
	up: 'up',
	/** Accepts requests and never responds. */
	silent: 'silent',
	/** Responds to every request with status 503. */
	busy: 'busy',
	/** Resets the connection of each request. */
	reset: 'reset',
} as const;

/** One of the kinds of availability. */
export type Availability = (typeof availability)[keyof typeof availability];

/** A request with its complete body. */
export type StandInRequest = {
	path: string;
	query: URLSearchParams;
	headers: IncomingMessage['headers'];
	body: Uint8Array;
};

/** A response; undefined sends none and leaves the request open. */
export type StandInResponse = {
	status: number;
	body: string | Uint8Array;
} | undefined;

/** A listening server of a stand-in. */
export type StandInServer = {
	/** `ip:port` at which it listens. */
	address: string;
	/** Changes its availability for subsequent requests. */
	setAvailability: (newAvailability: Availability) => void;
	close: () => Promise<void>;
};

const unavailableStatus = 503;
const errorStatus = 500;

/** Reads the complete body of a request. */
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

/** Creates a JSON response. */
export const jsonResponse = (status: number, value: unknown): StandInResponse => ({status, body: JSON.stringify(value)});

/** Starts a server at the given address, or on a free port of 127.0.0.1. */
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
		// Polka's types describe its extended request, which its handler creates from the plain one passed here.
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
