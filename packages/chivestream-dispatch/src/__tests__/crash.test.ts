import {describe, expect, test} from '@jest/globals';
import {
	createRecordedDispatcher, jobRequest, leaseMs, minionRecord, type RecordedDispatcher,
} from '../__fixtures__/recorded-dispatcher.js';
import {
	crashEvidence, leaseExpiryMs, outcomeKind, startAnswer, type JobRequest, type Run,
} from '../index.js';

const deadlyId = '00000000000000aa';
const otherId = '00000000000000bb';

/** A job whose deadline leaves time for many runs. */
const longJob = (id: string, changes: Partial<JobRequest> = {}) => jobRequest(id, {
	objectiveDeadline: 60_000, deadline: 60_000, maxAttempts: 9, ...changes,
});

const createDispatcher = (minionIds: readonly string[]): RecordedDispatcher => {
	const recorded = createRecordedDispatcher(minionIds.map(id => minionRecord(id)));
	for (const id of minionIds) {
		recorded.report(id);
	}

	return recorded;
};

const runsOf = (recorded: RecordedDispatcher, id: string): Run[] => recorded.starts.filter(run => run.task.startsWith(id));

const confirm = (recorded: RecordedDispatcher, run: Run) => {
	recorded.dispatcher.handleStartAnswer(run, startAnswer.started);
};

/** Lets the minion of a run be silent until its lease has expired. */
const expireLease = (recorded: RecordedDispatcher, {minion}: Run) => {
	recorded.dispatcher.markUnreachable(minion);
	recorded.advance(leaseExpiryMs(leaseMs));
	recorded.dispatcher.handleLeaseExpiry(minion);
};

/** Confirms each new start of a job and restarts its minion, until the job is not started again. */
const crashEachMinion = (recorded: RecordedDispatcher, id: string, maxCrashes = 10) => {
	for (let crash = 0; crash < Math.min(maxCrashes, runsOf(recorded, id).length); crash += 1) {
		const run = runsOf(recorded, id)[crash]!;
		confirm(recorded, run);
		recorded.advance(10);
		recorded.restart(run.minion.record.id);
	}
};

/** Submits a job and returns the list to which the number of known crashes is added at each crash. */
const countCrashes = (recorded: RecordedDispatcher, request: JobRequest): number[] => {
	const counts: number[] = [];
	recorded.dispatcher.submit(request, () => undefined, (_, {incarnations}) => {
		counts.push(incarnations.length);
	});
	return counts;
};

describe('a task that crashes its minions', () => {
	test('is given up after two crashes, and its job fails', () => {
		const recorded = createDispatcher(['m1', 'm2', 'm3', 'm4', 'm5', 'm6']);
		const outcomes = recorded.submit(longJob(deadlyId));
		crashEachMinion(recorded, deadlyId);
		expect(runsOf(recorded, deadlyId)).toHaveLength(2);
		expect(outcomes).toMatchObject([{kind: outcomeKind.failed}]);
	});

	test('is given up after three crashes even if it was never alone on a minion', () => {
		const recorded = createDispatcher(['m1', 'm2', 'm3']);
		const neighbors = ['m1', 'm2', 'm3'].map((_, index) => longJob(`00000000000000c${index}`));
		for (const neighbor of neighbors) {
			recorded.submit(neighbor);
		}

		const task = `${deadlyId}.0.0.0`;
		const outcomes = recorded.submit(longJob(deadlyId, {
			crashes: {
				[task]: {
					incarnations: ['x@1', 'y@1'], wasAlone: false, isSuspect: false, isOnlySuspect: false,
				},
			},
		}));
		crashEachMinion(recorded, deadlyId);
		expect(runsOf(recorded, deadlyId)).toHaveLength(1);
		expect(outcomes).toMatchObject([{kind: outcomeKind.failed}]);
	});

	test('is not started for a job that is submitted again after it ended', () => {
		const recorded = createDispatcher(['m1', 'm2', 'm3']);
		recorded.submit(longJob(deadlyId));
		crashEachMinion(recorded, deadlyId);
		const outcomes = recorded.submit(longJob(deadlyId, {submission: 1, mayHaveRun: true}));
		expect(runsOf(recorded, deadlyId)).toHaveLength(2);
		expect(outcomes).toMatchObject([{kind: outcomeKind.failed}]);
	});

	test('crashes one more minion at the next dispatcher, which receives the first crash with the job', () => {
		const first = createDispatcher(['m1', 'm2']);
		const outcomes = first.submit(longJob(deadlyId));
		crashEachMinion(first, deadlyId, 1);
		first.dispatcher.release();
		const [outcome] = outcomes;
		const crashes = outcome?.kind === outcomeKind.released ? outcome.crashes : undefined;
		const next = createDispatcher(['n1', 'n2', 'n3', 'n4']);
		const nextOutcomes = next.submit(longJob(deadlyId, {submission: 1, mayHaveRun: true, ...(crashes !== undefined && {crashes})}));
		crashEachMinion(next, deadlyId);
		expect(runsOf(next, deadlyId)).toHaveLength(1);
		expect(nextOutcomes).toMatchObject([{kind: outcomeKind.failed}]);
	});

	test('is counted once for each incarnation, however often its crash is noticed', () => {
		const recorded = createDispatcher(['m1']);
		const counts = countCrashes(recorded, longJob(deadlyId));
		confirm(recorded, recorded.starts[0]!);
		recorded.dispatcher.handleCrash(recorded.minion('m1'), crashEvidence.stoppedListening);
		recorded.dispatcher.handleCrash(recorded.minion('m1'), crashEvidence.replaced);
		recorded.restart('m1');
		expect(counts).toEqual([1]);
	});

	test('is counted when the answer to its start was lost', () => {
		const recorded = createDispatcher(['m1']);
		const counts = countCrashes(recorded, longJob(deadlyId));
		recorded.dispatcher.handleStartAnswer(recorded.starts[0]!, startAnswer.unknown);
		recorded.restart('m1');
		expect(counts).toEqual([1]);
	});

	test('is counted when its minion went silent and the lease expired before the crash was noticed', () => {
		const recorded = createDispatcher(['m1', 'm2']);
		const counts = countCrashes(recorded, longJob(deadlyId));
		const [run] = recorded.starts;
		confirm(recorded, run!);
		expireLease(recorded, run!);
		recorded.restart(run!.minion.record.id);
		expect(counts).toEqual([1]);
	});
});

