import {describe, expect, test} from '@jest/globals';
import {
	createRecordedDispatcher, jobRequest, leaseMs, minionRecord,
} from '../__fixtures__/recorded-dispatcher.js';
import {
	leaseExpiryMs, outcomeKind, startAnswer, unaccepted,
} from '../index.js';

const jobId = '00000000000000aa';
const task = (index: number, id = jobId) => `${id}.0.0.${index}`;

describe('resources of a minion', () => {
	test('a new dispatcher starts no run before the minion has reported its runs', () => {
		const recorded = createRecordedDispatcher([minionRecord('m')]);
		recorded.submit(jobRequest(jobId));
		expect(recorded.starts).toHaveLength(0);
		recorded.report('m');
		expect(recorded.starts.map(run => run.task)).toEqual([task(0)]);
	});

	test('a run of a previous dispatcher with an unknown task uses all resources until it has ended', () => {
		const recorded = createRecordedDispatcher([minionRecord('m')]);
		recorded.report('m', [['00000000000000ff.0.0.0', 1]]);
		recorded.submit(jobRequest(jobId));
		expect(recorded.starts).toHaveLength(0);
		recorded.advance(10);
		recorded.report('m', [], [['00000000000000ff.0.0.0', 1, 'done']]);
		expect(recorded.starts).toHaveLength(1);
	});

	test('a stopping run uses its resources until the minion has reported its end', () => {
		const recorded = createRecordedDispatcher([minionRecord('m', {capacity: {millicores: 14_000, memoryMb: 1024, accelerators: 0}})]);
		recorded.report('m');
		recorded.submit(jobRequest(jobId));
		recorded.dispatcher.handleStartAnswer(recorded.starts[0]!, startAnswer.started);
		recorded.dispatcher.cancel(jobId);
		expect(recorded.stops).toHaveLength(1);
		recorded.submit(jobRequest('00000000000000bb', {objectiveDeadline: 5000, deadline: 5000}));
		expect(recorded.starts).toHaveLength(1);
		recorded.advance(10);
		recorded.dispatcher.markStopConfirmed(recorded.stops[0]!);
		expect(recorded.starts).toHaveLength(1);
		recorded.advance(10);
		recorded.report('m', [], [[task(0), 1, 'interrupted']]);
		expect(recorded.starts).toHaveLength(2);
	});

	test('a run whose start got no answer uses its resources until its stop is confirmed and a later poll does not list it', () => {
		const recorded = createRecordedDispatcher([minionRecord('m', {capacity: {millicores: 14_000, memoryMb: 1024, accelerators: 0}})]);
		recorded.report('m');
		recorded.submit(jobRequest(jobId, {objectiveDeadline: 9000, deadline: 9000}));
		recorded.dispatcher.handleStartAnswer(recorded.starts[0]!, startAnswer.unknown);
		recorded.advance(leaseMs * 3);
		recorded.report('m');
		expect(recorded.starts).toHaveLength(1);
		recorded.dispatcher.markStopConfirmed(recorded.stops[0]!);
		recorded.advance(10);
		recorded.report('m');
		expect(recorded.starts.map(run => [run.task, run.number])).toEqual([[task(0), 1], [task(0), 2]]);
	});

	test('a start that a later request has fenced off is requested again and does not count as a failure of its minion', () => {
		const recorded = createRecordedDispatcher([minionRecord('m')]);
		recorded.report('m');
		recorded.submit(jobRequest(jobId, {objectiveDeadline: 9000, deadline: 9000}));
		recorded.dispatcher.handleStartAnswer(recorded.starts[0]!, startAnswer.fencedOff);
		expect(recorded.starts.map(run => [run.minion.record.id, run.number])).toEqual([['m', 1], ['m', 2]]);
		expect(recorded.minion('m').consecutiveFailures).toBe(0);
	});

	test('a run whose start got no answer is stopped again on a restarted minion, which has not seen the first stop', () => {
		const recorded = createRecordedDispatcher([minionRecord('m')]);
		recorded.report('m');
		recorded.submit(jobRequest(jobId, {objectiveDeadline: 9000, deadline: 9000}));
		recorded.dispatcher.handleStartAnswer(recorded.starts[0]!, startAnswer.unknown);
		recorded.dispatcher.markStopConfirmed(recorded.stops[0]!);
		recorded.dispatcher.setMinions([minionRecord('m', {bornAt: 2})]);
		recorded.advance(10);
		recorded.report('m');
		expect(recorded.starts).toHaveLength(1);
		expect(recorded.stops).toHaveLength(2);
		recorded.dispatcher.markStopConfirmed(recorded.stops[1]!);
		recorded.advance(10);
		recorded.report('m');
		expect(recorded.starts).toHaveLength(2);
	});

	test('runs on a restarted minion are placed again only after its first report', () => {
		const recorded = createRecordedDispatcher([minionRecord('m')]);
		recorded.report('m');
		recorded.submit(jobRequest(jobId, {objectiveDeadline: 9000, deadline: 9000}));
		recorded.dispatcher.handleStartAnswer(recorded.starts[0]!, startAnswer.started);
		recorded.dispatcher.setMinions([minionRecord('m', {bornAt: 2})]);
		expect(recorded.starts).toHaveLength(1);
		recorded.advance(10);
		recorded.report('m');
		expect(recorded.starts).toHaveLength(2);
	});
});

