/** Routes that the minion and worker stand-ins share: faults and start counts. */
import {readJson, sendJson, type Routes} from './service.js';
import {type StartReport} from './start-counts.js';
import {taskFaultsSchema} from './task-faults.js';
import {type TaskRunner} from './task-runner.js';

/** What an upstream host stand-in tells about itself. */
export type UpstreamReport = StartReport & {
	connections: number;
	mostConnections: number;
};

/** Routes for tests: `POST /faults`, `GET /starts` and `DELETE /starts`. */
export const createUpstreamRoutes = (runner: TaskRunner, report: () => UpstreamReport): Routes => ({
	async 'POST /faults'(request, response) {
		const faults = runner.faults.set(taskFaultsSchema.partial().parse(await readJson(request)));
		sendJson(response, 200, faults);
	},
	'GET /starts'(_request, response) {
		sendJson(response, 200, report());
	},
	'DELETE /starts'(_request, response) {
		runner.counts.reset();
		response.writeHead(204).end();
	},
});
