import {describe, expect, test} from '@jest/globals';
import {
	createRecordedDispatcher, jobRequest, leaseMs, minionRecord,
} from '../__fixtures__/recorded-dispatcher.js';
import {
	jobLeaseMs, outcomeKind, type JobRequest, type MinionRecord, type Outcome,
} from '../index.js';

const jobId = '00000000000000aa';
const otherId = '00000000000000bb';
const task = (id: string) => `${id}.0.0.0`;
const patient = (id: string, changes: Partial<JobRequest> = {}) => jobRequest(id, {objectiveDeadline: 9000, deadline: 9000, ...changes});
const answersDueAt = 300;

/** A new dispatcher whose minion runs nothing, and which has asked the dispatchers of the cells `x` and `y`. */
const createAsking = (changes: Partial<MinionRecord> = {}) => {
	const recorded = createRecordedDispatcher([minionRecord('m', changes)]);
	recorded.dispatcher.awaitJobsElsewhere(['x', 'y'], answersDueAt);
	recorded.report('m');
	return recorded;
};

// The host that was lost was the dispatcher, held the caller's connection, and had redirected the job: only the dispatcher of the other cell
// knows of the first run.
describe('a job that names no earlier submission, at a new dispatcher that has asked others for the jobs of its cell', () => {
	test('follows the first copy to the cell whose dispatcher names it', () => {
		const recorded = createAsking();
		const outcomes = recorded.submit(patient(jobId));
		recorded.dispatcher.tick();
		expect(recorded.starts).toHaveLength(0);
		recorded.dispatcher.handleJobsElsewhere([{cell: 'x', ids: []}]);
		expect(recorded.starts).toHaveLength(0);
		recorded.dispatcher.handleJobsElsewhere([{cell: 'y', ids: [jobId]}]);
		const following = [{kind: outcomeKind.redirected, cell: 'y', mayRunForMs: jobLeaseMs(leaseMs)}];
		expect(outcomes).toEqual(following);
		expect(recorded.submit(patient(jobId))).toEqual(following);
		recorded.advance(jobLeaseMs(leaseMs));
		recorded.submit(patient(jobId));
		expect(recorded.starts.map(run => run.task)).toEqual([task(jobId)]);
	});

	test('starts once all have answered, if none names it', () => {
		const recorded = createAsking();
		const outcomes = recorded.submit(patient(jobId));
		recorded.dispatcher.handleJobsElsewhere([{cell: 'y', ids: [otherId]}, {cell: 'x', ids: []}]);
		expect(recorded.starts.map(run => run.task)).toEqual([task(jobId)]);
		expect(outcomes).toEqual([]);
	});

	test('waits neither for a cell that can not be reached nor beyond the time for answers', () => {
		const cut = createAsking();
		cut.submit(patient(jobId));
		cut.dispatcher.handleJobsElsewhere([{cell: 'x', ids: []}]);
		cut.dispatcher.retainAskedCells(new Set(['x', 'y']));
		expect(cut.starts).toHaveLength(0);
		cut.dispatcher.retainAskedCells(new Set(['x']));
		expect(cut.starts).toHaveLength(1);
		const silent = createAsking();
		silent.submit(patient(jobId));
		silent.advance(answersDueAt - 1);
		silent.dispatcher.tick();
		expect(silent.starts).toHaveLength(0);
		silent.advance(1);
		silent.dispatcher.tick();
		expect(silent.starts).toHaveLength(1);
	});

	test('starts beside log lines that name the cells without an answer, once each', () => {
		const {dispatcher, events, advance} = createAsking();
		dispatcher.retainAskedCells(new Set(['x']));
		advance(answersDueAt);
		dispatcher.tick();
		dispatcher.tick();
		expect(events.filter(({event}) => event === 'jobs-elsewhere-unknown').map(({fields}) => fields)).toEqual([
			{cells: ['y'], reason: 'no dispatcher in reach', claim: 1},
			{cells: ['x'], reason: 'no answer in time', claim: 1},
		]);
	});

	test('is neither redirected for want of room nor refused as not run before that', () => {
		const recorded = createAsking({isDraining: true});
		recorded.otherCells.push({cell: 'z', freeTasks: 9});
		const outcomes = recorded.submit(patient(jobId));
		const late = recorded.submit(jobRequest(otherId, {deadline: 250}));
		recorded.dispatcher.tick();
		expect(outcomes).toEqual([]);
		recorded.advance(251);
		recorded.dispatcher.tick();
		expect(late.map(({kind}) => kind)).toEqual([outcomeKind.abandoned]);
		recorded.dispatcher.handleJobsElsewhere([{cell: 'x', ids: []}, {cell: 'y', ids: []}]);
		recorded.dispatcher.tick();
		expect(outcomes).toEqual([{kind: outcomeKind.redirected, cell: 'z'}]);
	});

	test('stays if a task of it has run here', () => {
		const recorded = createAsking();
		const outcomes = recorded.submit(patient(jobId));
		recorded.report('m', [[task(jobId), 1]]);
		recorded.dispatcher.handleJobsElsewhere([{cell: 'x', ids: []}, {cell: 'y', ids: [jobId]}]);
		expect(outcomes).toEqual([]);
		expect(recorded.stops).toHaveLength(0);
	});

	test('does not hold up jobs with a history, which name the dispatcher before', () => {
		const recorded = createAsking();
		recorded.submit(patient(jobId, {
			submission: 1, mayHaveRun: true, previousSubmissions: [{claim: 0, leaseEndsAt: 0, minionsByTask: {}}],
		}));
		expect(recorded.starts).toHaveLength(1);
	});
});

