/** Runs attempts on the targets that they are assigned to: minions over HTTP, workers under leases. */
import {type AttemptResult, type Declarations} from 'chivestream-core';
import {type MinionClient} from 'chivestream-minion';
import {type WorkerClient} from 'chivestream-worker';
import {type AttemptRequest} from './host-links.js';

/** Creates the function that runs an attempt on its minion or worker. */
export const createAttemptExecutor = (minions: MinionClient, workers: WorkerClient) => async (request: AttemptRequest): Promise<AttemptResult> => {
	const {
		assignment, task, notStartedStatuses, signal,
	} = request;
	const {
		key, taskIndex, attempt, declaredMs, cores, memoryMb, accelerators,
	} = assignment.task;
	const options = {
		identity: {key, taskIndex, attempt},
		address: assignment.address,
		payload: task.payload,
		declaredMs,
		notStartedStatuses,
		signal,
	};
	return assignment.isWorker
		? workers.runOnWorker({...options, workerId: assignment.targetId, size: {cores, memoryMb, accelerators}})
		: minions.run({...options, minionId: assignment.targetId});
};

/** Opens connections to the declared minions, and closes those to minions and workers that are no longer declared. */
export const updateTargetConnections = async (declarations: Declarations, minions: MinionClient, workers: WorkerClient): Promise<void> => {
	const upstreams = Object.values(declarations.upstreams);
	await Promise.all([
		minions.setDeclaredMinions(upstreams.flatMap(upstream => upstream.minions)),
		workers.closeUndeclared(new Set(upstreams.flatMap(upstream => upstream.workers.map(({address}) => address)))),
	]);
};
