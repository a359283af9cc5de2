import {expect, test} from '@jest/globals';
import {outcomeKind, type JobRequest} from 'chivestream-dispatch';
import {
	createRecordedDispatcher, jobRequest, minionRecord, type RecordedDispatcher,
} from '../../../chivestream-dispatch/src/__fixtures__/recorded-dispatcher.js';
import {runJob, type DispatcherHandle} from '../job-client.js';

const id = '00000000000000aa';
const home = 'z/1 of 1';
const other = 'y/1 of 1';
const request = (changes: Partial<JobRequest> = {}) => jobRequest(id, {objectiveDeadline: 9000, deadline: 9000, ...changes});

const handleOf = ({dispatcher}: RecordedDispatcher, cell: string, claim: number): DispatcherHandle => ({
	name: `d${claim}`,
	cell,
	claim,
	submit(job, {settle, onTaskCrashed}) {
		dispatcher.submit(job, settle, onTaskCrashed, {origin: 'copy', leaseEndsAt: () => Infinity});
	},
	cancel() {
		// No test cancels a job.
	},
});

/** Runs the copy of a job at a host that reaches these dispatchers at a time. Waits advance the time by 10 ms. */
const runCopy = (clock: RecordedDispatcher, reach: (time: number) => DispatcherHandle[]) => {
	const reached = () => reach(clock.now());
	return runJob({
		now: clock.now,
		report() {
			// Not of interest.
		},
		async untilAwake() {
			// The process is never paused.
		},
		releasedRunsMs: () => 1090,
		dispatcherOfCell: cell => reached().find(handle => handle.cell === cell),
		dispatcherForJob: () => reached().find(handle => handle.cell === home),
		async untilChange() {
			clock.advance(10);
		},
	}, request());
};

const settled = async () => new Promise<void>(resolve => {
	setImmediate(resolve);
});

/** A dispatcher that has redirected the job to the other cell, and has room again. */
const createRedirecting = () => {
	const recorded = createRecordedDispatcher([minionRecord('m')]);
	recorded.advance(3000);
	recorded.report('m');
	recorded.minion('m').isReachable = false;
	recorded.otherCells.push({cell: other, freeTasks: 8});
	expect(recorded.submit(request())).toEqual([{kind: outcomeKind.redirected, cell: other}]);
	recorded.otherCells.length = 0;
	recorded.minion('m').isReachable = true;
	recorded.dispatcher.tick();
	return recorded;
};

test('a copy follows the redirected job to its cell if the link to the dispatcher there is open', async () => {
	const [redirecting, target] = [createRedirecting(), createRecordedDispatcher([minionRecord('n')], 2)];
	target.advance(redirecting.now());
	runCopy(redirecting, () => [handleOf(redirecting, home, 1), handleOf(target, other, 2)]);
	await settled();
	expect([redirecting.dispatcher.jobs.has(id), target.dispatcher.jobs.has(id)]).toEqual([false, true]);
});

// All connections of a host are reset at once, those to callers too. The job runs on in the other cell for up to 0.7 s.
test('a copy does not start in its own cell while the link to the cell of the redirected job is being opened again', async () => {
	const [redirecting, target] = [createRedirecting(), createRecordedDispatcher([minionRecord('n')], 2)];
	target.advance(redirecting.now());
	const linkedAt = redirecting.now() + 30;
	runCopy(redirecting, time => [handleOf(redirecting, home, 1), ...(time < linkedAt ? [] : [handleOf(target, other, 2)])]);
	await settled();
	expect(redirecting.starts.map(({task}) => task)).toEqual([]);
	expect(target.dispatcher.jobs.has(id)).toBe(true);
});

/** A dispatcher that has just claimed the cell; only one of its two minions has reported its runs. */
const createSuccessor = () => {
	const recorded = createRecordedDispatcher([minionRecord('m'), minionRecord('n')], 2);
	recorded.report('m');
	return recorded;
};

test('a copy waits at a new dispatcher until each minion has reported its runs', async () => {
	const successor = createSuccessor();
	runCopy(successor, () => [handleOf(successor, home, 2)]);
	await settled();
	expect(successor.starts.map(({task}) => task)).toEqual([]);
});

// It was sent to a dispatcher that had just released the cell. That is no history: the job may run on a minion that has not reported.
test('a copy that the previous dispatcher has not accepted any more waits likewise', async () => {
	const [previous, successor] = [createRecordedDispatcher([minionRecord('m')]), createSuccessor()];
	previous.dispatcher.release();
	let isReleased = false;
	const first = handleOf(previous, home, 1);
	runCopy(successor, () => isReleased
		? [handleOf(successor, home, 2)]
		: [{
			...first,
			submit(job, callbacks) {
				isReleased = true;
				first.submit(job, callbacks);
			},
		}]);
	await settled();
	expect(successor.dispatcher.jobs.has(id)).toBe(true);
	expect(successor.starts.map(({task}) => task)).toEqual([]);
	successor.report('n', [[`${id}.0.0.0`, 1]]);
	expect(successor.starts.map(({task}) => task)).toEqual([]);
});