describe('the runs on a minion that has stopped listening', () => {
	test('are placed again at once, without waiting for the end of the lease', () => {
		const recorded = createDispatcher(['m1', 'm2']);
		recorded.submit(longJob(otherId));
		confirm(recorded, recorded.starts[0]!);
		recorded.dispatcher.handleCrash(recorded.starts[0]!.minion, crashEvidence.stoppedListening);
		expect(recorded.starts.map(run => run.minion.record.id)).toEqual(['m1', 'm2']);
	});

	test('are not placed again if their start got no answer, since a later incarnation may carry it out', () => {
		const recorded = createDispatcher(['m1', 'm2']);
		recorded.submit(longJob(otherId));
		recorded.dispatcher.handleStartAnswer(recorded.starts[0]!, startAnswer.unknown);
		recorded.dispatcher.handleCrash(recorded.starts[0]!.minion, crashEvidence.stoppedListening);
		expect(recorded.starts).toHaveLength(1);
	});

	test('leave no room in which waiting jobs are expected to run', () => {
		const recorded = createDispatcher(['m1', 'm2']);
		// A dispatcher that has just started does not know its capacity yet.
		recorded.advance(700);
		recorded.dispatcher.markUnreachable(recorded.minion('m1'));
		recorded.dispatcher.handleCrash(recorded.minion('m1'), crashEvidence.stoppedListening);
		recorded.submit(jobRequest(otherId, {objectiveDeadline: 60_000, deadline: 60_000}, 12));
		// Ten waiting tasks of 60 ms take 300 ms on one minion, and 150 ms on two.
		expect(recorded.submit(jobRequest(deadlyId, {objectiveDeadline: 1060}))).toMatchObject([{kind: outcomeKind.refused}]);
	});
});

describe('a minion without a crash', () => {
	test('that is only silent counts against none of its tasks', () => {
		const recorded = createDispatcher(['m1', 'm2', 'm3', 'm4']);
		const outcomes = recorded.submit(longJob(otherId));
		for (let index = 0; index < 4; index += 1) {
			const run = recorded.starts[index]!;
			confirm(recorded, run);
			expireLease(recorded, run);
			recorded.report(run.minion.record.id);
		}

		expect(outcomes).toEqual([]);
		expect(recorded.starts).toHaveLength(5);
	});

	test('that was silent until its lease had expired, and answers again, counts against none of its earlier tasks when it crashes later', () => {
		const recorded = createDispatcher(['m1', 'm2']);
		const counts = countCrashes(recorded, longJob(otherId));
		const [run] = recorded.starts;
		confirm(recorded, run!);
		expireLease(recorded, run!);
		recorded.report(run!.minion.record.id);
		recorded.restart(run!.minion.record.id);
		expect(counts).toEqual([]);
	});

	test('that leaves as planned counts against none of its tasks', () => {
		const recorded = createDispatcher(['m1']);
		const counts = countCrashes(recorded, longJob(otherId));
		confirm(recorded, recorded.starts[0]!);
		recorded.dispatcher.setMinions([minionRecord('m1', {isDraining: true})]);
		recorded.dispatcher.handleCrash(recorded.minion('m1'), crashEvidence.stoppedListening);
		expect(counts).toEqual([]);
	});
});

