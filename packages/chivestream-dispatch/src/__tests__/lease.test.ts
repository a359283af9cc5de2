import {describe, expect, test} from '@jest/globals';
import {
	createRecordedDispatcher, jobRequest, leaseMs, minionRecord, type RecordedDispatcher,
} from '../__fixtures__/recorded-dispatcher.js';
import {
	endKind, jobLeaseMs, leaseExpiryMs, outcomeKind, runState, startAnswer, type JobRequest, type Outcome,
} from '../index.js';

const jobId = '00000000000000aa';
const otherId = '00000000000000bb';
const task = (index: number, id = jobId) => `${id}.0.0.${index}`;
const patient = (id: string, changes: Partial<JobRequest> = {}, count = 1) => jobRequest(id, {objectiveDeadline: 9000, deadline: 9000, ...changes}, count);

/** A dispatcher to which another host submits jobs; `extend` sets the end of the lease on all of them. */
const createLeased = (minions: string[]) => {
	const recorded = createRecordedDispatcher(minions.map(id => minionRecord(id)));
	let leaseEndsAt = jobLeaseMs(leaseMs);
	const outcomes: Outcome[] = [];
	return {
		...recorded,
		outcomes,
		extend(until: number) {
			leaseEndsAt = until;
			recorded.dispatcher.resume();
		},
		submitLeased(request: JobRequest) {
			recorded.dispatcher.submit(request, outcome => {
				outcomes.push(outcome);
			}, undefined, {origin: 'a', leaseEndsAt: () => leaseEndsAt});
		},
	};
};

/** When all runs under a lease that a minion is granted now have ended; undefined if it is not extended. */
const grantedUntil = ({dispatcher, minion, now}: RecordedDispatcher, id: string): number | undefined => {
	const grantedMs = dispatcher.grantLease(minion(id));
	return grantedMs === undefined ? undefined : now() + leaseExpiryMs(grantedMs);
};

