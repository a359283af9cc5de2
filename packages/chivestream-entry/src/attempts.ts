/** Runs attempts on whatever they were bound to: minions over HTTP, workers under leases. */
import {type AttemptResult, type Declarations} from 'chivestream-core';
import {type MinionClient} from 'chivestream-minion';
import {type WorkerClient} from 'chivestream-worker';
import {type AttemptOrder} from './host-links.js';

/** Runs an attempt on its minion or worker. */
export const createAttempts = (minions: MinionClient, workers: WorkerClient) => async (order: AttemptOrder): Promise<AttemptResult> => {
	const {
		assignment, task, notStartedStatuses, signal,
	} = order;
	const {
		key, taskIndex, attempt, declaredMs, cores, memoryMb, accelerators,
	} = assignment.task;
	const common = {
		identity: {key, taskIndex, attempt},
		address: assignment.address,
		payload: task.payload,
		declaredMs,
		notStartedStatuses,
		signal,
	};
	return assignment.isWorker
		? workers.runOnWorker({...common, workerId: assignment.targetId, size: {cores, memoryMb, accelerators}})
		: minions.run({...common, minionId: assignment.targetId});
};

/** Fits the links to the declared minions and workers, and closes those to all others. */
export const declareTargets = async (declarations: Declarations, minions: MinionClient, workers: WorkerClient): Promise<void> => {
	const upstreams = Object.values(declarations.upstreams);
	await Promise.all([
		minions.declare(upstreams.flatMap(upstream => upstream.minions)),
		workers.keepOnly(new Set(upstreams.flatMap(upstream => upstream.workers.map(({address}) => address)))),
	]);
};