describe('a new incarnation of a minion', () => {
	test('is not mistaken for another one when a poll reports it before the registry does', () => {
		const recorded = createRecordedDispatcher([minionRecord('m')]);
		recorded.report('m');
		recorded.dispatcher.recordIncarnation(recorded.minion('m'), 2);
		recorded.report('m');
		recorded.dispatcher.setMinions([minionRecord('m', {bornAt: 2})]);
		recorded.submit(jobRequest(jobId, {objectiveDeadline: 9000, deadline: 9000}));
		recorded.dispatcher.handleStartAnswer(recorded.starts[0]!, startAnswer.started);
		recorded.dispatcher.setMinions([minionRecord('m', {bornAt: 2})]);
		expect(recorded.minion('m').runs.size).toBe(1);
		expect(recorded.starts).toHaveLength(1);
	});

	test('may run a start request that was sent before the incarnation was known', () => {
		const recorded = createRecordedDispatcher([minionRecord('m1'), minionRecord('m2')]);
		recorded.report('m1');
		recorded.report('m2');
		recorded.advance(10);
		recorded.submit(jobRequest(jobId, {objectiveDeadline: 9000, deadline: 9000}));
		const run = recorded.starts[0]!;
		recorded.dispatcher.handleStartAnswer(run, startAnswer.started);
		recorded.dispatcher.recordIncarnation(run.minion, 2);
		recorded.report(run.minion.record.id, [[run.task, run.number]]);
		expect(run.minion.runs.size).toBe(1);
		expect(recorded.starts).toHaveLength(1);
	});

	test('may still carry out an earlier start request that got no answer', () => {
		const capacity = {millicores: 14_000, memoryMb: 1024, accelerators: 0};
		const recorded = createRecordedDispatcher([minionRecord('m', {capacity})]);
		recorded.report('m');
		recorded.submit(jobRequest(jobId, {objectiveDeadline: 9000, deadline: 9000}));
		recorded.dispatcher.handleStartAnswer(recorded.starts[0]!, startAnswer.unknown);
		recorded.dispatcher.recordIncarnation(recorded.minion('m'), 2);
		recorded.dispatcher.setMinions([minionRecord('m', {capacity, bornAt: 2})]);
		recorded.advance(10);
		recorded.report('m');
		expect(recorded.starts).toHaveLength(1);
		recorded.dispatcher.markStopConfirmed(recorded.stops[0]!);
		recorded.advance(10);
		recorded.report('m');
		expect(recorded.starts).toHaveLength(2);
	});
});