describe('the lease on a job', () => {
	test('must be valid for a task to start, whenever the submission is read', () => {
		const recorded = createLeased(['m']);
		recorded.report('m');
		recorded.advance(2100);
		recorded.submitLeased(patient(jobId));
		recorded.dispatcher.tick();
		expect(recorded.starts).toHaveLength(0);
		expect(recorded.outcomes).toHaveLength(0);
		recorded.extend(recorded.now() + jobLeaseMs(leaseMs));
		expect(recorded.starts.map(run => run.task)).toEqual([task(0)]);
	});

	// A host that no minion answered, and no other host, held the jobs of its callers until they could not end in time.
	test('is not waited for while no minion takes tasks: the job is redirected at once', () => {
		const recorded = createLeased(['m']);
		recorded.report('m');
		recorded.advance(2100);
		recorded.dispatcher.markUnreachable(recorded.minion('m'));
		recorded.otherCells.push({cell: 'y', freeTasks: 8});
		recorded.submitLeased(patient(jobId));
		expect(recorded.outcomes).toEqual([{kind: outcomeKind.redirected, cell: 'y'}]);
	});

	test('is waited for until its host should have extended it, and then the job is redirected', () => {
		const recorded = createLeased(['m']);
		recorded.report('m');
		recorded.advance(2100);
		recorded.otherCells.push({cell: 'y', freeTasks: 8});
		recorded.submitLeased(patient(jobId));
		recorded.advance(299);
		recorded.dispatcher.tick();
		expect(recorded.outcomes).toEqual([]);
		recorded.advance(1);
		recorded.dispatcher.tick();
		expect(recorded.outcomes).toEqual([{kind: outcomeKind.redirected, cell: 'y'}]);
	});

	test('limits the lease of a minion that runs a task of the job, also for the tasks beside it', () => {
		const recorded = createLeased(['m']);
		recorded.report('m');
		recorded.advance(leaseExpiryMs(leaseMs));
		recorded.extend(recorded.now() + jobLeaseMs(leaseMs));
		recorded.submitLeased(patient(jobId));
		recorded.submit(patient(otherId));
		expect(recorded.starts).toHaveLength(2);
		recorded.extend(recorded.now() + 500);
		expect(grantedUntil(recorded, 'm')).toBeLessThanOrEqual(recorded.now() + 500);
		recorded.advance(500);
		expect(grantedUntil(recorded, 'm')).toBeUndefined();
		recorded.extend(recorded.now() + jobLeaseMs(leaseMs));
		expect(grantedUntil(recorded, 'm')).toBeGreaterThan(recorded.now() + 500);
	});

	test('keeps a task off a minion whose own lease ends later', () => {
		const recorded = createLeased(['m']);
		recorded.report('m');
		recorded.advance(leaseExpiryMs(leaseMs));
		recorded.submit(patient(otherId));
		recorded.dispatcher.grantLease(recorded.minion('m'));
		recorded.extend(recorded.now() + 800);
		recorded.submitLeased(patient(jobId));
		expect(recorded.starts.map(run => run.task)).toEqual([task(0, otherId)]);
	});

	test('lasts for the hosts of two copies only as long as both extend it', () => {
		const recorded = createLeased(['m']);
		recorded.report('m');
		recorded.submit(patient(jobId));
		recorded.submitLeased(patient(jobId));
		recorded.extend(recorded.now());
		expect(grantedUntil(recorded, 'm')).toBeUndefined();
		expect(grantedUntil(recorded, 'm')).toBeUndefined();
		recorded.extend(recorded.now() + jobLeaseMs(leaseMs));
		expect(grantedUntil(recorded, 'm')).toBeGreaterThan(recorded.now());
	});

	test('is that of the last submission of a host, also if an earlier one is read after it', () => {
		const recorded = createRecordedDispatcher([minionRecord('m')]);
		recorded.report('m');
		const ended = {origin: 'a', leaseEndsAt: () => 0};
		const valid = {origin: 'a', leaseEndsAt: () => Infinity};
		const outcomes: Outcome[] = [];
		const settle = (outcome: Outcome) => {
			outcomes.push(outcome);
		};

		recorded.dispatcher.submit(patient(jobId), settle, undefined, ended);
		recorded.dispatcher.submit(patient(jobId, {submission: 1}), settle, undefined, valid);
		expect(recorded.dispatcher.grantLease(recorded.minion('m'))).toBeDefined();
		recorded.dispatcher.submit(patient(jobId), settle, undefined, ended).drop();
		expect(outcomes.map(({kind}) => kind)).toEqual([outcomeKind.released]);
		expect(recorded.dispatcher.grantLease(recorded.minion('m'))).toBeDefined();
		recorded.dispatcher.submit(patient(jobId, {submission: 2}), settle, undefined, {origin: 'b', leaseEndsAt: () => 0});
		expect(recorded.dispatcher.grantLease(recorded.minion('m'))).toBeUndefined();
	});
});

describe('a run that no job asks for', () => {
	// A restarted dispatcher renewed the leases of its predecessor's runs while their callers sent the jobs to another zone.
	test('is not kept alive by the next dispatcher', () => {
		const recorded = createLeased(['m']);
		recorded.report('m', [[task(0), 1]]);
		expect(grantedUntil(recorded, 'm')).toBeUndefined();
		recorded.submit(patient(jobId));
		expect(grantedUntil(recorded, 'm')).toBeGreaterThan(recorded.now());
	});

	test('allows renewals again once the minion has confirmed its stop', () => {
		const recorded = createLeased(['m']);
		recorded.report('m');
		recorded.submit(patient(jobId));
		recorded.dispatcher.handleStartAnswer(recorded.starts[0]!, startAnswer.started);
		recorded.dispatcher.cancel(jobId);
		expect(recorded.starts[0]!.state).toBe(runState.stopping);
		expect(grantedUntil(recorded, 'm')).toBeUndefined();
		recorded.dispatcher.markStopConfirmed(recorded.stops[0]!);
		expect(grantedUntil(recorded, 'm')).toBeGreaterThan(recorded.now());
	});
});

