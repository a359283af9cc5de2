/** Cost and size of the lending payload in a heartbeat between two hosts of a zone. */
import {
	attemptOutcome, Failure, failureCode, type AttemptResult,
} from 'chivestream-core';
import {createLending} from 'chivestream-entry';
import {defaultLendingPolicies, type Scheduler} from 'chivestream-placement';
import {measureSlopes, type Sampling, type Slope} from '../slope.js';
import {measureCpuMs} from '../usage.js';
import {sampleUpstream} from './sample-declarations.js';
import {bindAll, createSizedScheduler, createTasks} from './scheduler.js';

const coresPerTask = 8;
const tasksPerTarget = 4;
const runMs = 130;
const grantMs = 4000;
const holdOffMs = 60_000;
const receiver = 'entry-1';
const lender = 'entry-2';
const answered: AttemptResult = {outcome: attemptOutcome.answered, isSuccess: true, result: 1};
const lost: AttemptResult = {
	outcome: attemptOutcome.unknown,
	failure: new Failure(failureCode.taskUnknown, 'lost', {step: 'run-task', peer: 'worker'}),
};

type SizedScheduler = ReturnType<typeof createSizedScheduler>;

/** Runs four tasks on each target. The first is answered and the others are lost, so that each target is quarantined. */
const quarantineTargets = async ({clock, scheduler}: SizedScheduler, targets: number) => {
	scheduler.enqueue(createTasks(targets * tasksPerTarget, clock.now(), {size: 1, cores: coresPerTask}));
	const bound = bindAll(scheduler);
	await clock.advance(runMs);
	const answeredTargets = new Set<string>();
	for (const assignment of bound) {
		scheduler.settle(assignment, answeredTargets.has(assignment.targetId) ? lost : answered);
		answeredTargets.add(assignment.targetId);
	}
};

/** Borrows one slot of each target from the lender. */
const borrowFromEach = (scheduler: Scheduler, targets: number, now: number) => {
	scheduler.borrow(lender, Array.from({length: targets}, (_, index) => ({
		grantId: `${lender}/${index}`, upstream: sampleUpstream, targetId: `worker-${index}`, count: 1, deadline: now + grantMs,
	})));
};

const measurePayload = async (targets: number) => {
	const sizedScheduler = createSizedScheduler(targets);
	const {clock, scheduler, configure} = sizedScheduler;
	configure(1);
	await clock.advance(holdOffMs);
	const lending = createLending({
		clock, scheduler, lendingPolicyOf: () => defaultLendingPolicies['response-time'], requestLoan: async () => [], requestExtension: async () => [], onSlotsAvailable: () => undefined,
	});
	/** Takes the next payload for a host and returns its length as JSON. */
	const takePayloadBytes = (hostId: string) => JSON.stringify(lending.takePayload(hostId)).length;
	takePayloadBytes(receiver);
	let steadyBytes = 0;
	const steady = await measureCpuMs(() => {
		steadyBytes = takePayloadBytes(receiver);
	});
	await quarantineTargets(sizedScheduler, targets);
	const payload = lending.takePayload(receiver);
	if (payload.observations.length !== targets) {
		throw new Error(`${payload.observations.length} of ${targets} targets were observed`);
	}

	borrowFromEach(scheduler, targets, clock.now());
	takePayloadBytes(receiver);
	return {
		steady, steadyBytes, observedBytes: JSON.stringify(payload).length, returnedBytes: takePayloadBytes(lender),
	};
};

/** Metrics by number of targets: when no target has changed, when each has, and when one slot of each is returned. */
export const measureLendingPayload = async (sampling: Sampling): Promise<Slope[]> => measureSlopes({
	name: 'lending',
	size: 'targets in the zone',
	units: {
		steady: 'ms of CPU per payload', steadyBytes: 'bytes', observedBytes: 'bytes', returnedBytes: 'bytes',
	},
	measure: measurePayload,
}, sampling);