describe('one run of a task at a time', () => {
	test('a job submitted twice runs once, and both callers get its outcome', () => {
		const recorded = createRecordedDispatcher([minionRecord('m')]);
		recorded.report('m');
		const first = recorded.submit(jobRequest(jobId));
		const second = recorded.submit(jobRequest(jobId));
		expect(recorded.starts).toHaveLength(1);
		recorded.dispatcher.handleStartAnswer(recorded.starts[0]!, startAnswer.started);
		recorded.advance(50);
		recorded.report('m', [], [[task(0), 1, 'done']]);
		expect(first).toEqual([{kind: outcomeKind.completed}]);
		expect(second).toEqual([{kind: outcomeKind.completed}]);
	});

	test('a job resubmitted to a new dispatcher waits until every minion has reported its runs', () => {
		const recorded = createRecordedDispatcher([minionRecord('m1'), minionRecord('m2')]);
		recorded.report('m1');
		recorded.submit(jobRequest(jobId, {mayHaveRun: true, submission: 1}));
		expect(recorded.starts).toHaveLength(0);
		recorded.report('m2', [[task(0), 1]]);
		expect(recorded.starts).toHaveLength(0);
		recorded.advance(20);
		recorded.report('m2', [], [[task(0), 1, 'done']]);
		expect(recorded.dispatcher.jobs.size).toBe(0);
	});

	test('a task that a minion reports as done for a previous dispatcher is not run again', () => {
		const recorded = createRecordedDispatcher([minionRecord('m')]);
		recorded.report('m', [], [[task(0), 1, 'done']]);
		const outcomes = recorded.submit(jobRequest(jobId, {mayHaveRun: true, submission: 1}));
		expect(recorded.starts).toHaveLength(0);
		expect(outcomes).toEqual([{kind: outcomeKind.completed}]);
	});

	test('a task that is reported as done after its job was resubmitted is not run again', () => {
		const recorded = createRecordedDispatcher([minionRecord('m')]);
		const outcomes = recorded.submit(jobRequest(jobId, {mayHaveRun: true, submission: 1}, 2));
		recorded.report('m', [[task(1), 1]], [[task(0), 1, 'done']]);
		expect(recorded.starts).toHaveLength(0);
		recorded.advance(10);
		recorded.report('m', [], [[task(1), 1, 'done']]);
		expect(recorded.starts).toHaveLength(0);
		expect(outcomes).toEqual([{kind: outcomeKind.completed}]);
	});

	test('a resubmitted job waits no longer than the lease for a minion that crashed together with the dispatcher', () => {
		const recorded = createRecordedDispatcher([minionRecord('m1'), minionRecord('m2')]);
		recorded.report('m1');
		recorded.submit(jobRequest(jobId, {
			mayHaveRun: true, submission: 1, objectiveDeadline: 9000, deadline: 9000,
		}));
		recorded.advance(leaseExpiryMs(leaseMs) - 1);
		recorded.dispatcher.tick();
		expect(recorded.starts).toHaveLength(0);
		recorded.advance(1);
		recorded.dispatcher.tick();
		expect(recorded.starts).toHaveLength(1);
	});

	test('a resubmitted job starts again once the lease of an unreachable minion has expired', () => {
		const recorded = createRecordedDispatcher([minionRecord('m1'), minionRecord('m2')]);
		recorded.report('m1');
		recorded.submit(jobRequest(jobId, {
			mayHaveRun: true, submission: 1, objectiveDeadline: 9000, deadline: 9000,
		}));
		recorded.advance(leaseMs);
		recorded.dispatcher.tick();
		expect(recorded.starts).toHaveLength(0);
		recorded.advance(leaseMs);
		recorded.dispatcher.tick();
		expect(recorded.starts.map(run => run.number)).toEqual([33]);
	});

	test('a resubmitted job waits for the lease while minions are missing from the registry after an outage', () => {
		const recorded = createRecordedDispatcher([minionRecord('m1')]);
		recorded.setRegistryComplete(false);
		recorded.report('m1');
		recorded.submit(jobRequest(jobId, {
			mayHaveRun: true, submission: 1, objectiveDeadline: 9000, deadline: 9000,
		}));
		// Another minion, which still runs the task, registers again later.
		expect(recorded.starts).toHaveLength(0);
		recorded.dispatcher.setMinions([minionRecord('m1'), minionRecord('m2')]);
		recorded.report('m2', [[task(0), 1]]);
		recorded.advance(2 * leaseMs);
		recorded.dispatcher.tick();
		expect(recorded.starts).toHaveLength(0);
	});

	test('a task of a later step that ran for a previous dispatcher is neither stopped nor run again', () => {
		const recorded = createRecordedDispatcher([minionRecord('m')]);
		const [step] = jobRequest(jobId).steps;
		const outcomes = recorded.submit(jobRequest(jobId, {
			mayHaveRun: true, submission: 1, objectiveDeadline: 9000, deadline: 9000, steps: [step!, {...step!, dependsOn: [0]}, {...step!, dependsOn: [0]}],
		}));
		recorded.report('m', [[`${jobId}.0.1.0`, 1]], [[`${jobId}.0.2.0`, 1, 'done'], [task(0), 1, 'done']]);
		for (let tick = 0; tick < 20; tick += 1) {
			recorded.advance(50);
			recorded.dispatcher.tick();
		}

		expect([recorded.starts.length, recorded.stops.length]).toEqual([0, 0]);
		recorded.report('m', [], [[`${jobId}.0.1.0`, 1, 'done']]);
		expect(outcomes).toEqual([{kind: outcomeKind.completed}]);
	});

	test('tasks that the request lists as done are not run again', () => {
		const recorded = createRecordedDispatcher([minionRecord('m')]);
		recorded.report('m');
		const outcomes = recorded.submit(jobRequest(jobId, {mayHaveRun: true, submission: 1, doneTasks: [task(0)]}, 2));
		expect(recorded.starts.map(run => run.task)).toEqual([task(1)]);
		recorded.advance(10);
		recorded.report('m', [], [[task(1), recorded.starts[0]!.number, 'done']]);
		expect(outcomes).toEqual([{kind: outcomeKind.completed}]);
	});

	test('an inherited run whose job is not resubmitted is stopped', () => {
		const recorded = createRecordedDispatcher([minionRecord('m')]);
		recorded.report('m', [[task(0), 1]]);
		for (let tick = 0; tick < 14; tick += 1) {
			recorded.advance(50);
			recorded.dispatcher.tick();
		}

		expect(recorded.stops.map(run => run.task)).toEqual([task(0)]);
	});

	test('an inherited run continues if its job is resubmitted right after a pause of this process', () => {
		const recorded = createRecordedDispatcher([minionRecord('m')]);
		recorded.report('m', [[task(0), 1]]);
		recorded.advance(700);
		recorded.dispatcher.tick();
		recorded.submit(jobRequest(jobId, {mayHaveRun: true, submission: 1, objectiveDeadline: 2000}));
		expect(recorded.stops).toHaveLength(0);
		expect(recorded.starts).toHaveLength(0);
	});

	test('a task on an unreachable minion starts elsewhere once the lease has expired', () => {
		const recorded = createRecordedDispatcher([minionRecord('m1'), minionRecord('m2', {isDraining: true})]);
		recorded.report('m1');
		recorded.report('m2');
		recorded.submit(jobRequest(jobId, {objectiveDeadline: 9000, deadline: 9000}));
		recorded.dispatcher.handleStartAnswer(recorded.starts[0]!, startAnswer.started);
		recorded.dispatcher.setMinions([minionRecord('m1'), minionRecord('m2')]);
		recorded.dispatcher.markUnreachable(recorded.minion('m1'));
		recorded.dispatcher.tick();
		expect(recorded.starts).toHaveLength(1);
		recorded.dispatcher.handleLeaseExpiry(recorded.minion('m1'));
		expect(recorded.starts.map(run => run.minion.record.id)).toEqual(['m1', 'm2']);
	});
});