describe('a job that another dispatcher had', () => {
	const previous = {claim: 7, leaseEndsAt: 1300};
	const claim = 9;

	// A successor without the entry of a minion started the tasks that ran there once more.
	test('waits with each task that may run on a minion which the next dispatcher does not know', () => {
		const recorded = createRecordedDispatcher([minionRecord('m')], claim);
		recorded.report('m');
		recorded.submit(patient(jobId, {submission: 1, mayHaveRun: true, previousSubmissions: [{...previous, minionsByTask: {[task(0)]: ['gone']}}]}, 2));
		expect(recorded.starts.map(run => run.task)).toEqual([task(1)]);
		recorded.advance(1299);
		recorded.dispatcher.tick();
		expect(recorded.starts).toHaveLength(1);
		recorded.advance(1);
		recorded.dispatcher.tick();
		expect(recorded.starts.map(run => run.task)).toEqual([task(1), task(0)]);
	});

	// The report of the incarnation before counted as one of the minion, which has received no token since.
	test('waits for a report of a minion that has restarted', () => {
		const recorded = createRecordedDispatcher([minionRecord('m'), minionRecord('n')], claim);
		recorded.report('m');
		recorded.report('n');
		recorded.dispatcher.recordIncarnation(recorded.minion('n'), 2);
		recorded.submit(patient(jobId, {submission: 1, mayHaveRun: true, previousSubmissions: [{...previous, minionsByTask: {[task(0)]: ['n']}}]}));
		expect(recorded.starts).toHaveLength(0);
		recorded.report('n');
		expect(recorded.starts).toHaveLength(1);
	});

	test('keeps the run on an unregistered minion that its dispatcher has passed on', () => {
		const recorded = createRecordedDispatcher([minionRecord('m')], claim);
		recorded.report('m');
		recorded.dispatcher.setMinions([minionRecord('m')], [minionRecord('gone')]);
		recorded.submit(patient(jobId, {submission: 1, mayHaveRun: true, previousSubmissions: [{...previous, minionsByTask: {[task(0)]: ['gone']}}]}));
		recorded.dispatcher.setMinions([minionRecord('m')]);
		recorded.report('gone', [[task(0), 1]]);
		recorded.dispatcher.tick();
		expect(recorded.starts).toHaveLength(0);
		expect(recorded.minion('gone').runs.size).toBe(1);
	});

	test('waits for the end of its lease if the minions of its lost dispatcher are not known', () => {
		const recorded = createRecordedDispatcher([minionRecord('m')], claim);
		recorded.setRegistryComplete(false);
		recorded.report('m');
		recorded.submit(patient(jobId, {submission: 1, mayHaveRun: true, previousSubmissions: [previous]}));
		recorded.advance(1299);
		recorded.dispatcher.tick();
		expect(recorded.starts).toHaveLength(0);
		recorded.setRegistryComplete(true);
		recorded.dispatcher.tick();
		expect(recorded.starts).toHaveLength(1);
	});

	// The minions had reported to this dispatcher before another one started the task.
	test('waits for the end of its lease if a later claim had it', () => {
		const recorded = createRecordedDispatcher([minionRecord('m')], previous.claim - 1);
		recorded.report('m');
		recorded.submit(patient(jobId, {submission: 1, mayHaveRun: true, previousSubmissions: [{...previous, minionsByTask: {[task(0)]: ['m']}}]}));
		recorded.advance(1299);
		recorded.dispatcher.tick();
		expect(recorded.starts).toHaveLength(0);
		recorded.advance(1);
		recorded.dispatcher.tick();
		expect(recorded.starts).toHaveLength(1);
	});

	test('does not wait for runs that the same dispatcher has started', () => {
		const recorded = createRecordedDispatcher([minionRecord('m')], previous.claim);
		recorded.setRegistryComplete(false);
		recorded.report('m');
		recorded.submit(patient(jobId, {submission: 1, mayHaveRun: true, previousSubmissions: [previous]}));
		expect(recorded.starts).toHaveLength(1);
	});
});

