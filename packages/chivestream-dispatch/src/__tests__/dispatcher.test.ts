import {describe, expect, test} from '@jest/globals';
import {
	createRecorded, jobRequest, leaseMs, minionRecord,
} from '../__fixtures__/ports.js';
import {outcomeKind, startAnswer} from '../index.js';

const jobId = '00000000000000aa';
const task = (index: number, id = jobId) => `${id}.0.0.${index}`;

describe('room on a minion', () => {
	test('a new dispatcher orders nothing before the minion has told what runs on it', () => {
		const recorded = createRecorded([minionRecord('m')]);
		recorded.submit(jobRequest(jobId));
		expect(recorded.starts).toHaveLength(0);
		recorded.report('m');
		expect(recorded.starts.map(run => run.task)).toEqual([task(0)]);
	});

	test('a run of an earlier dispatcher takes all room until it has ended', () => {
		const recorded = createRecorded([minionRecord('m')]);
		recorded.report('m', [['00000000000000ff.0.0.0', 1]]);
		recorded.submit(jobRequest(jobId));
		expect(recorded.starts).toHaveLength(0);
		recorded.pass(10);
		recorded.report('m', [], [['00000000000000ff.0.0.0', 1, 'done']]);
		expect(recorded.starts).toHaveLength(1);
	});

	test('what is being stopped still takes room, until the minion has listed its end', () => {
		const recorded = createRecorded([minionRecord('m', {capacity: {millicores: 14_000, memoryMb: 1024, accelerators: 0}})]);
		recorded.report('m');
		recorded.submit(jobRequest(jobId));
		recorded.dispatcher.noteStart(recorded.starts[0]!, startAnswer.started);
		recorded.dispatcher.cancel(jobId);
		expect(recorded.stops).toHaveLength(1);
		recorded.submit(jobRequest('00000000000000bb', {objectiveDeadline: 5000, deadline: 5000}));
		expect(recorded.starts).toHaveLength(1);
		recorded.pass(10);
		recorded.dispatcher.noteStop(recorded.stops[0]!);
		expect(recorded.starts).toHaveLength(1);
		recorded.pass(10);
		recorded.report('m', [], [[task(0), 1, 'interrupted']]);
		expect(recorded.starts).toHaveLength(2);
	});

	test('an order without answer takes room until its stop is confirmed and a later look does not list it', () => {
		const recorded = createRecorded([minionRecord('m', {capacity: {millicores: 14_000, memoryMb: 1024, accelerators: 0}})]);
		recorded.report('m');
		recorded.submit(jobRequest(jobId, {objectiveDeadline: 9000, deadline: 9000}));
		recorded.dispatcher.noteStart(recorded.starts[0]!, startAnswer.unknown);
		recorded.pass(leaseMs * 3);
		recorded.report('m');
		expect(recorded.starts).toHaveLength(1);
		recorded.dispatcher.noteStop(recorded.stops[0]!);
		recorded.pass(10);
		recorded.report('m');
		expect(recorded.starts.map(run => [run.task, run.number])).toEqual([[task(0), 1], [task(0), 2]]);
	});

	test('a minion in a new lifetime runs nothing of before, and has to tell so first', () => {
		const recorded = createRecorded([minionRecord('m')]);
		recorded.report('m');
		recorded.submit(jobRequest(jobId, {objectiveDeadline: 9000, deadline: 9000}));
		recorded.dispatcher.noteStart(recorded.starts[0]!, startAnswer.started);
		recorded.dispatcher.setMinions([minionRecord('m', {bornAt: 2})]);
		expect(recorded.starts).toHaveLength(1);
		recorded.pass(10);
		recorded.report('m');
		expect(recorded.starts).toHaveLength(2);
	});
});

