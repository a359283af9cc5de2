/** The HTTP service for callers. */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {
	criticalPathMs, outcomeKind, type JobRequest, type Outcome,
} from 'chivestream-dispatch';
import {
	readCallerTimeoutMs, decodeJob, encodeJobState, encodeQueueStatus, callerJobState, type CallerJobState, type DeclaredJob, type Declarations, type Route,
} from 'chivestream-platform';
import polka from 'polka';
import {type Report} from './host-log.js';
import {cancelResult, type CancelResult} from './job-cancellation.js';
import {type PendingJob} from './job-client.js';

/** Dependencies and callbacks of the service. */
export type CallerServiceOptions = {
	/** The monotonic clock, in milliseconds. */
	now: () => number;
	report: Report;
	declarations: () => Declarations | undefined;
	runJob: (job: JobRequest) => PendingJob;
	/** Cancels a job wherever it is. */
	cancelJob: (id: string) => Promise<CancelResult>;
	/** The state of a job in progress that this host holds or dispatches, or of a recently cancelled one; undefined for any other. */
	jobState: (id: string) => CallerJobState | undefined;
	/** Number of jobs of a route that haven't started; only those at this host's dispatchers are counted. */
	pendingJobs: (route: string) => number;
	/** Whether this process has recently read its sockets late. */
	isDelayed: () => boolean;
	/** Whether the host is shutting down; connections then close after their next answer. */
	isLeaving: () => boolean;
	/** When this host closes at the latest, on the monotonic clock; undefined unless it is shutting down. */
	shutdownDeadline: () => number | undefined;
	/** Called when a job was answered, with the HTTP status and the time since its arrival, in milliseconds. */
	onAnswer: (status: number, tookMs: number) => void;
};

/** The HTTP server and its load. */
export type CallerService = {
	server: Server;
	/** Number of requests in progress. */
	inProgress: () => number;
};

const status = {
	ok: 200, badRequest: 400, notFound: 404, methodNotAllowed: 405, gone: 410, tooLarge: 413, unavailable: 503, timedOut: 504,
} as const;

const untilNextTurn = async () => new Promise<void>(resolve => {
	setImmediate(resolve);
});

/** How long idle connections of callers stay open, in milliseconds. */
const keepAliveMs = 75_000;

/** Retry delay sent to a caller whose job this host doesn't accept, in seconds. */
const notReadyRetrySeconds = 1;

/**
 * During shutdown a job is accepted only if the remaining time is at least this many times its objective, since jobs sometimes
 * miss their objective.
 */
const shutdownObjectiveFactor = 2;

const msPerSecond = 1000;

const jobIdPattern = /^[0-9a-f]{16}$/iv;

/** Finds the route of a request: among those of its host name, the one with the longest matching path prefix. */
export const findRoute = (declarations: Declarations, hostHeader: string, path: string): Route | undefined => {
	const host = hostHeader.replace(/:\d+$/v, '').toLowerCase();
	let longestMatch: Route | undefined;
	for (const route of declarations.routes) {
		if (route.host === host && path.startsWith(route.pathPrefix) && route.pathPrefix.length > (longestMatch?.pathPrefix.length ?? -1)) {
			longestMatch = route;
		}
	}

	return longestMatch;
};

/** Reads the body; undefined if it is larger than `maxBytes`. Rejects if the connection breaks. Events cost a fraction of an iterator. */
const readBody = async (request: IncomingMessage, maxBytes: number): Promise<Uint8Array | undefined> => new Promise((resolve, reject) => {
	const chunks: Uint8Array[] = [];
	let bytes = 0;
	request.on('data', (chunk: Uint8Array) => {
		bytes += chunk.length;
		if (bytes > maxBytes) {
			request.removeAllListeners('data');
			request.resume();
			resolve(undefined);
			return;
		}

		chunks.push(chunk);
	});
	request.once('end', () => {
		resolve(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks));
	});
	request.once('error', reject);
	request.once('close', () => {
		// Has no effect after the end of the body.
		reject(new Error('the connection closed before the end of the request'));
	});
});

