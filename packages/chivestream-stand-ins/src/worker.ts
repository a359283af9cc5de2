/** Stand-in for a worker: it runs tasks under leases and reports its usage late. */
import {type ServerResponse} from 'node:http';
import {z} from 'zod';
import {createLaggedValue} from './lagged-value.js';
import {
	createLeaseTable, leaseRequestSchema, renewalSchema, type Capacity,
} from './lease-table.js';
import {type RunningTask} from './running-task.js';
import {
	anyLoopbackAddress, headerValue, pathParameter, readJson, sendJson, startService, type RouteHandler, type RoutedRequest, type Service,
} from './service.js';
import {type TaskFaults} from './task-faults.js';
import {createTaskRunner} from './task-runner.js';
import {createUpstreamRoutes, type UpstreamReport} from './upstream-routes.js';

/** How to start a worker stand-in. */
export type WorkerOptions = Partial<Capacity> & {
	listen?: string;
	id?: string;
	/** Run times are divided by it. */
	speed?: number;
	seed?: number;
	/** Age of the usage that `GET /usage` tells. */
	usageLagMs?: number;
	/** What the worker's clock is ahead of the system's, in milliseconds. */
	clockOffsetMs?: number;
	/** Longest time for which a lease is granted. */
	longestLeaseMs?: number;
};

/** What a worker tells about a lease. */
export type LeaseReport = {
	leaseId: string;
	holder: string;
	fence: number;
	deadline: number;
	cores: number;
};

/** A running worker stand-in. */
export type WorkerStandIn = {
	address: string;
	setFaults: (faults: Partial<TaskFaults>) => void;
	report: () => UpstreamReport;
	leases: () => LeaseReport[];
	/** Dies: breaks connections without an answer. */
	close: () => Promise<void>;
};

const defaultCapacity: Capacity = {cores: 32, memoryMb: 65_536, accelerators: 0};
const defaultLongestLeaseMs = 60_000;
const fenceHeader = 'chivestream-fence';

const controlSchema = z.looseObject({
	attempt: z.string(),
	/** Factor on the remaining run time of a throttled task. */
	factor: z.number().positive().default(2),
});

type Control = z.infer<typeof controlSchema>;

/** Starts a worker stand-in. */
export const startWorkerStandIn = async (options: WorkerOptions = {}): Promise<WorkerStandIn> => {
	const capacity: Capacity = {
		cores: options.cores ?? defaultCapacity.cores,
		memoryMb: options.memoryMb ?? defaultCapacity.memoryMb,
		accelerators: options.accelerators ?? defaultCapacity.accelerators,
	};
	const now = () => Date.now() + (options.clockOffsetMs ?? 0);
	const leases = createLeaseTable(capacity, now, options.longestLeaseMs ?? defaultLongestLeaseMs);
	const runner = createTaskRunner({id: options.id ?? 'worker', speed: options.speed ?? 1, seed: options.seed ?? 1});
	const usage = createLaggedValue(0, () => options.usageLagMs ?? 0);

	const sendLease = (response: ServerResponse, status: number, lease: unknown) => {
		if (lease === undefined) {
			sendJson(response, 409, {error: 'does not fit, has lapsed or is fenced'});
			return;
		}

		sendJson(response, status, lease);
	};

	/** Tasks beyond the number of cores slow one another down. */
	const slowdown = (): number => Math.max(1, (runner.counts.running() + 1) / capacity.cores);

	const serveTask = async (request: RoutedRequest, response: ServerResponse) => {
		runner.counts.request();
		const payload = await readJson(request);
		const fence = Number(headerValue(request, fenceHeader));
		if (!leases.isValid(pathParameter(request, 'id'), fence)) {
			runner.refuse(response, 409, 'the lease has lapsed or its fence is old');
			return;
		}

		response.once('close', () => {
			usage.set(runner.counts.running());
		});
		runner.run({request, response, payload}, slowdown());
		usage.set(runner.counts.running());
	};

	const controlWith = (act: (task: RunningTask, control: Control) => unknown): RouteHandler => async (request, response) => {
		const control = controlSchema.parse(await readJson(request));
		const task = runner.findTask(control.attempt);
		if (!task) {
			sendJson(response, 404, {error: 'no such task runs'});
			return;
		}

		sendJson(response, 200, act(task, control));
	};

	const report = (): UpstreamReport => ({
		...runner.counts.report(),
		connections: service.connections(),
		mostConnections: service.mostConnections(),
	});

	const service: Service = await startService({
		async 'POST /leases'(request, response) {
			sendLease(response, 201, leases.grant(leaseRequestSchema.parse(await readJson(request))));
		},
		async 'PUT /leases/:id'(request, response) {
			const renewal = renewalSchema.parse(await readJson(request));
			sendLease(response, 200, leases.renew(pathParameter(request, 'id'), renewal));
		},
		'DELETE /leases/:id'(request, response) {
			leases.release(pathParameter(request, 'id'));
			response.writeHead(204).end();
		},
		'POST /leases/:id/tasks': serveTask,
		'GET /usage'(_request, response) {
			const {at, value: tasks} = usage.get();
			const cores = Math.min(capacity.cores, tasks);
			sendJson(response, 200, {
				at, cores, memoryMb: 0, accelerators: 0, tasks,
			});
		},
		'POST /tasks/checkpoint': controlWith(task => ({attempt: task.attempt, progress: task.progress()})),
		'POST /tasks/throttle': controlWith((task, {factor}) => {
			task.throttle(factor);
			return {attempt: task.attempt, progress: task.progress()};
		}),
		'POST /tasks/stop': controlWith(task => {
			task.stop();
			return {attempt: task.attempt};
		}),
		...createUpstreamRoutes(runner, report),
	}, {listen: options.listen ?? anyLoopbackAddress});

	return {
		address: service.address,
		setFaults(faults) {
			runner.faults.set(faults);
		},
		report,
		leases: () => leases.live(),
		async close() {
			const closed = service.close();
			runner.close();
			await closed;
		},
	};
};