describe('a new lifetime', () => {
	test('that a look has told of is not taken for another when the registry tells of it later', () => {
		const recorded = createRecorded([minionRecord('m')]);
		recorded.report('m');
		recorded.dispatcher.noteLifetime(recorded.minion('m'), 2);
		recorded.report('m');
		recorded.submit(jobRequest(jobId, {objectiveDeadline: 9000, deadline: 9000}));
		recorded.dispatcher.noteStart(recorded.starts[0]!, startAnswer.started);
		recorded.dispatcher.setMinions([minionRecord('m', {bornAt: 2})]);
		expect(recorded.minion('m').runs.size).toBe(1);
		expect(recorded.starts).toHaveLength(1);
	});

	test('may run what was ordered in its first moments, before it was known of', () => {
		const recorded = createRecorded([minionRecord('m1'), minionRecord('m2')]);
		recorded.report('m1');
		recorded.report('m2');
		recorded.pass(10);
		recorded.submit(jobRequest(jobId, {objectiveDeadline: 9000, deadline: 9000}));
		const run = recorded.starts[0]!;
		recorded.dispatcher.noteStart(run, startAnswer.started);
		recorded.dispatcher.noteLifetime(run.minion, 2);
		recorded.report(run.minion.record.id, [[run.task, run.number]]);
		expect(run.minion.runs.size).toBe(1);
		expect(recorded.starts).toHaveLength(1);
	});

	test('may still carry out an order that was not answered before', () => {
		const recorded = createRecorded([minionRecord('m', {capacity: {millicores: 14_000, memoryMb: 1024, accelerators: 0}})]);
		recorded.report('m');
		recorded.submit(jobRequest(jobId, {objectiveDeadline: 9000, deadline: 9000}));
		recorded.dispatcher.noteStart(recorded.starts[0]!, startAnswer.unknown);
		recorded.dispatcher.noteLifetime(recorded.minion('m'), 2);
		recorded.pass(10);
		recorded.report('m');
		expect(recorded.starts).toHaveLength(1);
		recorded.dispatcher.noteStop(recorded.stops[0]!);
		recorded.pass(10);
		recorded.report('m');
		expect(recorded.starts).toHaveLength(2);
	});
});

describe('one run of a task at a time', () => {
	test('a copy of a job joins it, and both callers get the outcome', () => {
		const recorded = createRecorded([minionRecord('m')]);
		recorded.report('m');
		const first = recorded.submit(jobRequest(jobId));
		const second = recorded.submit(jobRequest(jobId));
		expect(recorded.starts).toHaveLength(1);
		recorded.dispatcher.noteStart(recorded.starts[0]!, startAnswer.started);
		recorded.pass(50);
		recorded.report('m', [], [[task(0), 1, 'done']]);
		expect(first).toEqual([{kind: outcomeKind.completed}]);
		expect(second).toEqual([{kind: outcomeKind.completed}]);
	});

	test('a job that comes back after a change of dispatcher waits until every minion has told what runs', () => {
		const recorded = createRecorded([minionRecord('m1'), minionRecord('m2')]);
		recorded.report('m1');
		recorded.submit(jobRequest(jobId, {mayHaveRun: true, submission: 1}));
		expect(recorded.starts).toHaveLength(0);
		recorded.report('m2', [[task(0), 1]]);
		expect(recorded.starts).toHaveLength(0);
		recorded.pass(20);
		recorded.report('m2', [], [[task(0), 1, 'done']]);
		expect(recorded.dispatcher.jobs.size).toBe(0);
	});

	test('what is done by the word of a minion that another dispatcher had is not run again', () => {
		const recorded = createRecorded([minionRecord('m')]);
		recorded.report('m', [], [[task(0), 1, 'done']]);
		const outcomes = recorded.submit(jobRequest(jobId, {mayHaveRun: true, submission: 1}));
		expect(recorded.starts).toHaveLength(0);
		expect(outcomes).toEqual([{kind: outcomeKind.completed}]);
	});

	test('the same holds where the job has come back before the minion tells', () => {
		const recorded = createRecorded([minionRecord('m')]);
		const outcomes = recorded.submit(jobRequest(jobId, {mayHaveRun: true, submission: 1}, 2));
		recorded.report('m', [[task(1), 1]], [[task(0), 1, 'done']]);
		expect(recorded.starts).toHaveLength(0);
		recorded.pass(10);
		recorded.report('m', [], [[task(1), 1, 'done']]);
		expect(recorded.starts).toHaveLength(0);
		expect(outcomes).toEqual([{kind: outcomeKind.completed}]);
	});

	test('it begins anew once a silent minion can hold no lease any more', () => {
		const recorded = createRecorded([minionRecord('m1'), minionRecord('m2')]);
		recorded.report('m1');
		recorded.submit(jobRequest(jobId, {
			mayHaveRun: true, submission: 1, objectiveDeadline: 9000, deadline: 9000,
		}));
		recorded.pass(leaseMs);
		recorded.dispatcher.tick();
		expect(recorded.starts).toHaveLength(0);
		recorded.pass(leaseMs);
		recorded.dispatcher.tick();
		expect(recorded.starts.map(run => run.number)).toEqual([33]);
	});

	test('tasks that are known to be done are not run again', () => {
		const recorded = createRecorded([minionRecord('m')]);
		recorded.report('m');
		const outcomes = recorded.submit(jobRequest(jobId, {mayHaveRun: true, submission: 1, doneTasks: [task(0)]}, 2));
		expect(recorded.starts.map(run => run.task)).toEqual([task(1)]);
		recorded.pass(10);
		recorded.report('m', [], [[task(1), recorded.starts[0]!.number, 'done']]);
		expect(outcomes).toEqual([{kind: outcomeKind.completed}]);
	});

	test('a run that nobody asks for is stopped', () => {
		const recorded = createRecorded([minionRecord('m')]);
		recorded.report('m', [[task(0), 1]]);
		for (let tick = 0; tick < 14; tick += 1) {
			recorded.pass(50);
			recorded.dispatcher.tick();
		}

		expect(recorded.stops.map(run => run.task)).toEqual([task(0)]);
	});

	test('a run whose job comes right after a pause of this process goes on', () => {
		const recorded = createRecorded([minionRecord('m')]);
		recorded.report('m', [[task(0), 1]]);
		recorded.pass(700);
		recorded.dispatcher.tick();
		recorded.submit(jobRequest(jobId, {mayHaveRun: true, submission: 1, objectiveDeadline: 2000}));
		expect(recorded.stops).toHaveLength(0);
		expect(recorded.starts).toHaveLength(0);
	});

	test('a run that has outlived its lease on a silent minion begins anew elsewhere', () => {
		const recorded = createRecorded([minionRecord('m1'), minionRecord('m2', {isDraining: true})]);
		recorded.report('m1');
		recorded.report('m2');
		recorded.submit(jobRequest(jobId, {objectiveDeadline: 9000, deadline: 9000}));
		recorded.dispatcher.noteStart(recorded.starts[0]!, startAnswer.started);
		recorded.dispatcher.setMinions([minionRecord('m1'), minionRecord('m2')]);
		recorded.dispatcher.noteUnreachable(recorded.minion('m1'));
		recorded.dispatcher.tick();
		expect(recorded.starts).toHaveLength(1);
		recorded.dispatcher.noteLapsed(recorded.minion('m1'));
		expect(recorded.starts.map(run => run.minion.record.id)).toEqual(['m1', 'm2']);
	});
});

