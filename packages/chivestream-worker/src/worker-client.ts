/** Runs attempts on workers under leases: one set of leases and one pool of connections per worker. */
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
	createLeases, type HeldLease, type Leases, type LeasesOptions, type Room,
} from './leases.js';

/** One attempt to run a task on a worker. */
export type WorkerAttempt = {
	identity: AttemptIdentity;
	/** `ip:port` of the worker. */
	address: string;
	workerId: string;
	payload: unknown;
	declaredMs: number;
	size: Share;
	/** HTTP statuses by which the worker says that the task did not start, besides 409 for a lapsed lease. */
	notStartedStatuses: readonly number[];
	/** Aborted when the attempt is of no more use. */
	signal: AbortSignal;
};

/** Runs attempts on workers. */
export type WorkerClient = {
	runOnWorker: (attempt: WorkerAttempt) => Promise<AttemptResult>;
	/** Client of a worker's leases, usage and task controls. */
	leaseClient: (worker: {id: string; address: string}) => LeaseClient;
	/** Leases held on a worker. */
	heldLeases: (address: string) => readonly HeldLease[];
	/** Releases the leases on workers that are no longer declared and closes their connections. */
	keepOnly: (addresses: ReadonlySet<string>) => Promise<void>;
	/** Releases every lease and closes every connection. */
	close: () => Promise<void>;
};

/** What a worker client works with; lengths are in milliseconds. */
export type WorkerClientOptions = {
	/** The entry host incarnation that holds the leases. */
	holder: string;
	clock: Clock;
	logger?: Logger;
	/** Connections for tasks to one worker from this host. */
	connections?: number;
	requestMs?: number;
	maxResponseBytes?: number;
	leastShare?: Share;
	leaseMs?: number;
	idleMs?: number;
	isUsable?: LeasesOptions['isUsable'];
};

/** Everything for one worker. */
type WorkerLink = {
	client: LeaseClient;
	leases: Leases;
	pool: Pool;
};

const defaults = {
	connections: 32,
	requestMs: 1000,
	maxResponseBytes: 1_048_576,
	leastShare: {cores: 4, memoryMb: 4096, accelerators: 0},
	leaseMs: 10_000,
	idleMs: 5000,
} as const;

const noTimeoutMs = 0;
const conflictStatus = 409;

/** Creates a client of every worker that attempts are addressed to. */
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
			leastShare: settings.leastShare,
			leaseMs: settings.leaseMs,
			idleMs: settings.idleMs,
			isUsable: options.isUsable,
		});
		const pool = new Pool(`http://${worker.address}`, {
			connections: settings.connections, pipelining: 1, headersTimeout: noTimeoutMs, bodyTimeout: noTimeoutMs,
		});
		return {client, leases, pool};
	};

	const findLink = (worker: {id: string; address: string}): WorkerLink => {
		const link = links.get(worker.address) ?? createLink(worker);
		links.set(worker.address, link);
		return link;
	};

	const closeLink = async ({client, leases, pool}: WorkerLink): Promise<void> => {
		await leases.close();
		await Promise.all([client.close(), pool.close()]);
	};

	/** Sends the task under the lease; a refusal of the lease means that the task did not start. */
	const sendTask = async (attempt: WorkerAttempt, {lease, drop}: Room, pool: Pool): Promise<AttemptResult> => {
		const end = await exchange(pool, {
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
		if (end.kind === 'answered' && end.status === conflictStatus) {
			drop();
		}

		return classifyExchange(end, {
			identity: attempt.identity,
			minionId: attempt.workerId,
			notStartedStatuses: [...attempt.notStartedStatuses, conflictStatus],
		});
	};

	const notStarted = (failure: Failure): AttemptResult => ({outcome: attemptOutcome.notStarted, failure});

	return {
		async runOnWorker(attempt) {
			const {leases, pool} = findLink({id: attempt.workerId, address: attempt.address});
			const room = await leases.reserve(attempt.size);
			if (room.isErr()) {
				return notStarted(room.error);
			}

			try {
				return await sendTask(attempt, room.value, pool);
			} finally {
				room.value.free();
			}
		},
		leaseClient: worker => findLink(worker).client,
		heldLeases: address => links.get(address)?.leases.held() ?? [],
		async keepOnly(addresses) {
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
