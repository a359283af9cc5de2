import {expect, test} from '@jest/globals';
import {
	jobLeaseMs, outcomeKind, type JobRequest, type Outcome,
} from 'chivestream-dispatch';
import {
	createRecordedDispatcher, jobRequest, leaseMs, minionRecord, type RecordedDispatcher,
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
const runCopy = (clock: RecordedDispatcher, reach: (time: number) => DispatcherHandle[], job: JobRequest = request(), homeCell: string = home) => {
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
		dispatcherForJob: () => reached().find(handle => handle.cell === homeCell),
		async untilChange() {
			clock.advance(10);
		},
	}, job);
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

// All connections of its host are reset: those to its caller, and a moment later that to the dispatcher which has answered.
test('a copy whose submission to its own cell was lost does not start there while the first one may be running', async () => {
	const [redirecting, target] = [createRedirecting(), createRecordedDispatcher([minionRecord('n')], 2)];
	target.advance(redirecting.now());
	const first = {...handleOf(redirecting, home, 1), asksForJobs: false};
	let isLost = false;
	runCopy(redirecting, () => [isLost
		? first
		: {
			...first,
			submit(job, {settle, onTaskCrashed}) {
				isLost = true;
				first.submit(job, {
					settle() {
						// The answer is lost with the connection.
					},
					onTaskCrashed,
				});
				settle({kind: 'lost', leaseEndsAt: redirecting.now() + 1300});
			},
		}, handleOf(target, other, 2)]);
	await settled();
	expect(redirecting.starts.map(({task}) => task)).toEqual([]);
});

// The host of the first copy can't reach the other cell, and has not noticed yet that its caller has left.
test('a redirected job that comes back does not start while a copy that was sent after it may be running', async () => {
	const [redirecting, target] = [createRedirecting(), createRecordedDispatcher([minionRecord('n')], 2)];
	target.advance(redirecting.now());
	target.report('n');
	runCopy(redirecting, () => [handleOf(redirecting, home, 1), handleOf(target, other, 2)]);
	await settled();
	expect(target.dispatcher.jobs.has(id)).toBe(true);
	redirecting.dispatcher.submit(request({submission: 1}), () => undefined, () => undefined, {origin: 'first', leaseEndsAt: () => Infinity});
	expect(redirecting.starts.map(({task}) => task)).toEqual([]);
	redirecting.advance(jobLeaseMs(leaseMs));
	redirecting.dispatcher.tick();
	expect(redirecting.starts.map(({task}) => task)).toEqual([`${id}.0.0.0`]);
});

// The other cell has lost its dispatcher, for example.
test('a redirected job that its first host brings back starts at once if no copy was sent after it', async () => {
	const redirecting = createRecordedDispatcher([minionRecord('m', {isDraining: true})]);
	redirecting.report('m');
	redirecting.otherCells.push({cell: other, freeTasks: 8});
	const submit = (origin: string, submission: number) => {
		const outcomes: Outcome[] = [];
		const {steps: [step]} = jobRequest(id);
		redirecting.dispatcher.submit(request({submission, steps: [step!, {...step!, dependsOn: [0]}]}), outcome => {
			outcomes.push(outcome);
		}, () => undefined, {origin, leaseEndsAt: () => Infinity});
		return outcomes;
	};

	expect(submit('first', 0)).toEqual([{kind: outcomeKind.redirected, cell: other}]);
	redirecting.dispatcher.setMinions([minionRecord('m')]);
	expect(submit('first', 1)).toEqual([]);
	expect(redirecting.starts.map(({task}) => task)).toEqual([`${id}.0.0.0`]);
	// A copy that joins it there doesn't hold it up.
	expect(submit('copy', 0)).toEqual([]);
	redirecting.report('m', [], [[`${id}.0.0.0`, redirecting.starts[0]!.number, 'done']]);
	expect(redirecting.starts.map(({task}) => task)).toEqual([`${id}.0.0.0`, `${id}.0.1.0`]);
});

