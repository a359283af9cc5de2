/** The HTTP service for callers: jobs in, whole answers out. */
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
import {statusOf} from './status.js';
import {parseJob} from './validation.js';

/** What the entry host does for callers. */
export type CallerHandlers = {
	submit: (job: Job) => Promise<JobAnswer>;
	/** What is known of a key, waiting for a running job until the deadline. */
	fetch: (key: string, waitDeadline: number) => Promise<KeyStatus>;
	cancel: (key: string) => Promise<KeyStatus>;
	/** The token for new keys of this host; undefined while it takes no new ones. */
	homeToken: () => string | undefined;
	isReady: () => boolean;
	/** Version of the configuration in force; undefined while there is none. */
	configurationVersion: () => number | undefined;
	/** Whether the version, or a later one, comes into force before the deadline. */
	reachVersion: (version: number, deadline: number) => Promise<boolean>;
	/** Metrics in the Prometheus text format. */
	metrics: () => Promise<string>;
};

/** Where and within which bounds the service listens. */
export type CallerServiceOptions = {
	host: string;
	port: number;
	maxBodyBytes: number;
	/** How long a request's headers and body may take to arrive. */
	requestTimeoutMs: number;
	/** How long an idle connection stays open. */
	keepAliveTimeoutMs: number;
	maxConnections: number;
	now: () => number;
	tls?: TlsOptions;
};

/** A running service. */
export type CallerService = {
	address: string;
	/** Takes no new connection and resolves once every running request has its answer. */
	close: () => Promise<void>;
};

const homeHeader = 'chivestream-home';
const configurationHeader = 'chivestream-configuration';
const longestWaitMs = 60_000;
const reachVersionMs = 2000;

type RoutedRequest = IncomingMessage & {params: {key?: unknown}};

type Handler = (request: IncomingMessage, response: ServerResponse, key: string) => Promise<void>;

const send = (response: ServerResponse, status: number, body: unknown): void => {
	if (response.writableEnded || response.destroyed) {
		return;
	}

	response.statusCode = status;
	response.setHeader('content-type', 'application/json');
	response.end(JSON.stringify(body));
};

const answerStatus = (answer: JobAnswer): number => answer.state === 'complete' ? 200 : statusOf(answer.failure.code);

const sendStatus = (response: ServerResponse, key: string, status: KeyStatus): void => {
	if (status.kind === 'answered') {
		send(response, answerStatus(status.answer), status.answer);
		return;
	}

	if (status.kind === 'running') {
		send(response, 202, {key, state: 'running'});
		return;
	}

	const failure = new Failure(failureCode.keyUnknown, 'no host that answered knows this key', {step: 'fetch', peer: key});
	send(response, 404, createFailedAnswer(key, failure, false, notRunCounts(0)));
};

const sendFailure = (response: ServerResponse, failure: Failure, notRun: boolean): void => {
	if (failure.code === failureCode.tooLarge) {
		response.setHeader('connection', 'close');
	}

	send(response, statusOf(failure.code), createFailedAnswer('', failure, notRun, notRunCounts(0)));
};

const waitDeadlineOf = (request: IncomingMessage, now: number): number => {
	const url = new URL(request.url ?? '/', 'http://caller');
	const waitMs = Number(url.searchParams.get('waitMs') ?? 0);
	return now + Math.min(Math.max(0, Number.isFinite(waitMs) ? waitMs : 0), longestWaitMs);
};

const createRoutes = (handlers: CallerHandlers, options: CallerServiceOptions): Record<string, Handler> => ({
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
		send(response, answerStatus(answer), answer);
	},
	async fetch(request, response, key) {
		const waitDeadline = waitDeadlineOf(request, options.now());
		sendStatus(response, key, await handlers.fetch(key, waitDeadline));
	},
	async cancel(_request, response, key) {
		sendStatus(response, key, await handlers.cancel(key));
	},
	async home(_request, response) {
		const home = handlers.homeToken();
		if (home === undefined) {
			const failure = new Failure(failureCode.notReady, 'this host takes no new jobs; ask another', {step: 'home', peer: 'caller'});
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

/** Starts the service; resolves once it listens. */
export const startCallerService = async (handlers: CallerHandlers, options: CallerServiceOptions): Promise<CallerService> => {
	const server = createHttpServer(options);
	const app = polka({server});
	const routes = createRoutes(handlers, options);
	let isClosing = false;

	/** A caller that names the version it saw last is never served by an older one. */
	const reachSeenVersion = async (request: RoutedRequest) => {
		const seen = Number(request.headers[configurationHeader] ?? 0);
		if (seen > 0 && !await handlers.reachVersion(seen, options.now() + reachVersionMs)) {
			throw new Failure(failureCode.notReady, `this host has not reached configuration version ${seen} yet; ask another`, {step: 'reach-version', peer: 'configuration'});
		}
	};

	const setVersion = (response: ServerResponse) => {
		const version = handlers.configurationVersion();
		if (version !== undefined) {
			response.setHeader(configurationHeader, version);
		}
	};

	const handle = (route: Handler) => async (request: RoutedRequest, response: ServerResponse) => {
		const home = handlers.homeToken();
		if (home !== undefined) {
			response.setHeader(homeHeader, home);
		}

		if (isClosing || !handlers.isReady()) {
			response.setHeader('connection', 'close');
		}

		try {
			const {key} = request.params;
			await reachSeenVersion(request);
			setVersion(response);
			await route(request, response, typeof key === 'string' ? key : '');
		} catch (error) {
			sendFailure(response, toFailure(error, {step: 'serve', peer: request.socket.remoteAddress ?? 'caller'}), false);
		}
	};

	const routeOf = (name: string): Handler => {
		const route = routes[name];
		if (!route) {
			throw new RangeError(`no route ${name}`);
		}

		return route;
	};

	app.post('/v1/jobs', handle(routeOf('submit')));
	app.get('/v1/jobs/:key', handle(routeOf('fetch')));
	app.delete('/v1/jobs/:key', handle(routeOf('cancel')));
	app.get('/v1/home', handle(routeOf('home')));
	app.get('/healthz', handle(routeOf('healthz')));
	app.get('/readyz', handle(routeOf('readyz')));
	app.get('/metrics', handle(routeOf('metrics')));

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