describe('a task that has completed', () => {
	test('is not given up when an earlier minion of it turns out to have crashed', () => {
		const recorded = createDispatcher(['m1', 'm2']);
		const outcomes = recorded.submit(longJob(otherId, {
			crashes: {
				[`${otherId}.0.0.0`]: {
					incarnations: ['x@1', 'y@1'], wasAlone: false, isSuspect: false, isOnlySuspect: false,
				},
			},
			steps: [longJob(otherId).steps[0]!, {...longJob(otherId).steps[0]!, dependsOn: [0]}],
		}));
		const [first] = recorded.starts;
		confirm(recorded, first!);
		expireLease(recorded, first!);
		const second = recorded.starts[1]!;
		confirm(recorded, second);
		recorded.report(second.minion.record.id, [], [[second.task, second.number, 'done']]);
		recorded.restart(first!.minion.record.id);
		expect(outcomes).toEqual([]);
	});
});

describe('a task beside one that crashes its minions', () => {
	test('is not given up, and completes', () => {
		const recorded = createDispatcher(['m1', 'm2', 'm3', 'm4']);
		const outcomes = recorded.submit(longJob(otherId));
		const deadlyOutcomes = recorded.submit(longJob(deadlyId));
		confirm(recorded, runsOf(recorded, otherId)[0]!);
		expect(runsOf(recorded, otherId)[0]!.minion).toBe(runsOf(recorded, deadlyId)[0]!.minion);
		crashEachMinion(recorded, deadlyId);
		const last = runsOf(recorded, otherId).at(-1)!;
		confirm(recorded, last);
		recorded.report(last.minion.record.id, [], [[last.task, last.number, 'done']]);
		expect(deadlyOutcomes).toMatchObject([{kind: outcomeKind.failed}]);
		expect(outcomes).toMatchObject([{kind: outcomeKind.completed}]);
	});

	test('no longer runs beside it after the first crash', () => {
		const recorded = createDispatcher(['m1', 'm2', 'm3']);
		recorded.submit(longJob(deadlyId));
		crashEachMinion(recorded, deadlyId, 1);
		const {minion} = runsOf(recorded, deadlyId)[1]!;
		for (let index = 0; index < 6; index += 1) {
			recorded.submit(longJob(`00000000000000c${index}`));
		}

		expect([...minion.runs.values()].map(run => run.task)).toEqual([`${deadlyId}.0.0.0`]);
		expect(recorded.starts).toHaveLength(6);
	});

	test('that ran for long before the crash is started again without waiting for an empty minion', () => {
		const recorded = createDispatcher(['m1', 'm2']);
		recorded.submit(longJob(otherId));
		recorded.advance(200);
		recorded.submit(longJob(deadlyId));
		recorded.submit(longJob('00000000000000c0'));
		for (const run of recorded.starts) {
			confirm(recorded, run);
		}

		const {minion} = runsOf(recorded, otherId)[0]!;
		expect(runsOf(recorded, deadlyId)[0]!.minion).toBe(minion);
		recorded.advance(10);
		recorded.dispatcher.markUnreachable(minion);
		recorded.dispatcher.handleCrash(minion, crashEvidence.stoppedListening);
		recorded.advance(leaseExpiryMs(leaseMs));
		recorded.dispatcher.handleLeaseExpiry(minion);
		expect([runsOf(recorded, otherId).length, runsOf(recorded, deadlyId).length]).toEqual([2, 1]);
	});
});

