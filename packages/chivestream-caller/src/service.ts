/** The HTTP service for callers. It accepts jobs and responds with the complete answer of each. */
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {createServer as createTlsServer, type ServerOptions as TlsOptions} from 'node:https';
import {
	boundAddress,
	createFailedAnswer,
	Failure,
	failureCode,
	notRunCounts,
	toFailure,
	type Job,
	type JobAnswer,
	type KeyStatus,
} from 'chivestream-core';
import polka from 'polka';
import {readBody} from './body.js';
import {httpStatusOf} from './status.js';
import {parseJob} from './validation.js';

/** Operations of the entry host that the service exposes to callers. */
export type CallerHandlers = {
	submit: (job: Job) => Promise<JobAnswer>;
	/** Returns the status of a key. Waits for the answer of a running job until `waitDeadline` (milliseconds since the Unix epoch). */
	fetch: (key: string, waitDeadline: number) => Promise<KeyStatus>;
	cancel: (key: string) => Promise<KeyStatus>;
	/** Token for new keys whose home is this host; undefined while the host accepts no new keys. */
	homeToken: () => string | undefined;
	isReady: () => boolean;
	/** Version of the configuration in force; undefined while there is none. */
	configurationVersion: () => number | undefined;
	/** Resolves to whether this version or a later one comes into force before the deadline (milliseconds since the Unix epoch). */
	reachVersion: (version: number, deadline: number) => Promise<boolean>;
	/** Metrics in the Prometheus text format. */
	metrics: () => Promise<string>;
};

/** Listen address and limits of the service. */
export type CallerServiceOptions = {
	host: string;
	port: number;
	maxBodyBytes: number;
	/** Time within which a request must have arrived with its headers and body. */
	requestTimeoutMs: number;
	/** Time after which an idle connection is closed. */
	keepAliveTimeoutMs: number;
	maxConnections: number;
	/** Current time in milliseconds since the Unix epoch. */
	now: () => number;
	/** Serves HTTPS if given, otherwise plain HTTP. */
	tls?: TlsOptions;
};

/** A running caller service. */
export type CallerService = {
	/** `ip:port` on which the service listens. */
	address: string;
	/** Stops accepting connections and resolves once every running request is answered. */
	close: () => Promise<void>;
};

const homeHeader = 'chivestream-home';
const configurationHeader = 'chivestream-configuration';
const maxWaitMs = 60_000;
const reachVersionTimeoutMs = 2000;

type RoutedRequest = IncomingMessage & {params: {key?: unknown}};

type RouteHandler = (request: IncomingMessage, response: ServerResponse, key: string) => Promise<void>;

const send = (response: ServerResponse, status: number, body: unknown): void => {
	if (response.writableEnded || response.destroyed) {
		return;
	}

	response.statusCode = status;
	response.setHeader('content-type', 'application/json');
	response.end(JSON.stringify(body));
};

const httpStatusOfAnswer = (answer: JobAnswer): number => answer.state === 'complete' ? 200 : httpStatusOf(answer.failure.code);

const sendKeyStatus = (response: ServerResponse, key: string, keyStatus: KeyStatus): void => {
	if (keyStatus.kind === 'answered') {
		send(response, httpStatusOfAnswer(keyStatus.answer), keyStatus.answer);
		return;
	}

	if (keyStatus.kind === 'running') {
		send(response, 202, {key, state: 'running'});
		return;
	}

	const failure = new Failure(failureCode.keyUnknown, 'no host that answered has a record of this key', {step: 'fetch', peer: key});
	send(response, 404, createFailedAnswer(key, failure, false, notRunCounts(0)));
};

const sendFailure = (response: ServerResponse, failure: Failure, notRun: boolean): void => {
	if (failure.code === failureCode.tooLarge) {
		response.setHeader('connection', 'close');
	}

	send(response, httpStatusOf(failure.code), createFailedAnswer('', failure, notRun, notRunCounts(0)));
};

const parseWaitDeadline = (request: IncomingMessage, now: number): number => {
	const url = new URL(request.url ?? '/', 'http://caller');
	const waitMs = Number(url.searchParams.get('waitMs') ?? 0);
	return now + Math.min(Math.max(0, Number.isFinite(waitMs) ? waitMs : 0), maxWaitMs);
};