describe('a copy of a job that comes before the submission with its history', () => {
	const claim = 9;
	const history = {
		submission: 1, mayHaveRun: true, previousSubmissions: [{claim: 7, leaseEndsAt: 1300, minionsByTask: {[task(0)]: ['silent']}}],
	};
	const origin = (name: string) => ({origin: name, leaseEndsAt: () => Infinity});
	const noCrashes = () => undefined;

	/** A new dispatcher that has the copy and the history of a job, and a minion that runs its first task and doesn't answer. */
	const submitBoth = (request: Partial<JobRequest> = {}, isDraining = false) => {
		const recorded = createRecordedDispatcher([minionRecord('m', {isDraining}), minionRecord('silent')], claim);
		const outcomes: Outcome[] = [];
		recorded.dispatcher.submit(patient(jobId, {}, 2), outcome => {
			outcomes.push(outcome);
		}, noCrashes, origin('b'));
		recorded.dispatcher.submit(patient(jobId, {...history, ...request}, 2), () => undefined, noCrashes, origin('a'));
		recorded.dispatcher.markUnreachable(recorded.minion('silent'));
		recorded.report('m');
		return {recorded, outcomes};
	};

	// The history was dropped, and the copy counted as a new job as soon as the other minions had reported.
	test('waits with each task that may run on a silent minion', () => {
		const {recorded} = submitBoth();
		expect(recorded.starts.map(run => [run.task, run.number])).toEqual([[task(1), 33]]);
		recorded.advance(1299);
		recorded.dispatcher.tick();
		expect(recorded.starts).toHaveLength(1);
		recorded.advance(1);
		recorded.dispatcher.tick();
		expect(recorded.starts.map(run => [run.task, run.number])).toEqual([[task(1), 33], [task(0), 33]]);
	});

	test('is never refused as not run', () => {
		const {recorded, outcomes} = submitBoth({}, true);
		recorded.advance(20_000);
		recorded.dispatcher.tick();
		expect(outcomes.map(({kind}) => kind)).toEqual([outcomeKind.abandoned]);
	});

	test('does not run a task again that was done', () => {
		const {recorded} = submitBoth({doneTasks: [task(0)]});
		recorded.advance(1300);
		recorded.dispatcher.tick();
		expect(recorded.starts.map(run => run.task)).toEqual([task(1)]);
	});

	// The host with the copy would have taken it for one without runs, and submitted it to another cell at once.
	test('is released without a list of minions while it waits for one', () => {
		const {recorded, outcomes} = submitBoth();
		recorded.dispatcher.release();
		expect(outcomes).toEqual([{kind: outcomeKind.released, doneTasks: []}]);
	});
});

