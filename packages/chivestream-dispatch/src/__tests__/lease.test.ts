import {describe, expect, test} from '@jest/globals';
import {
	createRecordedDispatcher, jobRequest, leaseMs, minionRecord,
} from '../__fixtures__/recorded-dispatcher.js';
import {
	jobLeaseMs, leaseExpiryMs, runState, startAnswer, type JobRequest, type Outcome,
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
			}, undefined, () => leaseEndsAt);
		},
	};
};

/** When all runs under a lease that a minion is granted now have ended; undefined if it is not extended. */
const grantedUntil = ({dispatcher, minion, now}: ReturnType<typeof createLeased>, id: string): number | undefined => {
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
		recorded.submit(patient(jobId, {submission: 1}));
		expect(grantedUntil(recorded, 'm')).toBeGreaterThan(recorded.now());
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

	// A successor without the entry of a minion started the tasks that ran there once more.
	test('waits with each task that may run on a minion which the next dispatcher does not know', () => {
		const recorded = createRecordedDispatcher([minionRecord('m')]);
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

	test('keeps the run on an unregistered minion that its dispatcher has passed on', () => {
		const recorded = createRecordedDispatcher([minionRecord('m')]);
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
		const recorded = createRecordedDispatcher([minionRecord('m')]);
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

	test('does not wait for runs that the same dispatcher has started', () => {
		const recorded = createRecordedDispatcher([minionRecord('m')], previous.claim);
		recorded.setRegistryComplete(false);
		recorded.report('m');
		recorded.submit(patient(jobId, {submission: 1, mayHaveRun: true, previousSubmissions: [previous]}));
		expect(recorded.starts).toHaveLength(1);
	});
});

test('a task is not started after the deadline of its job', () => {
	const recorded = createRecordedDispatcher([minionRecord('m')]);
	recorded.submit(jobRequest(jobId));
	recorded.advance(2001);
	recorded.report('m');
	expect(recorded.starts).toHaveLength(0);
});