describe('a task that must run alone', () => {
	/** Ends the oldest run of a minion, if any. */
	const endOldestRun = (recorded: RecordedDispatcher, id: string) => {
		const [oldest, ...others] = recorded.minion(id).runs.values();
		if (oldest !== undefined) {
			recorded.advance(10);
			recorded.report(id, others.map(run => [run.task, run.number]), [[oldest.task, oldest.number, 'done']]);
		}
	};

	test('gets a minion while other tasks fill each slot that becomes free', () => {
		const recorded = createDispatcher(['m1', 'm2']);
		const crashes = {
			[`${deadlyId}.0.0.0`]: {
				incarnations: ['x@1'], wasAlone: false, isSuspect: true, isOnlySuspect: false,
			},
		};
		const others = Array.from({length: 20}, (_, index) => (index + 256).toString(16).padStart(16, '0'));
		for (const id of others.slice(0, 4)) {
			recorded.submit(longJob(id));
		}

		recorded.submit(longJob(deadlyId, {crashes}));
		for (const id of others.slice(4)) {
			recorded.submit(longJob(id));
		}

		for (let round = 0; round < 4 && runsOf(recorded, deadlyId).length === 0; round += 1) {
			for (const run of recorded.starts) {
				confirm(recorded, run);
			}

			endOldestRun(recorded, 'm1');
			endOldestRun(recorded, 'm2');
		}

		const [run] = runsOf(recorded, deadlyId);
		expect(run === undefined ? undefined : [...run.minion.runs.keys()]).toEqual([`${deadlyId}.0.0.0/1`]);
		expect(recorded.starts.length).toBeGreaterThan(6);
	});

	test('frees the minion that is kept for it when its job ends', () => {
		const recorded = createDispatcher(['m1']);
		const crashes = {
			[`${deadlyId}.0.0.0`]: {
				incarnations: ['x@1'], wasAlone: false, isSuspect: true, isOnlySuspect: false,
			},
		};
		recorded.submit(longJob(otherId));
		recorded.submit(longJob(deadlyId, {crashes}));
		recorded.submit(longJob('00000000000000c0'));
		expect(recorded.starts).toHaveLength(1);
		recorded.dispatcher.cancel(deadlyId);
		expect(recorded.starts).toHaveLength(2);
	});

	test('and has probably crashed a minion is started again only while several minions are empty', () => {
		const recorded = createDispatcher(['m1', 'm2', 'm3', 'm4']);
		recorded.submit(longJob(otherId));
		recorded.submit(longJob('00000000000000c0'));
		recorded.submit(longJob('00000000000000c1'));
		for (const run of recorded.starts) {
			confirm(recorded, run);
		}

		const crashes = {
			[`${deadlyId}.0.0.0`]: {
				incarnations: ['x@1'], wasAlone: false, isSuspect: true, isOnlySuspect: true,
			},
		};
		recorded.submit(longJob(deadlyId, {crashes}));
		expect(runsOf(recorded, deadlyId)).toHaveLength(0);
		const run = runsOf(recorded, '00000000000000c1')[0]!;
		recorded.advance(10);
		recorded.report(run.minion.record.id, [], [[run.task, run.number, 'done']]);
		expect(runsOf(recorded, deadlyId)).toHaveLength(1);
	});

	test('and has probably crashed a minion runs at last even if other tasks fill each slot that becomes free', () => {
		const recorded = createDispatcher(['m1', 'm2', 'm3', 'm4']);
		let lastJob = 256;
		const submitOthers = (count: number) => {
			for (let index = 0; index < count; index += 1) {
				lastJob += 1;
				recorded.submit(longJob(lastJob.toString(16).padStart(16, '0')));
			}
		};

		submitOthers(12);
		recorded.submit(longJob(deadlyId, {
			crashes: {
				[`${deadlyId}.0.0.0`]: {
					incarnations: ['x@1'], wasAlone: false, isSuspect: true, isOnlySuspect: true,
				},
			},
		}));
		const startedAfterMs: number[] = [];
		for (let elapsedMs = 0; elapsedMs < 10_000 && startedAfterMs.length === 0; elapsedMs += 40) {
			for (const id of ['m1', 'm2', 'm3', 'm4']) {
				for (const run of recorded.minion(id).runs.values()) {
					confirm(recorded, run);
				}

				submitOthers(1);
				endOldestRun(recorded, id);
			}

			recorded.dispatcher.tick();
			if (runsOf(recorded, deadlyId).length > 0) {
				startedAfterMs.push(elapsedMs);
			}
		}

		const [run] = runsOf(recorded, deadlyId);
		expect(run === undefined ? undefined : [...run.minion.runs.keys()]).toEqual([`${deadlyId}.0.0.0/1`]);
		expect(startedAfterMs[0]).toBeGreaterThan(1000);
	});

	test('and has probably crashed a minion does not count empty minions of other upstreams', () => {
		const other = ['o1', 'o2', 'o3'];
		const recorded = createRecordedDispatcher([
			...['m1', 'm2', 'm3', 'm4'].map(id => minionRecord(id)), ...other.map(id => minionRecord(id, {upstream: 'bench'})),
		]);
		for (const id of ['m1', 'm2', 'm3', 'm4', ...other]) {
			recorded.report(id);
		}

		for (let index = 0; index < 6; index += 1) {
			recorded.submit(longJob(`00000000000000c${index}`));
		}

		expect([...recorded.dispatcher.pool.minions.values()].filter(minion => minion.runs.size === 0)).toHaveLength(4);
		recorded.submit(longJob(deadlyId, {
			crashes: {
				[`${deadlyId}.0.0.0`]: {
					incarnations: ['x@1'], wasAlone: false, isSuspect: true, isOnlySuspect: true,
				},
			},
		}));
		expect(runsOf(recorded, deadlyId)).toHaveLength(0);
	});
});