describe('a submission with a history that comes when a copy has started', () => {
	const origin = (name: string) => ({origin: name, leaseEndsAt: () => Infinity});
	const ignore = () => undefined;

	/** A dispatcher that runs both tasks of a copy. */
	const startCopy = () => {
		const recorded = createRecordedDispatcher([minionRecord('m')], 9);
		recorded.report('m');
		recorded.dispatcher.submit(patient(jobId, {}, 2), ignore, ignore, origin('b'));
		for (const run of recorded.starts) {
			recorded.dispatcher.handleStartAnswer(run, startAnswer.started);
		}

		recorded.advance(10);
		return recorded;
	};

	const addHistory = ({dispatcher}: RecordedDispatcher, history: Partial<JobRequest>) => {
		dispatcher.submit(patient(jobId, {
			submission: 1, mayHaveRun: true, previousSubmissions: [], ...history,
		}, 2), ignore, ignore, origin('a'));
	};

	test('leaves a task done whose run is listed by the late answer to an earlier poll', () => {
		const recorded = startCopy();
		recorded.dispatcher.handleReport(recorded.minion('m'), {
			polledAt: recorded.now(), running: [{task: task(1), number: 1, progress: 0}], ended: [{task: task(0), number: 1, kind: endKind.done}],
		});
		recorded.dispatcher.handleReport(recorded.minion('m'), {
			polledAt: recorded.now() - 5, running: [0, 1].map(index => ({task: task(index), number: 1, progress: 0})), ended: [],
		});
		addHistory(recorded, {});
		recorded.advance(10);
		recorded.report('m', [[task(1), 1]]);
		expect(recorded.starts).toHaveLength(2);
	});

	test('stops the run of a task that was done before', () => {
		const recorded = startCopy();
		addHistory(recorded, {doneTasks: [task(0)]});
		expect(recorded.stops.map(run => run.task)).toEqual([task(0)]);
		recorded.advance(10);
		recorded.report('m', [[task(1), 1]], [[task(0), 1, 'interrupted']]);
		recorded.dispatcher.tick();
		expect(recorded.starts).toHaveLength(2);
	});

	test('ends the job if a task of it has crashed too many minions before', () => {
		const recorded = createRecordedDispatcher([minionRecord('m')], 9);
		const outcomes = recorded.submit(patient(jobId, {}, 2));
		addHistory(recorded, {
			crashes: {
				[task(0)]: {
					incarnations: ['x@1', 'y@1', 'z@1'], wasAlone: true, isSuspect: true, isOnlySuspect: true,
				},
			},
		});
		expect(outcomes.map(({kind}) => kind)).toEqual([outcomeKind.failed]);
	});

	// Each host knows only its own history, and takes an empty list for a job without runs.
	test('lets a release name no minions while a run that the history names is not known', () => {
		const recorded = createRecordedDispatcher([minionRecord('m'), minionRecord('silent')], 9);
		const outcomes: Outcome[] = [];
		recorded.dispatcher.submit(patient(jobId, {submission: 1, mayHaveRun: true, previousSubmissions: [{claim: 7, leaseEndsAt: 5}]}, 2), outcome => {
			outcomes.push(outcome);
		}, ignore, origin('b'));
		addHistory(recorded, {previousSubmissions: [{claim: 8, leaseEndsAt: 1300, minionsByTask: {[task(0)]: ['silent'], [task(1)]: ['silent']}}]});
		recorded.dispatcher.markUnreachable(recorded.minion('silent'));
		recorded.report('m');
		recorded.dispatcher.release();
		expect(outcomes).toEqual([{kind: outcomeKind.released, doneTasks: []}]);
	});

	// The remaining host doesn't know the history of the other one.
	test('lets a release name no minions either once the host with that history has left', () => {
		const recorded = createRecordedDispatcher([minionRecord('m'), minionRecord('silent')], 9);
		const outcomes: Outcome[] = [];
		recorded.dispatcher.submit(patient(jobId, {submission: 1, mayHaveRun: true, previousSubmissions: [{claim: 7, leaseEndsAt: 5}]}, 2), outcome => {
			outcomes.push(outcome);
		}, ignore, origin('b'));
		recorded.dispatcher.submit(patient(jobId, {
			submission: 1, mayHaveRun: true, previousSubmissions: [{claim: 8, leaseEndsAt: 1300, minionsByTask: {[task(0)]: ['silent'], [task(1)]: ['silent']}}],
		}, 2), ignore, ignore, origin('a')).cancel();
		recorded.dispatcher.markUnreachable(recorded.minion('silent'));
		recorded.report('m');
		recorded.dispatcher.release();
		expect(outcomes).toEqual([{kind: outcomeKind.released, doneTasks: []}]);
	});
});

