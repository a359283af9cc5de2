/** GRPC client of one other entry host. Every call has an absolute deadline and returns a result or a `PeerFailure`. */
import {Metadata, type MethodDefinition, type ServiceError} from '@grpc/grpc-js';
import {
	failureCode, type Configuration, type Job, type JobAnswer,
} from 'chivestream-core';
import {Err, Ok, type Result} from 'ts-results-es';
import {createConnection} from './connection.js';
import {failureCodeOfStatus, readFailure} from './failure-metadata.js';
import {PeerService, type HeartbeatMessage} from './generated/peer.js';
import {
	decodeJson, decodeOptionalJson, decodeText, encodeJson, encodeText, isConfiguration, isJobAnswer,
} from './json-bytes.js';
import {delivery, PeerFailure} from './peer-failure.js';

/** Time for the reply to a fetch to arrive after its wait deadline. */
const fetchGraceMs = 500;

/** The reply to a call, or a failure with the delivery state of the request. */
export type PeerResult<Value> = Promise<Result<Value, PeerFailure>>;

/** Calls to one entry host. Deadlines are milliseconds since the Unix epoch. */
export type PeerClient = {
	address: string;
	heartbeat: (request: HeartbeatMessage, deadline: number) => PeerResult<HeartbeatMessage>;
	/** Submits a job to its home host. The default deadline is the one of the job. */
	submit: (job: Job, deadline?: number) => PeerResult<JobAnswer>;
	/** Returns the answer to a key; undefined if the key is unknown on the host. Waits for a running job until `waitDeadline`. */
	fetch: (key: string, waitDeadline: number) => PeerResult<JobAnswer | undefined>;
	/** Cancels the job of a key and returns its answer; undefined if the key is unknown on the host. */
	cancel: (key: string, deadline: number) => PeerResult<JobAnswer | undefined>;
	/** Requests slots. Demand and grants are JSON text. */
	lend: (borrowerId: string, demand: string, deadline: number) => PeerResult<string>;
	/** Returns grants, as JSON text, to the lender. */
	reclaim: (borrowerId: string, grants: string, deadline: number) => PeerResult<void>;
	/** Returns the configuration in force on the host; undefined while it has none. */
	readConfiguration: (deadline: number) => PeerResult<Configuration | undefined>;
	/** Sends an operator request, as JSON text, and returns the JSON text of the reply. */
	query: (request: string, deadline: number) => PeerResult<string>;
	/** Closes the connection. Calls in flight continue until their own deadlines. */
	close: () => void;
};

const toPeerFailure = (error: ServiceError | undefined, step: string, address: string): PeerFailure => {
	if (!error) {
		return new PeerFailure(failureCode.protocolError, `${step}: ${address} returned no reply`, {step, peer: address, delivery: delivery.unknown});
	}

	const record = readFailure(error);
	if (record) {
		return new PeerFailure(record.code, record.message, {...record, delivery: delivery.refused}, {cause: error});
	}

	const message = `${step} on ${address} failed: ${error.details || error.message}`;
	return new PeerFailure(failureCodeOfStatus(error), message, {step, peer: address, delivery: delivery.unknown}, {cause: error});
};

const notConnected = (step: string, address: string): PeerFailure => new PeerFailure(
	failureCode.connectionFailed,
	`${step}: no connection to ${address}`,
	{step, peer: address, delivery: delivery.none},
);

/** Creates a client of the entry host at `ip:port`. It has a connection that is not shared. */
export const createPeerClient = (address: string): PeerClient => {
	const connection = createConnection(address);

	const call = async <Request, Reply>(
		step: string,
		method: MethodDefinition<Request, Reply>,
		request: Request,
		deadline: number,
	): PeerResult<Reply> => {
		const client = await connection.ready(deadline);
		if (!client) {
			return new Err(notConnected(step, address));
		}

		const {path, requestSerialize, responseDeserialize} = method;
		const options = {deadline: new Date(deadline)};
		return new Promise(resolve => {
			client.makeUnaryRequest(path, requestSerialize, responseDeserialize, request, new Metadata(), options, (error, reply) => {
				if (reply === undefined) {
					resolve(new Err(toPeerFailure(error ?? undefined, step, address)));
					return;
				}

				resolve(new Ok(reply));
			});
		});
	};

	return {
		address,
		heartbeat: async (request, deadline) => call('heartbeat', PeerService.heartbeat, request, deadline),
		async submit(job, deadline = job.deadline) {
			const reply = await call('submit', PeerService.submit, {job: encodeJson(job)}, deadline);
			return reply.map(({answer}) => decodeJson(answer, isJobAnswer));
		},
		async fetch(key, waitDeadline) {
			const reply = await call('fetch', PeerService.fetch, {key, waitDeadline}, waitDeadline + fetchGraceMs);
			return reply.map(({answer}) => decodeOptionalJson(answer, isJobAnswer));
		},
		async cancel(key, deadline) {
			const reply = await call('cancel', PeerService.cancel, {key}, deadline);
			return reply.map(({answer}) => decodeOptionalJson(answer, isJobAnswer));
		},
		async lend(borrowerId, demand, deadline) {
			const request = {borrowerId, demand: encodeText(demand)};
			const reply = await call('lend', PeerService.lend, request, deadline);
			return reply.map(({grants}) => decodeText(grants));
		},
		async reclaim(borrowerId, grants, deadline) {
			const request = {borrowerId, grants: encodeText(grants)};
			const reply = await call('reclaim', PeerService.reclaim, request, deadline);
			return reply.map(() => undefined);
		},
		async readConfiguration(deadline) {
			const reply = await call('read-configuration', PeerService.readConfiguration, {}, deadline);
			return reply.map(({configuration}) => decodeOptionalJson(configuration, isConfiguration));
		},
		async query(request, deadline) {
			const reply = await call('query', PeerService.query, {request: encodeText(request)}, deadline);
			return reply.map(message => decodeText(message.reply));
		},
		close: connection.close,
	};
};
