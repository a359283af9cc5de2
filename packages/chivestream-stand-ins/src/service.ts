/** HTTP plumbing that every stand-in shares: listening, JSON bodies, routes and closing. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {type Server as TcpServer} from 'node:net';
import polka from 'polka';
import {ZodError} from 'zod';

/** A request with what the router found in its path. */
export type RoutedRequest = IncomingMessage & {
	params: Record<string, string | string[]>;
	query: Record<string, unknown>;
};

/** Serves one route. What it throws becomes `400` for invalid input and `500` otherwise. */
export type RouteHandler = (request: RoutedRequest, response: ServerResponse) => void | Promise<void>;

const methods = ['get', 'post', 'put', 'delete'] as const;

type Method = (typeof methods)[number];

/** Routes by `METHOD /path`, with `:name` for a parameter. */
export type Routes = Partial<Record<`${Uppercase<Method>} ${string}`, RouteHandler>>;

/** A listening stand-in. */
export type Service = {
	/** `ip:port` it is bound to. */
	address: string;
	/** Connections open now. */
	connections: () => number;
	/** Most connections open at once so far. */
	mostConnections: () => number;
	closeIdleConnections: () => void;
	/** Ends every connection and stops listening. */
	close: () => Promise<void>;
};

/** Where to listen, and how many connections to accept at once. */
export type ServiceOptions = {
	/** `ip:port`; port 0 lets the system choose. */
	listen: string;
	maxConnections?: number;
};

/** Address used when none is given: any free port on loopback. */
export const anyLoopbackAddress = '127.0.0.1:0';

/** Host and port of an `ip:port` text. */
export const parseAddress = (address: string): {host: string; port: number} => {
	const {hostname, port} = new URL(`tcp://${address}`);
	return {host: hostname, port: Number(port)};
};

/** The `ip:port` that a server got, once it listens. */
export const boundAddress = async (server: TcpServer): Promise<string> => {
	if (!server.listening) {
		await once(server, 'listening');
	}

	const address = server.address();
	if (address === null || typeof address === 'string') {
		throw new TypeError('the server is not bound to an IP address');
	}

	return `${address.address}:${address.port}`;
};

/** Binds a TCP server and tells the `ip:port` that it got. */
export const listenOn = async (server: TcpServer, address: string): Promise<string> => {
	server.listen(parseAddress(address));
	return boundAddress(server);
};

/** Answers with a JSON body. */
export const sendJson = (response: ServerResponse, status: number, body: unknown, headers: Record<string, string> = {}): void => {
	const text = JSON.stringify(body);
	response.writeHead(status, {
		'content-type': 'application/json',
		'content-length': Buffer.byteLength(text),
		...headers,
	});
	response.end(text);
};

const readText = async (request: IncomingMessage): Promise<string> => new Promise((resolve, reject) => {
	let text = '';
	request.setEncoding('utf8');
	request.on('data', (chunk: string) => {
		text += chunk;
	});
	request.once('end', () => {
		resolve(text);
	});
	request.once('error', reject);
});

/** Reads a whole JSON body; `null` when it is empty. */
export const readJson = async (request: IncomingMessage): Promise<unknown> => {
	const text = await readText(request);
	return text === '' ? null : JSON.parse(text);
};

/** A parameter of the path. */
export const pathParameter = (request: RoutedRequest, name: string): string => String(request.params[name]);

/** One header's value. */
export const headerValue = (request: IncomingMessage, name: string): string | undefined => {
	const value = request.headers[name];
	return Array.isArray(value) ? value[0] : value;
};

const isInvalidInput = (error: unknown): boolean => error instanceof ZodError || error instanceof SyntaxError;

const sendError = (response: ServerResponse, error: unknown): void => {
	if (response.destroyed || response.headersSent) {
		return;
	}

	const message = error instanceof Error ? error.message : String(error);
	sendJson(response, isInvalidInput(error) ? 400 : 500, {error: message});
};

const serveRoute = async (handler: RouteHandler, request: RoutedRequest, response: ServerResponse): Promise<void> => {
	try {
		await handler(request, response);
	} catch (error) {
		sendError(response, error);
	}
};

const addRoute = (router: polka.Polka, route: string, handler: RouteHandler) => {
	const [methodName, path = '/'] = route.split(' ', 2);
	const method = methods.find(name => name === methodName?.toLowerCase());
	if (!method) {
		throw new TypeError(`unknown method in the route ${route}`);
	}

	router[method](path, (request, response) => {
		void serveRoute(handler, request, response);
	});
};

/** Starts an HTTP server for the given routes. */
export const startService = async (routes: Routes, options: ServiceOptions): Promise<Service> => {
	const server = createServer();
	const router = polka({server});
	for (const [route, handler] of Object.entries(routes)) {
		if (handler) {
			addRoute(router, route, handler);
		}
	}

	if (options.maxConnections !== undefined) {
		server.maxConnections = options.maxConnections;
	}

	let open = 0;
	let most = 0;
	server.on('connection', socket => {
		open++;
		most = Math.max(most, open);
		socket.once('close', () => {
			open--;
		});
	});

	const {host, port} = parseAddress(options.listen);
	router.listen(port, host);
	const address = await boundAddress(server);
	return {
		address,
		connections: () => open,
		mostConnections: () => most,
		closeIdleConnections() {
			server.closeIdleConnections();
		},
		async close() {
			const closed = once(server, 'close');
			server.close();
			server.closeAllConnections();
			await closed;
		},
	};
};
