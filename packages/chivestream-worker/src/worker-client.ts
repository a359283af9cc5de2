/** Runs attempts on workers under leases, with one set of leases and one connection pool per worker. */
import {
	type AttemptIdentity,
	attemptOutcome,
	type AttemptResult,
	type Clock,
	type Failure,
	formatAttempt,
	type Logger,
	silentLogger,
} from 'chivestream-core';
import {exchange, classifyExchange} from 'chivestream-minion';
import {Pool} from 'undici';
import {createLeaseClient, type LeaseClient, type Share} from './lease-client.js';
import {
	createLeases, type HeldLease, type Leases, type LeasesOptions, type Reservation,
} from './leases.js';

/** One attempt to run a task on a worker. */
export type WorkerAttempt = {
	identity: AttemptIdentity;
	/** `ip:port` of the worker. */
	address: string;
	workerId: string;
	payload: unknown;
	/** Declared run time of the task in milliseconds. */
	declaredMs: number;
	/** Capacity that the task occupies while it runs. */
	size: Share;
	/** HTTP statuses which mean that the task did not start, in addition to 409 for a refused lease. */
	notStartedStatuses: readonly number[];
	/** Aborted once the result of the attempt is no longer needed. */
	signal: AbortSignal;
};

/** Runs attempts on workers. */
export type WorkerClient = {
	/** Runs an attempt on its worker under a lease. Returns `notStarted` with the reason if no lease was granted. */
	runOnWorker: (attempt: WorkerAttempt) => Promise<AttemptResult>;
	/** Client of one worker's leases, usage and task controls. */
	leaseClient: (worker: {id: string; address: string}) => LeaseClient;
	/** Leases currently held on the worker at this address. */
	heldLeases: (address: string) => readonly HeldLease[];
	/** Releases the leases on workers that are no longer declared and closes their connections. */
	closeUndeclared: (addresses: ReadonlySet<string>) => Promise<void>;
	/** Releases every lease and closes every connection. */
	close: () => Promise<void>;
};

/** Dependencies and settings of a worker client; durations are in milliseconds. */
export type WorkerClientOptions = {
	/** The entry host incarnation that holds the leases. */
	holder: string;
	clock: Clock;
	logger?: Logger;
	/** Maximum number of connections for tasks to each worker. */
	connections?: number;
	/** Timeout of requests about leases, usage and task controls; tasks have none. */
	requestMs?: number;
	maxResponseBytes?: number;
	/** Smallest share to request first when a lease is acquired, so that several tasks fit under it. */
	minimumShare?: Share;
	/** Requested duration of a lease, counted from each grant or renewal request. */
	leaseMs?: number;
	/** A lease without tasks is released after this time. */
	idleMs?: number;
	/** Whether a task may be sent under a lease; by default only until shortly before its deadline. */
	isUsable?: LeasesOptions['isUsable'];
};

/** Lease client, leases and connection pool for tasks of one worker. */
type WorkerLink = {
	client: LeaseClient;
	leases: Leases;
	pool: Pool;
};

const defaults = {
	connections: 32,
	requestMs: 1000,
	maxResponseBytes: 1_048_576,
	minimumShare: {cores: 4, memoryMb: 4096, accelerators: 0},
	leaseMs: 10_000,
	idleMs: 5000,
} as const;

const noTimeoutMs = 0;
const conflictStatus = 409;

/** Creates a worker client. It connects to each worker on the first use of its address. */
export const createWorkerClient = (options: WorkerClientOptions): WorkerClient => {
	const {clock, holder, logger = silentLogger} = options;
	const settings = {...defaults, ...options};
	const links = new Map<string, WorkerLink>();

	const createLink = (worker: {id: string; address: string}): WorkerLink => {
		const client = createLeaseClient({
			worker, holder, clock, requestMs: settings.requestMs,
		});
		const leases = createLeases({
			client,
			clock,
			logger,
			minimumShare: settings.minimumShare,
			leaseMs: settings.leaseMs,
			idleMs: settings.idleMs,
			isUsable: options.isUsable,
		});
		const pool = new Pool(`http://${worker.address}`, {
			connections: settings.connections, pipelining: 1, headersTimeout: noTimeoutMs, bodyTimeout: noTimeoutMs,
		});
		return {client, leases, pool};
	};

	const getOrCreateLink = (worker: {id: string; address: string}): WorkerLink => {
		const link = links.get(worker.address) ?? createLink(worker);
		links.set(worker.address, link);
		return link;
	};

	const closeLink = async ({client, leases, pool}: WorkerLink): Promise<void> => {
		await leases.close();
		await Promise.all([client.close(), pool.close()]);
	};

	/** Sends the task under the lease. If the worker refuses the lease, the lease is discarded and the task did not start. */
	const sendTask = async (attempt: WorkerAttempt, {lease, discardLease}: Reservation, pool: Pool): Promise<AttemptResult> => {
		const exchangeEnd = await exchange(pool, {
			path: `/leases/${encodeURIComponent(lease.leaseId)}/tasks`,
			method: 'POST',
			headers: {
				'content-type': 'application/json',
				'chivestream-attempt': formatAttempt(attempt.identity),
				'chivestream-fence': String(lease.fence),
				'chivestream-declared-ms': String(attempt.declaredMs),
			},
			body: JSON.stringify(attempt.payload ?? null),
			maxResponseBytes: settings.maxResponseBytes,
			signal: attempt.signal,
		});
		if (exchangeEnd.kind === 'answered' && exchangeEnd.status === conflictStatus) {
			discardLease();
		}

		return classifyExchange(exchangeEnd, {
			identity: attempt.identity,
			minionId: attempt.workerId,
			notStartedStatuses: [...attempt.notStartedStatuses, conflictStatus],
		});
	};

	const notStarted = (failure: Failure): AttemptResult => ({outcome: attemptOutcome.notStarted, failure});

	return {
		async runOnWorker(attempt) {
			const {leases, pool} = getOrCreateLink({id: attempt.workerId, address: attempt.address});
			const reservation = await leases.reserve(attempt.size);
			if (reservation.isErr()) {
				return notStarted(reservation.error);
			}

			try {
				return await sendTask(attempt, reservation.value, pool);
			} finally {
				reservation.value.release();
			}
		},
		leaseClient: worker => getOrCreateLink(worker).client,
		heldLeases: address => links.get(address)?.leases.held() ?? [],
		async closeUndeclared(addresses) {
			const obsolete = [...links].filter(([address]) => !addresses.has(address));
			for (const [address] of obsolete) {
				links.delete(address);
			}

			await Promise.all(obsolete.map(async ([, link]) => closeLink(link)));
		},
		async close() {
			await Promise.all([...links.values()].map(async link => closeLink(link)));
			links.clear();
		},
	};
};