describe('a job that its caller sends again at once', () => {
	// The caller's connection was reset while the request was on its way; the copy reached another host.
	test('goes on for the second host when the first one notices that its caller has left', () => {
		const recorded = createRecordedDispatcher([minionRecord('m')]);
		recorded.report('m');
		const outcomes: Outcome[] = [];
		const first = recorded.dispatcher.submit(patient(jobId), () => undefined, undefined, {origin: 'a', leaseEndsAt: () => Infinity});
		const second = recorded.dispatcher.submit(patient(jobId), outcome => {
			outcomes.push(outcome);
		}, undefined, {origin: 'b', leaseEndsAt: () => Infinity});
		first.cancel();
		expect(outcomes).toHaveLength(0);
		expect(recorded.starts).toHaveLength(1);
		expect(recorded.stops).toHaveLength(0);
		recorded.dispatcher.handleStartAnswer(recorded.starts[0]!, startAnswer.started);
		second.cancel();
		expect(outcomes.map(({kind}) => kind)).toEqual([outcomeKind.abandoned]);
		expect(recorded.stops).toHaveLength(1);
	});

	test('ends for both hosts when one of them is lost, since that one may submit it elsewhere', () => {
		const recorded = createRecordedDispatcher([minionRecord('m')]);
		recorded.report('m');
		const outcomes: Outcome[] = [];
		const first = recorded.dispatcher.submit(patient(jobId), () => undefined, undefined, {origin: 'a', leaseEndsAt: () => Infinity});
		recorded.dispatcher.submit(patient(jobId), outcome => {
			outcomes.push(outcome);
		}, undefined, {origin: 'b', leaseEndsAt: () => Infinity});
		first.drop();
		expect(outcomes).toEqual([{kind: outcomeKind.abandoned, reason: 'the host a that submitted the job was lost'}]);
	});

	test('follows the first copy to the cell to which that was redirected', () => {
		const recorded = createRecordedDispatcher([minionRecord('m', {isDraining: true})]);
		recorded.report('m');
		recorded.otherCells.push({cell: 'y', freeTasks: 1}, {cell: 'x', freeTasks: 9});
		expect(recorded.submit(patient(otherId, {}, 3))).toEqual([{kind: outcomeKind.redirected, cell: 'x'}]);
		recorded.otherCells[0]!.freeTasks = 9;
		expect(recorded.submit(patient(otherId, {}, 3))).toEqual([{kind: outcomeKind.redirected, cell: 'x', mayRunForMs: jobLeaseMs(leaseMs)}]);
		recorded.advance(jobLeaseMs(leaseMs));
		expect(recorded.submit(patient(otherId, {}, 3))).toEqual([{kind: outcomeKind.redirected, cell: 'y'}]);
	});
});

