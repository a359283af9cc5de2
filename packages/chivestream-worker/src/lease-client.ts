/** Client for the lease, usage and task control endpoints of one worker, over a connection separate from that for tasks. */
import {
	type Clock, Failure, failureCode, type Worker,
} from 'chivestream-core';
import {Err, Ok, type Result} from 'ts-results-es';
import {Pool} from 'undici';
import {z} from 'zod';

/** A share of a worker's capacity. */
export type Share = {
	cores: number;
	memoryMb: number;
	accelerators: number;
};

/** A lease as granted by the worker. */
export type GrantedLease = {
	leaseId: string;
	/** Fencing token, which increases with each lease. The worker refuses tasks and renewals that carry an older one. */
	fence: number;
	/** When the lease expires, in milliseconds since the Unix epoch by the worker's clock. */
	deadline: number;
};

/** Capacity in use as reported by the worker; the figures lag behind its actual use. */
export type Usage = Share & {
	/** When the figures were taken, in milliseconds since the Unix epoch. */
	at: number;
	/** Number of running tasks. */
	tasks: number;
};

/** Control actions on a running task. */
export const taskControl = {
	checkpoint: 'checkpoint',
	throttle: 'throttle',
	stop: 'stop',
} as const;

/** Client of one worker's leases, usage and task controls. Deadlines are in milliseconds since the Unix epoch. */
export type LeaseClient = {
	/** Requests a lease until a deadline. Fails with `over-quota` if the worker lacks free capacity for it. */
	acquire: (share: Share, deadline: number) => Promise<Result<GrantedLease, Failure>>;
	/** Renews a lease until a deadline. Fails with `conflict` if the lease has expired or its fencing token is outdated. */
	renew: (lease: GrantedLease, deadline: number) => Promise<Result<GrantedLease, Failure>>;
	release: (lease: GrantedLease) => Promise<Result<void, Failure>>;
	usage: () => Promise<Result<Usage, Failure>>;
	/** Applies an action to the running task of an attempt. Returns whether such a task was running. */
	control: (action: keyof typeof taskControl, attempt: string, options?: Record<string, unknown>) => Promise<Result<boolean, Failure>>;
	close: () => Promise<void>;
};

/** Dependencies and settings of a lease client. */
export type LeaseClientOptions = {
	worker: Pick<Worker, 'id' | 'address'>;
	/** The entry host incarnation that holds the leases. */
	holder: string;
	clock: Clock;
	/** Timeout of one request in milliseconds. */
	requestMs: number;
};

type WorkerRequest<Schema extends z.ZodType> = {
	method: 'GET' | 'POST' | 'PUT' | 'DELETE';
	path: string;
	body?: unknown;
	step: string;
	schema: Schema;
	/** Failure codes of expected refusals by HTTP status; other error statuses are protocol errors. */
	refusals?: Record<number, Failure['code']>;
};

const firstErrorStatus = 300;
const conflictStatus = 409;
const notFoundStatus = 404;

const leaseSchema = z.object({leaseId: z.string(), fence: z.int(), deadline: z.number()});

const usageSchema = z.object({
	at: z.number(), cores: z.number(), memoryMb: z.number(), accelerators: z.number(), tasks: z.number(),
});

const parseJson = (text: string): unknown => text === '' ? undefined : JSON.parse(text) as unknown;

/** Creates a client of one worker. No connection is opened before the first request. */
export const createLeaseClient = ({worker, holder, clock, requestMs}: LeaseClientOptions): LeaseClient => {
	const pool = new Pool(`http://${worker.address}`, {connections: 1, pipelining: 1});

	const exchangeJson = async <Schema extends z.ZodType>(
		{method, path, body, step, schema, refusals = {}}: WorkerRequest<Schema>,
		signal: AbortSignal,
	): Promise<Result<z.output<Schema>, Failure>> => {
		const origin = {step, peer: worker.id};
		const response = await pool.request({
			method,
			path,
			signal,
			...(body !== undefined && {body: JSON.stringify(body), headers: {'content-type': 'application/json'}}),
		});
		const text = await response.body.text();
		if (response.statusCode >= firstErrorStatus) {
			const code = refusals[response.statusCode] ?? failureCode.protocolError;
			return new Err(new Failure(code, `refused with status ${response.statusCode}`, origin));
		}

		const parsed = schema.safeParse(parseJson(text));
		return parsed.success
			? new Ok(parsed.data)
			: new Err(new Failure(failureCode.protocolError, `the response does not match the schema: ${parsed.error.message}`, origin));
	};

	const send = async <Schema extends z.ZodType>(workerRequest: WorkerRequest<Schema>): Promise<Result<z.output<Schema>, Failure>> => {
		const controller = new AbortController();
		const timer = clock.at(clock.now() + requestMs, () => {
			controller.abort();
		});
		try {
			return await exchangeJson(workerRequest, controller.signal);
		} catch (error) {
			const code = controller.signal.aborted ? failureCode.timedOut : failureCode.connectionFailed;
			return new Err(new Failure(code, String(error), {step: workerRequest.step, peer: worker.id}, {cause: error}));
		} finally {
			timer.cancel();
		}
	};

	return {
		acquire: async (share, deadline) => send({
			method: 'POST',
			path: '/leases',
			body: {holder, ...share, deadline},
			step: 'acquire-lease',
			schema: leaseSchema,
			refusals: {[conflictStatus]: failureCode.overQuota},
		}),
		renew: async ({leaseId, fence}, deadline) => send({
			method: 'PUT',
			path: `/leases/${encodeURIComponent(leaseId)}`,
			body: {holder, fence, deadline},
			step: 'renew-lease',
			schema: leaseSchema,
			refusals: {[conflictStatus]: failureCode.conflict, [notFoundStatus]: failureCode.conflict},
		}),
		release: async ({leaseId}) => send({
			method: 'DELETE',
			path: `/leases/${encodeURIComponent(leaseId)}`,
			step: 'release-lease',
			schema: z.undefined(),
		}),
		usage: async () => send({
			method: 'GET', path: '/usage', step: 'read-usage', schema: usageSchema,
		}),
		async control(action, attempt, options) {
			const result = await send({
				method: 'POST',
				path: `/tasks/${action}`,
				body: {attempt, ...options},
				step: `${action}-task`,
				schema: z.unknown(),
				refusals: {[notFoundStatus]: failureCode.keyUnknown},
			});
			if (result.isErr() && result.error.code === failureCode.keyUnknown) {
				return new Ok(false);
			}

			return result.map(() => true);
		},
		close: async () => pool.destroy(),
	};
};