/**
 * Combines a job with the declarations of its route. Times are in milliseconds, and `arrivedAt` is on the monotonic clock. The
 * route's timeout applies if the caller sent none.
 */
export const toJobRequest = (id: string, job: DeclaredJob, route: Route, times: {arrivedAt: number; callerTimeoutMs: number | undefined}): JobRequest => {
	const {arrivedAt, callerTimeoutMs = route.timeoutMs} = times;
	return {
		id,
		payload: job.payload,
		steps: job.steps,
		route: route.name,
		upstream: route.upstream,
		priority: route.priority,
		maxAttempts: route.maxAttempts,
		objectiveDeadline: arrivedAt + (route.stretch * criticalPathMs(job.steps)) + route.targetLatencyMs,
		deadline: arrivedAt + callerTimeoutMs,
		submission: 0,
		mayHaveRun: false,
	};
};

/** Whether the caller has ended its connection. */
const hasLeft = ({socket}: IncomingMessage): boolean => socket.destroyed || socket.readableEnded;

/** Creates the service; it doesn't listen yet. */
export const createCallerService = (options: CallerServiceOptions): CallerService => {
	let inProgress = 0;

	const answer = (response: ServerResponse, code: number, body: string, retryAfterSeconds?: number) => {
		if (response.headersSent || response.destroyed) {
			return;
		}

		response.statusCode = code;
		response.setHeader('content-type', 'application/json');
		response.setHeader('content-length', Buffer.byteLength(body));
		if (retryAfterSeconds !== undefined) {
			response.setHeader('retry-after', String(retryAfterSeconds));
		}

		if (options.isLeaving()) {
			response.setHeader('connection', 'close');
		}

		response.end(body);
	};

	const answerError = (response: ServerResponse, code: number, message: string, retryAfterSeconds?: number) => {
		answer(response, code, JSON.stringify({error: message}), retryAfterSeconds);
	};

	const answerOutcome = (response: ServerResponse, outcome: Outcome) => {
		switch (outcome.kind) {
			case outcomeKind.completed: {
				answer(response, status.ok, encodeJobState(callerJobState.completed));
				break;
			}

			case outcomeKind.failed: {
				answer(response, status.ok, encodeJobState(callerJobState.failed));
				break;
			}

			case outcomeKind.refused: {
				const seconds = Math.max(1, Math.ceil(outcome.retryAfterMs / msPerSecond));
				answerError(response, status.unavailable, `not run: ${outcome.reason}`, seconds);
				break;
			}

			case outcomeKind.abandoned: {
				answerError(response, status.timedOut, `given up, may have run: ${outcome.reason}`);
				break;
			}

			case outcomeKind.cancelled: {
				answer(response, status.ok, encodeJobState(callerJobState.cancelled));
				break;
			}

			case outcomeKind.redirected:
			case outcomeKind.released: {
				answerError(response, status.timedOut, 'given up, may have run');
			}
		}
	};

	const submit = async (request: IncomingMessage, response: ServerResponse, route: Route, id: string) => {
		const arrivedAt = options.now();
		const body = await readBody(request, options.declarations()?.maxBodyBytes ?? 0);
		if (body === undefined) {
			// The rest of the body is not read.
			response.setHeader('connection', 'close');
			answerError(response, status.tooLarge, 'the body is too large');
			return;
		}

		const job = decodeJob(body);
		if (job === undefined) {
			answerError(response, status.badRequest, 'the body is no job');
			return;
		}

		const unsupported = route.needsAdvice ? 'a queue whose minions an outside service chooses' : job.unsupportedFeature;
		if (unsupported !== undefined) {
			answerError(response, status.unavailable, `not run: ${unsupported} can't be carried out`, notReadyRetrySeconds);
			return;
		}

		if (options.isDelayed()) {
			// The end of the connection may lie in the socket behind the request. It is read in the second turn of the event loop from here.
			await untilNextTurn();
			await untilNextTurn();
		}

		if (hasLeft(request)) {
			options.report('caller-left', {job: id, afterMs: Math.round(options.now() - arrivedAt)});
			return;
		}

		const callerTimeoutMs = readCallerTimeoutMs(request.headers);
		const jobRequest = toJobRequest(id, job, route, {arrivedAt, callerTimeoutMs});
		const shutdownDeadline = options.shutdownDeadline();
		if (shutdownDeadline !== undefined && arrivedAt + (shutdownObjectiveFactor * (jobRequest.objectiveDeadline - arrivedAt)) > shutdownDeadline) {
			options.report('job-answered', {
				job: id, route: route.name, outcome: outcomeKind.refused, reason: 'the host is leaving',
			});
			answerError(response, status.unavailable, 'not run: the host is leaving', notReadyRetrySeconds);
			return;
		}

		const pending = options.runJob(jobRequest);
		response.on('close', () => {
			if (!response.writableEnded) {
				options.report('caller-left', {job: id, afterMs: Math.round(options.now() - arrivedAt)});
				pending.cancel();
			}
		});
		const outcome = await pending.outcome;
		const tookMs = options.now() - arrivedAt;
		options.report('job-answered', {
			job: id,
			route: route.name,
			version: options.declarations()?.version,
			outcome: outcome.kind,
			...('reason' in outcome && {reason: outcome.reason}),
			tookMs: Math.round(tookMs),
			objectiveMs: Math.round(jobRequest.objectiveDeadline - arrivedAt),
			deadlineMs: Math.round(jobRequest.deadline - arrivedAt),
			tasks: job.steps.reduce((sum, step) => sum + step.count, 0),
		});
		answerOutcome(response, outcome);
		options.onAnswer(response.statusCode, tookMs);
	};

	const cancel = async (response: ServerResponse, id: string) => {
		switch (await options.cancelJob(id)) {
			case cancelResult.cancelled: {
				answer(response, status.ok, encodeJobState(callerJobState.cancelled));
				break;
			}

			case cancelResult.unknown: {
				answerError(response, status.gone, 'no such job');
				break;
			}

			case cancelResult.unsettled: {
				answerError(response, status.unavailable, 'not known to be cancelled: some host has not answered', notReadyRetrySeconds);
			}
		}
	};

	const handle = async (request: IncomingMessage, response: ServerResponse) => {
		const declarations = options.declarations();
		if (declarations === undefined) {
			answerError(response, status.unavailable, 'not run: no declarations yet', notReadyRetrySeconds);
			return;
		}

		const path = (request.url ?? '/').replace(/\?.*$/v, '');
		const route = findRoute(declarations, request.headers.host ?? '', path);
		if (route === undefined) {
			answerError(response, status.notFound, 'no such route');
			return;
		}

		const subpath = path.slice(route.pathPrefix.length);
		if (request.method === 'GET' && subpath === '') {
			answer(response, status.ok, encodeQueueStatus(options.pendingJobs(route.name)));
			return;
		}

		if (!jobIdPattern.test(subpath)) {
			answerError(response, status.notFound, 'no such job');
			return;
		}

		const {method = ''} = request;
		switch (method) {
			case 'POST': {
				await submit(request, response, route, subpath);
				break;
			}

			case 'DELETE': {
				await cancel(response, subpath);
				break;
			}

			case 'GET': {
				// Once it has ended, its outcome has been sent to the caller that submitted it, and nobody asks for it later.
				const state = options.jobState(subpath);
				if (state === undefined) {
					answerError(response, status.gone, 'no such job');
				} else {
					answer(response, status.ok, encodeJobState(state));
				}

				break;
			}

			default: {
				answerError(response, status.methodNotAllowed, 'no such method');
			}
		}
	};

	const server = createServer({keepAliveTimeout: keepAliveMs, requestTimeout: 0, noDelay: true});
	const app = polka({server});
	app.use((request, response) => {
		inProgress += 1;
		response.once('close', () => {
			inProgress -= 1;
		});
		handle(request, response).catch((error: unknown) => {
			// The caller's connection broke while its request was read.
			options.report('request-broken', {reason: String(error)});
			response.destroy();
		});
	});
	server.on('request', (request, response) => {
		// The library's types describe the request after its own handler has extended it.
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
		app.handler(request as never, response);
	});
	return {server, inProgress: () => inProgress};
};
