/** Stand-in for a minion: an HTTP service that runs tasks in a fixed number of slots. */
import {type ServerResponse} from 'node:http';
import {
	anyLoopbackAddress, readJson, startService, type RoutedRequest, type Service,
} from './service.js';
import {type TaskFaults} from './task-faults.js';
import {createTaskRunner} from './task-runner.js';
import {createUpstreamRoutes, type UpstreamReport} from './upstream-routes.js';

/** How to start a minion stand-in. */
export type MinionOptions = {
	listen?: string;
	id?: string;
	slots?: number;
	/** Run times are divided by it. */
	speed?: number;
	/** Connections accepted at once. */
	maxConnections?: number;
	seed?: number;
};

/** A running minion stand-in. */
export type MinionStandIn = {
	address: string;
	setFaults: (faults: Partial<TaskFaults>) => void;
	report: () => UpstreamReport;
	/** Refuses new tasks and closes idle connections; running tasks end as usual. */
	stop: () => void;
	/** Accepts tasks again. */
	resume: () => void;
	/** Dies: breaks connections without an answer. */
	close: () => Promise<void>;
};

const defaultSlots = 8;
const defaultMaxConnections = 64;

/** Starts a minion stand-in. */
export const startMinionStandIn = async (options: MinionOptions = {}): Promise<MinionStandIn> => {
	const slots = options.slots ?? defaultSlots;
	const runner = createTaskRunner({id: options.id ?? 'minion', speed: options.speed ?? 1, seed: options.seed ?? 1});
	let isStopping = false;

	const serveTask = async (request: RoutedRequest, response: ServerResponse) => {
		runner.counts.request();
		const payload = await readJson(request);
		if (isStopping) {
			response.setHeader('connection', 'close');
			runner.refuse(response, 503, 'stopping');
			return;
		}

		if (runner.counts.running() >= slots) {
			runner.refuse(response, 503, 'all slots are busy');
			return;
		}

		runner.run({request, response, payload}, 1);
	};

	const report = (): UpstreamReport => ({
		...runner.counts.report(),
		connections: service.connections(),
		mostConnections: service.mostConnections(),
	});

	const stop = () => {
		isStopping = true;
		service.closeIdleConnections();
	};

	const resume = () => {
		isStopping = false;
	};

	const service: Service = await startService({
		'POST /tasks': serveTask,
		'POST /stop'(_request, response) {
			stop();
			response.writeHead(204).end();
		},
		'POST /resume'(_request, response) {
			resume();
			response.writeHead(204).end();
		},
		...createUpstreamRoutes(runner, report),
	}, {listen: options.listen ?? anyLoopbackAddress, maxConnections: options.maxConnections ?? defaultMaxConnections});

	return {
		address: service.address,
		setFaults(faults) {
			runner.faults.set(faults);
		},
		report,
		stop,
		resume,
		async close() {
			const closed = service.close();
			runner.close();
			await closed;
		},
	};
};
