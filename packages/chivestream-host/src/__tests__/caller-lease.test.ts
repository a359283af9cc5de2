import {expect, test} from '@jest/globals';
import {jobLeaseMs, leaseExpiryMs, type Submitter} from 'chivestream-dispatch';
import {
	createRecordedDispatcher, jobRequest, leaseMs, minionRecord,
} from '../../../chivestream-dispatch/src/__fixtures__/recorded-dispatcher.js';
import {createCallerLease} from '../caller-lease.js';
import {hostTiming} from '../timing.js';

const id = '00000000000000aa';
const tickMs = 50;

/** The dispatcher of a host that runs a job of one of its callers, and the time at which it ticks. */
const createServing = () => {
	const recorded = createRecordedDispatcher([minionRecord('m')]);
	const {now, dispatcher} = recorded;
	const lease = createCallerLease({now, elapsed: now, jobLeaseMs: () => jobLeaseMs(leaseMs)});
	const tickAfter = (ms: number) => {
		recorded.advance(ms);
		lease.recordTick();
		lease.recordAnswer(now());
		dispatcher.tick();
	};

	recorded.report('m');
	recorded.advance(leaseExpiryMs(leaseMs));
	tickAfter(tickMs);
	tickAfter(tickMs);
	const submitter: Submitter = {origin: 'self', leaseEndsAt: lease.endsAt};
	dispatcher.submit(jobRequest(id, {objectiveDeadline: 60_000, deadline: 60_000}), () => undefined, undefined, submitter);
	return {...recorded, tickAfter};
};

// A caller gave up, the host was late by half a second with each event, and the minion's lease was renewed before it had read the end of the
// connection. The stop got no answer, and the copy started in another zone while the first run was alive.
test.each([200, 300, 450, 599])('no lease of a minion outlasts the time after which a caller sends its job again, if each tick is late by %i ms', lateMs => {
	const {dispatcher, now, minion, tickAfter} = createServing();
	for (let ticks = 0; ticks < 5; ticks += 1) {
		// What arrives right after this is read before the next tick, at the latest, and handled there.
		const leftAt = now();
		tickAfter(tickMs + lateMs);
		dispatcher.grantLease(minion('m'));
		expect(minion('m').leaseEndsAt).toBeLessThanOrEqual(leftAt + jobLeaseMs(leaseMs));
	}
});

test('a job of a caller starts at once, and its minion is granted the usual lease, if no tick is late', () => {
	const {dispatcher, starts, minion, tickAfter} = createServing();
	expect(starts).toHaveLength(1);
	tickAfter(tickMs);
	expect(dispatcher.grantLease(minion('m'))).toBe(0.9 * leaseMs);
});

// The end of the caller's connection waited on the full link of its host: the copy of the job, 1.3 s later, ran elsewhere beside the first one.
test('the lease counts from the sending of the newest answer that has been read, however punctual the process is', () => {
	let time = 0;
	const now = () => time;
	const lease = createCallerLease({now, elapsed: now, jobLeaseMs: () => jobLeaseMs(leaseMs)});
	expect(lease.endsAt()).toBe(Number.NEGATIVE_INFINITY);
	lease.recordAnswer(0);
	for (; time < 1000; time += tickMs) {
		lease.recordTick();
	}

	expect(lease.endsAt()).toBe(jobLeaseMs(leaseMs) - hostTiming.jobLeaseMarginMs);
	lease.recordAnswer(400);
	lease.recordAnswer(300);
	expect(lease.endsAt()).toBe(400 + jobLeaseMs(leaseMs) - hostTiming.jobLeaseMarginMs);
});

test('a suspension of the machine shortens the lease by its length', () => {
	let [monotonic, suspendedMs] = [1000, 0];
	const lease = createCallerLease({now: () => monotonic, elapsed: () => monotonic + suspendedMs, jobLeaseMs: () => jobLeaseMs(leaseMs)});
	lease.recordTick();
	lease.recordAnswer(monotonic);
	const before = lease.endsAt();
	suspendedMs += 700;
	monotonic += tickMs;
	expect(lease.endsAt()).toBe(before - 700);
});