// The dispatcher before was lost, or has released the cell, before it knew whether the first submission was a copy.
describe('a job whose history may lack a submission, at a new dispatcher that has asked others for the jobs of its cell', () => {
	const resubmitted = patient(jobId, {
		submission: 1, mayHaveRun: true, hasUnknownHistory: true, previousSubmissions: [{claim: 0, leaseEndsAt: 0, minionsByTask: {}}],
	});

	test('starts once all have answered, if none names it', () => {
		const recorded = createAsking();
		recorded.submit(resubmitted);
		expect(recorded.starts).toHaveLength(0);
		recorded.dispatcher.handleJobsElsewhere([{cell: 'y', ids: [otherId]}, {cell: 'x', ids: []}]);
		expect(recorded.starts.map(run => run.task)).toEqual([task(jobId)]);
	});

	test('waits there until the leases in the cell that names it have ended', () => {
		const recorded = createAsking();
		const outcomes = recorded.submit(resubmitted);
		recorded.dispatcher.handleJobsElsewhere([{cell: 'y', ids: [jobId]}, {cell: 'x', ids: []}]);
		recorded.advance(jobLeaseMs(leaseMs) - 1);
		recorded.dispatcher.tick();
		expect(recorded.starts).toHaveLength(0);
		recorded.advance(1);
		recorded.dispatcher.tick();
		expect(recorded.starts.map(run => run.task)).toEqual([task(jobId)]);
		expect(outcomes).toEqual([]);
	});

	test('is released as such until all have answered', () => {
		for (const [answers, hasUnknownHistory] of [[[], true], [[{cell: 'x', ids: []}, {cell: 'y', ids: []}], undefined]] as const) {
			const recorded = createAsking();
			const outcomes = recorded.submit(resubmitted);
			recorded.dispatcher.handleJobsElsewhere(answers.map(({cell}) => ({cell, ids: []})));
			recorded.dispatcher.release();
			expect(outcomes.map(outcome => 'hasUnknownHistory' in outcome ? outcome.hasUnknownHistory : undefined)).toEqual([hasUnknownHistory]);
		}
	});
});

test('a job that waits for its copy in another cell is released as such, and names no minions', () => {
	const recorded = createRecordedDispatcher([minionRecord('m', {isDraining: true})]);
	recorded.report('m');
	recorded.otherCells.push({cell: 'x', freeTasks: 9});
	const outcomes: Outcome[] = [];
	const submit = (origin: string, submission: number) => {
		recorded.dispatcher.submit(patient(jobId, {submission}), outcome => {
			outcomes.push(outcome);
		}, undefined, {origin, leaseEndsAt: () => Infinity});
	};

	submit('first', 0);
	submit('copy', 0);
	submit('first', 1);
	expect(outcomes).toHaveLength(2);
	recorded.dispatcher.tick();
	recorded.dispatcher.release();
	expect(outcomes[2]).toEqual({kind: outcomeKind.released, doneTasks: [], hasUnknownHistory: true});
});

describe('a dispatcher that is asked for the jobs of another cell', () => {
	test('names those that were redirected from there, and those of which only runs are known', () => {
		const recorded = createRecordedDispatcher([minionRecord('m')]);
		recorded.report('m', [[task(jobId), 33]]);
		recorded.submit(patient(otherId, {submission: 1, homeCell: 'x'}));
		recorded.submit(patient('00000000000000cc'));
		recorded.submit(patient('00000000000000dd', {submission: 1, homeCell: 'y'}));
		expect(recorded.dispatcher.jobsOfCell('x')).toEqual([otherId, jobId]);
	});

	test('names a job of its own cell of which a copy was redirected', () => {
		const recorded = createRecordedDispatcher([minionRecord('m')]);
		recorded.report('m');
		recorded.submit(patient(jobId));
		recorded.submit(patient(jobId, {submission: 1, homeCell: 'x'}));
		expect(recorded.dispatcher.jobsOfCell('x')).toEqual([jobId]);
	});

	test('does not answer before its minions have reported their runs', () => {
		const recorded = createRecordedDispatcher([minionRecord('m')]);
		expect(recorded.dispatcher.jobsOfCell('x')).toBeUndefined();
		recorded.report('m');
		expect(recorded.dispatcher.jobsOfCell('x')).toEqual([]);
	});
});