const createRoutes = (handlers: CallerHandlers, options: CallerServiceOptions): Record<string, RouteHandler> => ({
	async submit(request, response) {
		const body = await readBody(request, options.maxBodyBytes);
		if (body.isErr()) {
			sendFailure(response, body.error, true);
			return;
		}

		const job = parseJob(body.value, request.socket.remoteAddress ?? 'caller');
		if (job.isErr()) {
			sendFailure(response, job.error, true);
			return;
		}

		const answer = await handlers.submit(job.value);
		send(response, httpStatusOfAnswer(answer), answer);
	},
	async fetch(request, response, key) {
		const waitDeadline = parseWaitDeadline(request, options.now());
		sendKeyStatus(response, key, await handlers.fetch(key, waitDeadline));
	},
	async cancel(_request, response, key) {
		sendKeyStatus(response, key, await handlers.cancel(key));
	},
	async home(_request, response) {
		const home = handlers.homeToken();
		if (home === undefined) {
			const failure = new Failure(failureCode.notReady, 'this host accepts no new jobs; try another host', {step: 'home', peer: 'caller'});
			sendFailure(response, failure, true);
			return;
		}

		send(response, 200, {home});
	},
	async healthz(_request, response) {
		send(response, 200, {status: 'alive'});
	},
	async readyz(_request, response) {
		const isReady = handlers.isReady();
		send(response, isReady ? 200 : 503, {status: isReady ? 'ready' : 'not-ready'});
	},
	async metrics(_request, response) {
		response.setHeader('content-type', 'text/plain; version=0.0.4');
		response.end(await handlers.metrics());
	},
});

const createHttpServer = (options: CallerServiceOptions): Server => {
	const timeouts = {
		requestTimeout: options.requestTimeoutMs,
		headersTimeout: options.requestTimeoutMs,
		keepAliveTimeout: options.keepAliveTimeoutMs,
		connectionsCheckingInterval: Math.min(options.requestTimeoutMs, 1000),
	};
	const server = options.tls ? createTlsServer({...timeouts, ...options.tls}) : createServer(timeouts);
	server.maxConnections = options.maxConnections;
	return server;
};

/** Starts the service and resolves once it listens. Rejects if the address can't be bound. */
export const startCallerService = async (handlers: CallerHandlers, options: CallerServiceOptions): Promise<CallerService> => {
	const server = createHttpServer(options);
	const app = polka({server});
	const routes = createRoutes(handlers, options);
	let isClosing = false;

	/** Waits for the configuration version that the caller saw last, so that an older version never serves the request. */
	const waitForSeenVersion = async (request: RoutedRequest) => {
		const seenVersion = Number(request.headers[configurationHeader] ?? 0);
		if (seenVersion > 0 && !await handlers.reachVersion(seenVersion, options.now() + reachVersionTimeoutMs)) {
			throw new Failure(failureCode.notReady, `this host has not reached configuration version ${seenVersion} yet; try another host`, {step: 'reach-version', peer: 'configuration'});
		}
	};

	const setConfigurationHeader = (response: ServerResponse) => {
		const version = handlers.configurationVersion();
		if (version !== undefined) {
			response.setHeader(configurationHeader, version);
		}
	};

	const createRouteListener = (route: RouteHandler) => async (request: RoutedRequest, response: ServerResponse) => {
		const home = handlers.homeToken();
		if (home !== undefined) {
			response.setHeader(homeHeader, home);
		}

		if (isClosing || !handlers.isReady()) {
			response.setHeader('connection', 'close');
		}

		try {
			const {key} = request.params;
			await waitForSeenVersion(request);
			setConfigurationHeader(response);
			await route(request, response, typeof key === 'string' ? key : '');
		} catch (error) {
			sendFailure(response, toFailure(error, {step: 'serve', peer: request.socket.remoteAddress ?? 'caller'}), false);
		}
	};

	const requireRoute = (name: string): RouteHandler => {
		const route = routes[name];
		if (!route) {
			throw new RangeError(`no route ${name}`);
		}

		return route;
	};

	app.post('/v1/jobs', createRouteListener(requireRoute('submit')));
	app.get('/v1/jobs/:key', createRouteListener(requireRoute('fetch')));
	app.delete('/v1/jobs/:key', createRouteListener(requireRoute('cancel')));
	app.get('/v1/home', createRouteListener(requireRoute('home')));
	app.get('/healthz', createRouteListener(requireRoute('healthz')));
	app.get('/readyz', createRouteListener(requireRoute('readyz')));
	app.get('/metrics', createRouteListener(requireRoute('metrics')));

	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		app.listen(options.port, options.host, () => {
			resolve();
		});
	});

	return {
		address: boundAddress(server),
		async close() {
			isClosing = true;
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
				server.closeIdleConnections();
			});
		},
	};
};