describe('refusals and redirects', () => {
	test('a job that can not start in time is refused at once with a retry delay', () => {
		const recorded = createRecordedDispatcher([minionRecord('m')]);
		recorded.report('m');
		recorded.submit(jobRequest('00000000000000b1', {}, 30));
		const outcomes = recorded.submit(jobRequest('00000000000000b2', {priority: 1}));
		expect(outcomes).toEqual([{kind: outcomeKind.refused, reason: 'no room in time', retryAfterMs: expect.any(Number)}]);
	});

	test('minions that are briefly unreachable still count as capacity', () => {
		const ids = ['m1', 'm2', 'm3', 'm4'];
		const recorded = createRecordedDispatcher(ids.map(id => minionRecord(id)));
		for (const id of ids) {
			recorded.report(id);
			recorded.dispatcher.markUnreachable(recorded.minion(id));
		}

		const outcomes = ['b1', 'b2', 'b3', 'b4', 'b5'].map((id, index) =>
			recorded.submit(jobRequest(`00000000000000${id}`, {objectiveDeadline: 200 + index})));
		expect(outcomes).toEqual([[], [], [], [], []]);
	});

	test('a job that will miss its objective is not refused while a new dispatcher waits for reports of its minions', () => {
		const recorded = createRecordedDispatcher([]);
		recorded.advance(20);
		const outcomes = recorded.submit(jobRequest(jobId, {objectiveDeadline: 50}));
		recorded.dispatcher.tick();
		expect(outcomes).toEqual([]);
		recorded.dispatcher.setMinions([minionRecord('m')]);
		recorded.dispatcher.tick();
		expect(outcomes).toEqual([]);
		recorded.report('m');
		expect(recorded.starts).toHaveLength(1);
	});

	test('a job is never refused once a start request was sent', () => {
		const recorded = createRecordedDispatcher([minionRecord('m')]);
		recorded.report('m');
		const outcomes = recorded.submit(jobRequest(jobId));
		recorded.dispatcher.handleStartAnswer(recorded.starts[0]!, startAnswer.unknown);
		recorded.advance(5000);
		recorded.dispatcher.tick();
		expect(outcomes.map(outcome => outcome.kind)).toEqual([outcomeKind.abandoned]);
	});

	test('a job that may have run for another dispatcher is never refused', () => {
		const recorded = createRecordedDispatcher([]);
		const outcomes = recorded.submit(jobRequest(jobId, {mayHaveRun: true, submission: 1}));
		recorded.advance(5000);
		recorded.dispatcher.tick();
		expect(outcomes.map(outcome => outcome.kind)).toEqual([outcomeKind.abandoned]);
	});

	test('a job is redirected to a cell with capacity for all its tasks, and is otherwise refused once it is late', () => {
		const recorded = createRecordedDispatcher([minionRecord('m', {isDraining: true})]);
		recorded.report('m');
		recorded.otherCells.push({cell: 'y', freeTasks: 3});
		expect(recorded.submit(jobRequest('00000000000000c1', {}, 2))).toEqual([{kind: outcomeKind.redirected, cell: 'y'}]);
		const outcomes = recorded.submit(jobRequest('00000000000000c2', {}, 2));
		recorded.advance(700);
		recorded.dispatcher.tick();
		expect(outcomes.map(outcome => outcome.kind)).toEqual([outcomeKind.refused]);
	});
});

