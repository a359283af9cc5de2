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
import {statusOf} from './status.js';
import {isAuthorized} from './token.js';

const defaults = {
	requestMs: 10_000,
	maxBodyBytes: 8_388_608,
} as const;

/** Key and certificate of the service, in PEM form. */
export type ServiceCertificate = {
	key: string;
	certificate: string;
	/** Authority of clients' certificates; where it is given, each client must show one. */
	authority?: string;
};

/** The operators' service. */
export type OperatorService = {
	/** Starts to listen; resolves with the port, which the system chooses for port 0. */
	listen: (port: number, ip: string) => Promise<number>;
	/** Takes no new connection and resolves once the requests in progress have been answered. */
	close: () => Promise<void>;
};

const toTlsOptions = ({key, certificate, authority}: ServiceCertificate) => ({
	key,
	cert: certificate,
	...(authority !== undefined && {ca: authority, requestCert: true, rejectUnauthorized: true}),
});

/** How the operators' service runs. */
export type OperatorServiceOptions = {
	/** Bearer token that every request must carry. */
	token: string;
	checkDeclarations: DeclarationsCheck;
	clock?: Clock;
	logger?: Logger;
	/** How long one statement may take, in milliseconds. */
	requestMs?: number;
	maxBodyBytes?: number;
	/** Serves HTTPS where it is given. */
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
Creates the operators' service, not yet listening. `POST /v1/statements` carries out one statement,
`GET /v1/histograms` gives what all entry hosts have recorded about their objectives, with `?scope=host` this one alone.
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

		send(response, statusOf(answer), answer);
	};

	const answerStatement = async (request: IncomingMessage): Promise<Answer> => {
		const operatorRequest = await readRequest(request, maxBodyBytes, host);
		const deadline = clock.now() + requestMs;
		const answer = await executeStatement({
			source, clock, checkDeclarations, request: operatorRequest, deadline,
		});
		logger.info('statement', {
			step: 'operate', statement: operatorRequest.statement, answer: answer.kind, status: statusOf(answer),
		});
		return answer;
	};

	const handle = (work: (request: IncomingMessage, response: ServerResponse) => Promise<void>) =>
		async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
			try {
				await work(request, response);
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
		.post('/v1/statements', handle(async (request, response) => {
			const answer = await answerStatement(request);
			send(response, statusOf(answer), answer);
		}))
		.get('/v1/histograms', handle(async (request, response) => {
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
