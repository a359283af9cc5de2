/** The operators' HTTP service of an entry host. */
import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type ServerResponse,
} from 'node:http';
import {createServer as createSecureServer} from 'node:https';
import {
	type Clock, Failure, failureCode, type Logger, silentLogger, systemClock, toFailure,
} from 'chivestream-core';
import polka from 'polka';
import {type Answer, requestSchema} from '../answers.js';
import {type DeclarationsCheck, toErrorAnswer} from '../execute/context.js';
import {executeStatement} from '../execute/statement.js';
import {gatherHistories} from '../peers/requests.js';
import {type OperatorSource} from '../source.js';
import {readBody} from './body.js';
import {httpStatusOf} from './status.js';
import {isAuthorized} from './token.js';

const defaults = {
	requestMs: 10_000,
	maxBodyBytes: 8_388_608,
} as const;

/** TLS key and certificate of the service, in PEM form. */
export type ServiceCertificate = {
	key: string;
	certificate: string;
	/** Certificate authority for client certificates. If set, every client must present a certificate that it signed. */
	authority?: string;
};

/** HTTP server of the operators' service. */
export type OperatorService = {
	/** Starts listening and resolves with the port. For port 0 the operating system chooses a free one. */
	listen: (port: number, ip: string) => Promise<number>;
	/** Stops accepting connections and resolves once the requests in progress have been answered. */
	close: () => Promise<void>;
};

const toTlsOptions = ({key, certificate, authority}: ServiceCertificate) => ({
	key,
	cert: certificate,
	...(authority !== undefined && {ca: authority, requestCert: true, rejectUnauthorized: true}),
});

/** Options of the operators' service. */
export type OperatorServiceOptions = {
	/** Bearer token that every request must contain. */
	token: string;
	checkDeclarations: DeclarationsCheck;
	clock?: Clock;
	logger?: Logger;
	/** Timeout for receiving a request and, separately, for executing it, in milliseconds. */
	requestMs?: number;
	maxBodyBytes?: number;
	/** If set, the service uses HTTPS. */
	certificate?: ServiceCertificate;
};

const send = (response: ServerResponse, status: number, body: unknown): void => {
	const text = JSON.stringify(body);
	response.writeHead(status, {'content-type': 'application/json; charset=utf-8', 'content-length': Buffer.byteLength(text)});
	response.end(text);
};

const readScope = (request: IncomingMessage): string | undefined =>
	new URL(request.url ?? '/', 'http://localhost').searchParams.get('scope') ?? undefined;

const readRequest = async (request: IncomingMessage, maxBytes: number, host: string) => {
	const text = await readBody(request, maxBytes);
	try {
		return requestSchema.parse(JSON.parse(text));
	} catch (error) {
		const detail = error instanceof Error ? error.message : String(error);
		throw new Failure(failureCode.badRequest, `the request can't be read: ${detail}`, {step: 'read-request', peer: host}, {cause: error});
	}
};

/**
Creates the operators' service without listening. `POST /v1/statements` executes one statement. `GET /v1/histograms` returns the
objective histories that all entry hosts have recorded, or with `?scope=host` only those of this host.
*/
export const createOperatorService = (source: OperatorSource, options: OperatorServiceOptions): OperatorService => {
	const {
		token, checkDeclarations, certificate, clock = systemClock, logger = silentLogger, requestMs = defaults.requestMs,
		maxBodyBytes = defaults.maxBodyBytes,
	} = options;
	const {host} = source.self;
	const server = certificate ? createSecureServer(toTlsOptions(certificate)) : createServer();
	server.requestTimeout = requestMs;
	server.headersTimeout = requestMs;

	const sendFailure = (request: IncomingMessage, response: ServerResponse, error: unknown): void => {
		const answer = toErrorAnswer(toFailure(error, {step: 'operate', peer: host}));
		if (!request.complete) {
			response.setHeader('connection', 'close');
		}

		send(response, httpStatusOf(answer), answer);
	};

	const answerStatement = async (request: IncomingMessage): Promise<Answer> => {
		const operatorRequest = await readRequest(request, maxBodyBytes, host);
		const deadline = clock.now() + requestMs;
		const answer = await executeStatement({
			source, clock, checkDeclarations, request: operatorRequest, deadline,
		});
		logger.info('statement', {
			step: 'operate', statement: operatorRequest.statement, answer: answer.kind, status: httpStatusOf(answer),
		});
		return answer;
	};

	const withErrorAnswer = (handler: (request: IncomingMessage, response: ServerResponse) => Promise<void>) =>
		async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
			try {
				await handler(request, response);
			} catch (error) {
				sendFailure(request, response, error);
			}
		};

	const authorize = (request: IncomingMessage, response: ServerResponse, next: () => void): void => {
		if (isAuthorized(request.headers.authorization, token)) {
			next();
			return;
		}

		sendFailure(request, response, new Failure(failureCode.unauthorized, 'the token is missing or wrong', {step: 'authorize', peer: host}));
	};

	const router = polka({
		server,
		onNoMatch(request, response) {
			sendFailure(request, response, new Failure(failureCode.keyUnknown, `there is no ${request.method} ${request.path}`, {step: 'route', peer: host}));
		},
	})
		.use(authorize)
		.post('/v1/statements', withErrorAnswer(async (request, response) => {
			const answer = await answerStatement(request);
			send(response, httpStatusOf(answer), answer);
		}))
		.get('/v1/histograms', withErrorAnswer(async (request, response) => {
			const histories = readScope(request) === 'host'
				? {items: [source.localHistory()], missing: []}
				: await gatherHistories(source, clock.now() + requestMs, clock);
			send(response, 200, {kind: 'histograms', hosts: histories.items, missing: histories.missing});
		}));

	return {
		async listen(port, ip) {
			await new Promise<void>((resolve, reject) => {
				server.once('error', reject);
				router.listen(port, ip, resolve);
			});
			const address = server.address();
			return typeof address === 'object' && address !== null ? address.port : port;
		},
		async close() {
			await new Promise<void>(resolve => {
				server.close(() => {
					resolve();
				});
				server.closeIdleConnections();
			});
		},
	};
};