describe('placement of a task', () => {
	test.each([
		['is draining', {isDraining: true}],
		['serves another upstream', {upstream: 'other'}],
	])('not to a minion that %s', (_, changes) => {
		const recorded = createRecordedDispatcher([minionRecord('m', changes)]);
		recorded.report('m');
		recorded.submit(jobRequest(jobId));
		expect(recorded.starts).toHaveLength(0);
	});

	test('not to a minion without the label that the step requires', () => {
		const recorded = createRecordedDispatcher([minionRecord('m1'), minionRecord('m2', {labels: ['b', 'r2']})]);
		recorded.report('m1');
		recorded.report('m2');
		const request = jobRequest(jobId);
		recorded.submit({...request, steps: [{...request.steps[0]!, requiredLabel: 'b'}]});
		expect(recorded.starts.map(run => run.minion.record.id)).toEqual(['m2']);
	});

	test('no more tasks of a step on one minion than the step allows', () => {
		const recorded = createRecordedDispatcher([minionRecord('m')]);
		recorded.report('m');
		const request = jobRequest(jobId, {}, 2);
		recorded.submit({...request, steps: [{...request.steps[0]!, maxPerMinion: 1}]});
		expect(recorded.starts).toHaveLength(1);
	});

	test('not before the steps that it depends on are complete', () => {
		const recorded = createRecordedDispatcher([minionRecord('m')]);
		recorded.report('m');
		const request = jobRequest(jobId);
		const outcomes = recorded.submit({...request, steps: [request.steps[0]!, {...request.steps[0]!, dependsOn: [0]}]});
		expect(recorded.starts.map(run => run.task)).toEqual([task(0)]);
		recorded.advance(10);
		recorded.report('m', [], [[task(0), 1, 'done']]);
		expect(recorded.starts.map(run => run.task)).toEqual([task(0), `${jobId}.0.1.0`]);
		recorded.advance(10);
		recorded.report('m', [], [[`${jobId}.0.1.0`, 1, 'done']]);
		expect(outcomes).toEqual([{kind: outcomeKind.completed}]);
	});

	test('a failed task is retried on another minion, and fails its job after as many failures as the route allows', () => {
		const recorded = createRecordedDispatcher([minionRecord('m1'), minionRecord('m2')]);
		recorded.report('m1');
		recorded.report('m2');
		const outcomes = recorded.submit(jobRequest(jobId));
		const first = recorded.starts[0]!.minion.record.id;
		recorded.advance(10);
		recorded.report(first, [], [[task(0), 1, 'failed']]);
		const second = recorded.starts[1]!.minion.record.id;
		expect(second).not.toBe(first);
		recorded.report(second, [], [[task(0), 2, 'failed']]);
		expect(outcomes.map(outcome => outcome.kind)).toEqual([outcomeKind.failed]);
	});

	test('a stalled run is stopped once its minion has reported it, and its task starts elsewhere only after its end is reported', () => {
		const recorded = createRecordedDispatcher([minionRecord('m1'), minionRecord('m2')]);
		recorded.report('m1');
		recorded.report('m2');
		recorded.submit(jobRequest(jobId, {objectiveDeadline: 9000, deadline: 9000}));
		const run = recorded.starts[0]!;
		recorded.dispatcher.handleStartAnswer(run, startAnswer.started);
		recorded.advance(1000);
		recorded.dispatcher.tick();
		expect(recorded.stops).toEqual([]);
		recorded.report(run.minion.record.id, [[run.task, run.number]]);
		recorded.dispatcher.tick();
		expect(recorded.stops).toEqual([run]);
		expect(recorded.starts).toHaveLength(1);
		recorded.report(run.minion.record.id, [], [[run.task, run.number, 'interrupted']]);
		expect(recorded.starts).toHaveLength(2);
		expect(recorded.starts[1]!.minion).not.toBe(run.minion);
	});
});