describe('what a refusal says', () => {
	test('a job is refused at once with a time to come back where it can not begin in time', () => {
		const recorded = createRecorded([minionRecord('m')]);
		recorded.report('m');
		recorded.submit(jobRequest('00000000000000b1', {}, 30));
		const outcomes = recorded.submit(jobRequest('00000000000000b2', {priority: 1}));
		expect(outcomes).toEqual([{kind: outcomeKind.refused, reason: 'no room in time', retryAfterMs: expect.any(Number)}]);
	});

	test('minions that do not answer for a moment are still counted on', () => {
		const ids = ['m1', 'm2', 'm3', 'm4'];
		const recorded = createRecorded(ids.map(id => minionRecord(id)));
		for (const id of ids) {
			recorded.report(id);
			recorded.dispatcher.noteUnreachable(recorded.minion(id));
		}

		const outcomes = ['b1', 'b2', 'b3', 'b4', 'b5'].map((id, index) =>
			recorded.submit(jobRequest(`00000000000000${id}`, {objectiveDeadline: 200 + index})));
		expect(outcomes).toEqual([[], [], [], [], []]);
	});

	test('while a new dispatcher gets to know its minions, a job that is late already waits for them', () => {
		const recorded = createRecorded([]);
		recorded.pass(20);
		const outcomes = recorded.submit(jobRequest(jobId, {objectiveDeadline: 50}));
		recorded.dispatcher.tick();
		expect(outcomes).toEqual([]);
		recorded.dispatcher.setMinions([minionRecord('m')]);
		recorded.dispatcher.tick();
		expect(outcomes).toEqual([]);
		recorded.report('m');
		expect(recorded.starts).toHaveLength(1);
	});

	test('a job of which an order was sent is never refused', () => {
		const recorded = createRecorded([minionRecord('m')]);
		recorded.report('m');
		const outcomes = recorded.submit(jobRequest(jobId));
		recorded.dispatcher.noteStart(recorded.starts[0]!, startAnswer.unknown);
		recorded.pass(5000);
		recorded.dispatcher.tick();
		expect(outcomes.map(outcome => outcome.kind)).toEqual([outcomeKind.abandoned]);
	});

	test('a job that may have run under another dispatcher is never refused', () => {
		const recorded = createRecorded([]);
		const outcomes = recorded.submit(jobRequest(jobId, {mayHaveRun: true, submission: 1}));
		recorded.pass(5000);
		recorded.dispatcher.tick();
		expect(outcomes.map(outcome => outcome.kind)).toEqual([outcomeKind.abandoned]);
	});

	test('a job goes to another cell while that has room for all of it, and is refused once it is late', () => {
		const recorded = createRecorded([]);
		recorded.otherCells.push({cell: 'y', freeTasks: 3});
		expect(recorded.submit(jobRequest('00000000000000c1', {}, 2))).toEqual([{kind: outcomeKind.redirected, cell: 'y'}]);
		const outcomes = recorded.submit(jobRequest('00000000000000c2', {}, 2));
		recorded.pass(700);
		recorded.dispatcher.tick();
		expect(outcomes.map(outcome => outcome.kind)).toEqual([outcomeKind.refused]);
	});
});