describe('a job that names no earlier submission, at a new dispatcher', () => {
	// The host that held the caller's connection was also the dispatcher, and was killed: only its minions know of the first run.
	test('starts only when every minion has reported its runs', () => {
		const recorded = createRecordedDispatcher([minionRecord('m1'), minionRecord('m2')]);
		recorded.submit(patient(jobId));
		recorded.report('m1');
		expect(recorded.starts).toHaveLength(0);
		recorded.report('m2', [[task(0), 1]]);
		expect(recorded.starts).toHaveLength(0);
		expect(recorded.stops).toHaveLength(0);
		recorded.submit(patient(otherId));
		expect(recorded.starts.map(run => run.task)).toEqual([task(0, otherId)]);
	});

	test('does not wait for a minion that does not answer', () => {
		const recorded = createRecordedDispatcher([minionRecord('m1'), minionRecord('m2')]);
		recorded.report('m1');
		recorded.submit(patient(jobId));
		recorded.dispatcher.tick();
		expect(recorded.starts).toHaveLength(0);
		recorded.dispatcher.markUnreachable(recorded.minion('m2'));
		recorded.dispatcher.tick();
		expect(recorded.starts).toHaveLength(1);
	});

	test('waits no longer than the longest lease while no minion is known', () => {
		const recorded = createRecordedDispatcher([]);
		recorded.otherCells.push({cell: 'y', freeTasks: 9});
		const outcomes = recorded.submit(patient(jobId));
		recorded.advance(leaseExpiryMs(leaseMs) - 1);
		recorded.dispatcher.tick();
		expect(outcomes).toEqual([]);
		recorded.advance(1);
		recorded.dispatcher.tick();
		expect(outcomes).toEqual([{kind: outcomeKind.redirected, cell: 'y'}]);
	});

	// The copy went to a cell with free capacity at once, while the first run was alive.
	test('is neither redirected nor refused as not run before that', () => {
		const recorded = createRecordedDispatcher([minionRecord('m1'), minionRecord('m2')]);
		recorded.report('m1');
		recorded.otherCells.push({cell: 'y', freeTasks: 9});
		const outcomes = recorded.submit(patient(jobId, {}, 5));
		recorded.dispatcher.tick();
		expect(outcomes).toEqual([]);
		recorded.report('m2');
		recorded.dispatcher.tick();
		expect(recorded.starts).toHaveLength(4);
		expect(outcomes).toEqual([]);
		const late = createRecordedDispatcher([minionRecord('m1'), minionRecord('m2')]);
		late.report('m1');
		const lateOutcomes = late.submit(jobRequest(jobId));
		late.advance(700);
		late.dispatcher.tick();
		expect(lateOutcomes.map(({kind}) => kind)).toEqual([outcomeKind.abandoned]);
	});

	// The tasks that found no minion would have started in the other cell together with the one that runs here.
	test('stays here if a minion reports a run of one of its tasks after its submission', () => {
		const full = {millicores: 14_000, memoryMb: 1024, accelerators: 0};
		const recorded = createRecordedDispatcher([minionRecord('m1'), minionRecord('m2', {capacity: full})]);
		recorded.report('m1', [[task(0, otherId), 1]]);
		recorded.otherCells.push({cell: 'y', freeTasks: 9});
		const outcomes = recorded.submit(patient(jobId, {}, 5));
		recorded.report('m2', [[task(0), 1]]);
		recorded.dispatcher.tick();
		expect(outcomes).toEqual([]);
		expect(recorded.stops).toHaveLength(0);
	});

	// Its release said that none of its tasks runs, although some minions had not reported their runs yet.
	test('is released without saying where its tasks may run', () => {
		const recorded = createRecordedDispatcher([minionRecord('m1'), minionRecord('m2')]);
		recorded.report('m1');
		const outcomes = recorded.submit(patient(jobId));
		recorded.dispatcher.release();
		expect(outcomes).toEqual([{kind: outcomeKind.released, doneTasks: []}]);
	});
});

describe('a minion at another address', () => {
	test('is asked to stop a run again whose start has got no answer there', () => {
		const recorded = createRecordedDispatcher([minionRecord('m')]);
		recorded.report('m');
		recorded.submit(patient(jobId));
		recorded.dispatcher.handleNewSession(recorded.minion('m'));
		expect(recorded.stops).toHaveLength(1);
		recorded.dispatcher.handleNewSession(recorded.minion('m'));
		expect(recorded.stops).toHaveLength(2);
		recorded.dispatcher.markStopConfirmed(recorded.stops[1]!);
		recorded.dispatcher.cancel(jobId);
		expect(grantedUntil(recorded, 'm')).toBeGreaterThan(recorded.now());
	});
});

test('a task is not started after the deadline of its job', () => {
	const recorded = createRecordedDispatcher([minionRecord('m')]);
	recorded.submit(jobRequest(jobId));
	recorded.advance(2001);
	recorded.report('m');
	expect(recorded.starts).toHaveLength(0);
});