describe('release of a dispatcher', () => {
	test('releases every job with its done tasks, and stops no run', () => {
		const recorded = createRecordedDispatcher([minionRecord('m')]);
		recorded.report('m');
		const outcomes = recorded.submit(jobRequest(jobId, {}, 2));
		recorded.advance(10);
		recorded.report('m', [[task(1), 1]], [[task(0), 1, 'done']]);
		recorded.dispatcher.release();
		expect(outcomes).toEqual([{kind: outcomeKind.released, doneTasks: [task(0)], minionsByTask: {[task(1)]: ['m']}}]);
		expect(recorded.stops).toHaveLength(0);
		expect(recorded.submit(jobRequest('00000000000000dd'))).toEqual([unaccepted]);
	});
});

describe('a job that a caller cancels', () => {
	test('is settled for each submitter, its runs are stopped, and none of its tasks starts any more', () => {
		const recorded = createRecordedDispatcher([minionRecord('m')]);
		recorded.report('m');
		const outcomes = recorded.submit(jobRequest(jobId, {objectiveDeadline: 9000, deadline: 9000}, 3));
		const copyOutcomes = recorded.submit(jobRequest(jobId, {objectiveDeadline: 9000, deadline: 9000}, 3));
		for (const run of recorded.starts) {
			recorded.dispatcher.handleStartAnswer(run, startAnswer.started);
		}

		expect(recorded.dispatcher.cancelJob(jobId)).toBe(true);
		expect(outcomes).toEqual([{kind: outcomeKind.cancelled}]);
		expect(copyOutcomes).toEqual([{kind: outcomeKind.cancelled}]);
		expect(recorded.stops.map(run => run.task)).toEqual([task(0), task(1)]);
		recorded.advance(10);
		recorded.report('m', [], [[task(0), 1, 'interrupted'], [task(1), 1, 'interrupted']]);
		recorded.dispatcher.tick();
		expect(recorded.starts).toHaveLength(2);
	});

	test('has a run stopped whose start is answered only after that', () => {
		const recorded = createRecordedDispatcher([minionRecord('m')]);
		recorded.report('m');
		recorded.submit(jobRequest(jobId));
		recorded.dispatcher.cancelJob(jobId);
		expect(recorded.stops).toHaveLength(0);
		recorded.dispatcher.handleStartAnswer(recorded.starts[0]!, startAnswer.started);
		expect(recorded.stops.map(run => run.task)).toEqual([task(0)]);
	});

	test('is known by the runs of a previous dispatcher alone, which are stopped at once', () => {
		const recorded = createRecordedDispatcher([minionRecord('m')]);
		recorded.report('m', [[task(0), 1], [task(0, '00000000000000bb'), 1]]);
		expect(recorded.dispatcher.cancelJob(jobId)).toBe(true);
		expect(recorded.stops.map(run => run.task)).toEqual([task(0)]);
	});

	test('is unknown if there is neither the job nor a run of it, and the other jobs go on', () => {
		const recorded = createRecordedDispatcher([minionRecord('m')]);
		recorded.report('m');
		const outcomes = recorded.submit(jobRequest('00000000000000bb'));
		expect(recorded.dispatcher.cancelJob(jobId)).toBe(false);
		expect(outcomes).toEqual([]);
		expect(recorded.stops).toHaveLength(0);
	});

	test('gives its room to the jobs that wait', () => {
		const recorded = createRecordedDispatcher([minionRecord('m', {capacity: {millicores: 14_000, memoryMb: 1024, accelerators: 0}})]);
		recorded.report('m');
		recorded.submit(jobRequest(jobId, {objectiveDeadline: 9000, deadline: 9000}));
		recorded.submit(jobRequest('00000000000000bb', {objectiveDeadline: 9000, deadline: 9000}));
		recorded.dispatcher.handleStartAnswer(recorded.starts[0]!, startAnswer.started);
		recorded.dispatcher.cancelJob(jobId);
		recorded.advance(10);
		recorded.report('m', [], [[task(0), 1, 'interrupted']]);
		expect(recorded.starts.map(run => run.task)).toEqual([task(0), task(0, '00000000000000bb')]);
	});
});