describe('where a task may go', () => {
	test.each([
		['is draining', {isDraining: true}],
		['serves another upstream', {upstream: 'other'}],
	])('not to a minion that %s', (_, changes) => {
		const recorded = createRecorded([minionRecord('m', changes)]);
		recorded.report('m');
		recorded.submit(jobRequest(jobId));
		expect(recorded.starts).toHaveLength(0);
	});

	test('not to a minion without the label that the step requires', () => {
		const recorded = createRecorded([minionRecord('m1'), minionRecord('m2', {labels: ['b', 'r2']})]);
		recorded.report('m1');
		recorded.report('m2');
		const request = jobRequest(jobId);
		recorded.submit({...request, steps: [{...request.steps[0]!, requiredLabel: 'b'}]});
		expect(recorded.starts.map(run => run.minion.record.id)).toEqual(['m2']);
	});

	test('no more tasks of a step to one minion than it allows', () => {
		const recorded = createRecorded([minionRecord('m')]);
		recorded.report('m');
		const request = jobRequest(jobId, {}, 2);
		recorded.submit({...request, steps: [{...request.steps[0]!, maxPerMinion: 1}]});
		expect(recorded.starts).toHaveLength(1);
	});

	test('not before the tasks of earlier steps are done', () => {
		const recorded = createRecorded([minionRecord('m')]);
		recorded.report('m');
		const request = jobRequest(jobId);
		const outcomes = recorded.submit({...request, steps: [request.steps[0]!, {...request.steps[0]!, dependsOn: [0]}]});
		expect(recorded.starts.map(run => run.task)).toEqual([task(0)]);
		recorded.pass(10);
		recorded.report('m', [], [[task(0), 1, 'done']]);
		expect(recorded.starts.map(run => run.task)).toEqual([task(0), `${jobId}.0.1.0`]);
		recorded.pass(10);
		recorded.report('m', [], [[`${jobId}.0.1.0`, 1, 'done']]);
		expect(outcomes).toEqual([{kind: outcomeKind.completed}]);
	});

	test('a failed task goes to another minion, and fails its job after as many failures as the route allows', () => {
		const recorded = createRecorded([minionRecord('m1'), minionRecord('m2')]);
		recorded.report('m1');
		recorded.report('m2');
		const outcomes = recorded.submit(jobRequest(jobId));
		const first = recorded.starts[0]!.minion.record.id;
		recorded.pass(10);
		recorded.report(first, [], [[task(0), 1, 'failed']]);
		const second = recorded.starts[1]!.minion.record.id;
		expect(second).not.toBe(first);
		recorded.report(second, [], [[task(0), 2, 'failed']]);
		expect(outcomes.map(outcome => outcome.kind)).toEqual([outcomeKind.failed]);
	});

	test('a task that stands still is stopped once its minion has told so, and begins anew elsewhere only when its end is listed', () => {
		const recorded = createRecorded([minionRecord('m1'), minionRecord('m2')]);
		recorded.report('m1');
		recorded.report('m2');
		recorded.submit(jobRequest(jobId, {objectiveDeadline: 9000, deadline: 9000}));
		const run = recorded.starts[0]!;
		recorded.dispatcher.noteStart(run, startAnswer.started);
		recorded.pass(1000);
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

describe('a planned stop', () => {
	test('every job is given back with the tasks that are done, and nothing is stopped', () => {
		const recorded = createRecorded([minionRecord('m')]);
		recorded.report('m');
		const outcomes = recorded.submit(jobRequest(jobId, {}, 2));
		recorded.pass(10);
		recorded.report('m', [[task(1), 1]], [[task(0), 1, 'done']]);
		recorded.dispatcher.release();
		expect(outcomes).toEqual([{kind: outcomeKind.released, doneTasks: [task(0)]}]);
		expect(recorded.stops).toHaveLength(0);
		expect(recorded.submit(jobRequest('00000000000000dd'))).toEqual([{kind: outcomeKind.released, doneTasks: []}]);
	});
});
