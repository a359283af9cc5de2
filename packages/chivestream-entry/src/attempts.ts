/** Runs attempts on whatever they were bound to: minions over HTTP, workers under leases. */
import {
	attemptOutcome, Failure, failureCode, type AttemptResult,
} from 'chivestream-core';
import {type MinionClient} from 'chivestream-minion';
import {type AttemptOrder} from './host-links.js';

/** Runs attempts on workers. */
export type WorkerAttempts = (order: AttemptOrder) => Promise<AttemptResult>;

/** Refuses every attempt, for a host without workers. */
export const refuseWorkerAttempts: WorkerAttempts = async ({assignment}) => ({
	outcome: attemptOutcome.notStarted,
	failure: new Failure(failureCode.neverRunnable, 'this host runs no tasks on workers', {step: 'run-task', peer: assignment.targetId}),
});

/** Runs an attempt on its minion or worker. */
export const createAttempts = (minions: MinionClient, runOnWorker: WorkerAttempts) => async (order: AttemptOrder): Promise<AttemptResult> => {
	const {assignment, task, notStartedStatuses, signal} = order;
	if (assignment.isWorker) {
		return runOnWorker(order);
	}

	const {key, taskIndex, attempt, declaredMs} = assignment.task;
	return minions.run({
		identity: {key, taskIndex, attempt},
		address: assignment.address,
		minionId: assignment.targetId,
		payload: task.payload,
		declaredMs,
		notStartedStatuses,
		signal,
	});
};