// Each names the job to the other, since it doesn't know to which cell the runs on its minions belong.
test.each([
	['a copy', {}, 2], ['a later submission', {submission: 1}, 1], ['a submission with a history', {submission: 1, mayHaveRun: true, previousSubmissions: []}, 1],
])('after a division, %s of a job that runs in two cells is not sent to and fro', async (_, changes, count) => {
	const cells = ['z/1 of 2', 'z/2 of 2'];
	const dispatchers = cells.map((_, cell) => {
		const recorded = createRecordedDispatcher([minionRecord(`m${cell}`)], cell + 2);
		recorded.dispatcher.awaitJobsElsewhere([cells[1 - cell]!], 300);
		recorded.report(`m${cell}`, [[`${id}.0.0.${cell}`, 1]]);
		return recorded;
	});
	for (const [cell, {dispatcher}] of dispatchers.entries()) {
		dispatcher.handleJobsElsewhere([{cell: cells[1 - cell]!, ids: dispatchers[1 - cell]!.dispatcher.jobsOfCell(cells[cell]!)!}]);
	}

	const submittedTo: string[] = [];
	const handles = dispatchers.map((recorded, cell) => {
		const handle = handleOf(recorded, cells[cell]!, cell + 2);
		return {
			...handle,
			submit(...[job, callbacks]: Parameters<DispatcherHandle['submit']>) {
				submittedTo.push(handle.cell);
				if (submittedTo.length < 10) {
					handle.submit(job, callbacks);
				}
			},
		};
	});
	const {steps} = jobRequest(id, {}, 2);
	runCopy(dispatchers[0]!, () => handles, request({steps, ...changes}), cells[0]);
	await settled();
	expect(submittedTo).toEqual(cells.slice(0, count));
	const last = dispatchers[count - 1]!;
	last.advance(jobLeaseMs(leaseMs));
	last.dispatcher.tick();
	expect(last.dispatcher.jobs.has(id)).toBe(true);
	expect(last.starts.map(({task}) => task)).toEqual([`${id}.0.0.${2 - count}`]);
});

/** The next dispatcher of the cell, which has asked the other cell for the jobs that it holds; its minion runs nothing. */
const createAskingSuccessor = (time: number) => {
	const recorded = createRecordedDispatcher([minionRecord('m')], 3);
	recorded.advance(time);
	recorded.dispatcher.awaitJobsElsewhere([other], time + 300);
	recorded.report('m');
	return recorded;
};

test.each(['released', 'lost'])('a copy that a dispatcher with unanswered questions has %s waits for the answers at the next one', async how => {
	const previous = createRecordedDispatcher([minionRecord('m')], 2);
	previous.advance(3000);
	previous.dispatcher.awaitJobsElsewhere([other], 3300);
	previous.report('m');
	let successor: RecordedDispatcher | undefined;
	const first = handleOf(previous, home, 2);
	runCopy(previous, () => [successor === undefined
		? {
			...first,
			submit(job, callbacks) {
				first.submit(job, callbacks);
				expect(previous.starts).toEqual([]);
				successor = createAskingSuccessor(previous.now());
				if (how === 'released') {
					previous.dispatcher.release();
				} else {
					callbacks.settle({kind: 'lost', leaseEndsAt: previous.now() + 1300});
				}
			},
		}
		: handleOf(successor, home, 3)]);
	await settled();
	expect(successor!.dispatcher.jobs.has(id)).toBe(true);
	expect(successor!.starts.map(({task}) => task)).toEqual([]);
	successor!.dispatcher.handleJobsElsewhere([{cell: other, ids: [id]}]);
	expect(successor!.starts.map(({task}) => task)).toEqual([]);
});

// The dispatcher has said that the first copy may be running.
test('a copy of a redirected job is not said to be not run if no dispatcher can be reached', async () => {
	const redirecting = createRedirecting();
	let isReached = true;
	const first = handleOf(redirecting, home, 1);
	const pending = runCopy(redirecting, () => isReached
		? [{
			...first,
			submit(job, callbacks) {
				isReached = false;
				first.submit(job, callbacks);
			},
		}]
		: []);
	expect(await pending.outcome).toMatchObject({kind: outcomeKind.abandoned});
});

// `PeerLink.submit` settles a submission so that it could not send.
test('a copy that could not be sent waits at the next dispatcher until each minion has reported its runs', async () => {
	const successor = createRecordedDispatcher([minionRecord('m'), minionRecord('n')], 2);
	successor.report('m');
	let isLost = false;
	runCopy(successor, () => [isLost
		? handleOf(successor, home, 2)
		: {
			...handleOf(successor, home, 1),
			submit(_, {settle}) {
				isLost = true;
				settle({kind: 'lost', leaseEndsAt: Number.NEGATIVE_INFINITY});
			},
		}]);
	await settled();
	expect(successor.dispatcher.jobs.has(id)).toBe(true);
	expect(successor.starts.map(({task}) => task)).toEqual([]);
});
