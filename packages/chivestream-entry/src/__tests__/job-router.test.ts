import {
	beforeEach, describe, expect, test,
} from '@jest/globals';
import {createFakeClock, type FakeClock} from 'chivestream-stand-ins';
import {createJob, createRouterHosts, type RouterHost} from '../__fixtures__/router-host.js';

let clock: FakeClock;
let fixture: ReturnType<typeof createRouterHosts>;
let hostOne: RouterHost;
let hostTwo: RouterHost;

const allRuns = () => [...fixture.hosts.values()].flatMap(({runs}) => runs);

beforeEach(() => {
	clock = createFakeClock();
	fixture = createRouterHosts(clock);
	hostOne = fixture.addHost('e1', 'a');
	hostTwo = fixture.addHost('e2', 'b');
});

describe('home keys', () => {
	test('a copy that arrives at another host while the first still runs joins it, and both receive the same answer', async () => {
		const job = createJob(clock, hostOne.createKey('x'));
		const answers = await clock.runUntil(Promise.all([hostOne.router.submit(job), hostTwo.router.submit({...job, deadline: job.deadline + 500}), hostOne.router.submit(job)]));
		expect(allRuns()).toEqual([job.key]);
		expect(answers[1]).toEqual(answers[0]);
		expect(answers[2]).toEqual(answers[0]);
	});

	test('a copy of an answered job receives the answer and does not run', async () => {
		const job = createJob(clock, hostOne.createKey('x'));
		const first = await clock.runUntil(hostOne.router.submit(job));
		await clock.advance(500);
		expect(await clock.runUntil(hostTwo.router.submit(job))).toEqual(first);
		expect(allRuns()).toHaveLength(1);
	});

	test('a restarted host does not run keys of its previous incarnation', async () => {
		const job = createJob(clock, hostOne.createKey('x'));
		hostOne.isReachable = false;
		hostOne.isClosed = true;
		const restarted = fixture.addHost('e1', 'c');
		const answers = await clock.runUntil(Promise.all([restarted.router.submit(job), hostTwo.router.submit(job)]));
		for (const answer of answers) {
			expect(answer).toMatchObject({state: 'failed', failure: {code: 'home-lost', notRun: false}});
		}

		expect(allRuns()).toEqual([]);
	});

	test('a forwarded job whose answer was lost is never reported as "not run"', async () => {
		const job = createJob(clock, hostOne.createKey('x'));
		hostOne.losesAnswers = true;
		const answer = await clock.runUntil(hostTwo.router.submit(job));
		expect(answer).toMatchObject({state: 'failed', failure: {code: 'home-unreachable', notRun: false}});
		expect(hostOne.runs).toEqual([job.key]);
	});

	test('a key is refused by every host once its epoch has closed', async () => {
		const job = createJob(clock, hostOne.createKey('x'), {deadline: clock.now() + 50_000});
		await clock.advance(3000);
		const answers = await clock.runUntil(Promise.all([hostOne.router.submit(job), hostTwo.router.submit(job)]));
		for (const answer of answers) {
			expect(answer).toMatchObject({failure: {code: 'key-closed', notRun: false}});
		}

		expect(allRuns()).toEqual([]);
	});

	test('a late copy of a refused job does not run', async () => {
		const job = createJob(clock, hostOne.createKey('x'), {deadline: clock.now()});
		const refusal = await clock.runUntil(hostOne.router.submit(job));
		expect(refusal).toMatchObject({failure: {code: 'deadline-passed', notRun: true}});
		const late = await clock.runUntil(hostTwo.router.submit({...job, deadline: clock.now() + 5000}));
		expect(late).toEqual(refusal);
		expect(allRuns()).toEqual([]);
	});

	test('a cancellation that arrives before its job closes the key', async () => {
		const job = createJob(clock, hostOne.createKey('x'));
		expect(await clock.runUntil(hostTwo.router.cancel(job.key))).toMatchObject({answer: {failure: {code: 'cancelled', notRun: true}}});
		expect(await clock.runUntil(hostOne.router.submit(job))).toMatchObject({failure: {code: 'cancelled', notRun: true}});
		expect(allRuns()).toEqual([]);
	});

	test('a key used again with other content is refused without affecting the first job', async () => {
		const job = createJob(clock, hostOne.createKey('x'));
		const first = hostOne.router.submit(job);
		const second = await clock.runUntil(hostOne.router.submit({...job, tasks: [{payload: {box: 9}}]}));
		expect(second).toMatchObject({failure: {code: 'key-reused', notRun: false}});
		expect(await clock.runUntil(first)).toMatchObject({state: 'complete'});
	});
});

describe('opaque keys', () => {
	test('of two hosts that receive the same key, the first in the log runs it and both return its answer', async () => {
		const job = createJob(clock, 'tag-4711');
		const answers = await clock.runUntil(Promise.all([hostOne.router.submit(job), hostTwo.router.submit(job)]));
		expect(allRuns()).toEqual(['tag-4711']);
		expect(answers[0]).toMatchObject({state: 'complete'});
		expect(answers[1]).toEqual(answers[0]);
	});

	test('a claim whose append reply was lost is still valid', async () => {
		fixture.stream.faults.losesAnswer = () => true;
		const job = createJob(clock, 'tag-4711');
		expect(await clock.runUntil(hostOne.router.submit(job))).toMatchObject({state: 'complete'});
		expect(await clock.runUntil(hostTwo.router.submit(job))).toMatchObject({state: 'complete'});
		expect(allRuns()).toEqual(['tag-4711']);
	});

	test('during an outage of the log nothing starts, "not run" is not reported, and the key runs once afterwards', async () => {
		fixture.stream.faults.outageUntil = clock.now() + 5000;
		const job = createJob(clock, 'tag-4711', {deadline: clock.now() + 3000});
		const refused = await clock.runUntil(Promise.all([hostOne.router.submit(job), hostTwo.router.submit(job)]));
		for (const answer of refused) {
			expect(answer).toMatchObject({failure: {code: 'log-unavailable', notRun: false}});
		}

		expect(allRuns()).toEqual([]);
		await clock.advance(5000);
		const again = {...job, deadline: clock.now() + 5000};
		await clock.runUntil(Promise.all([hostOne.router.submit(again), hostTwo.router.submit(again)]));
		expect(allRuns()).toEqual(['tag-4711']);
	});

	test('a key claimed by a host that failed before it answered is never run by another host', async () => {
		const job = createJob(clock, 'tag-4711');
		void hostOne.router.submit(job);
		await clock.advance(50);
		hostOne.isReachable = false;
		hostOne.isClosed = true;
		expect(await clock.runUntil(hostTwo.router.submit(job))).toMatchObject({failure: {code: 'home-lost', notRun: false}});
		expect(hostTwo.runs).toEqual([]);
	});

	test('a host that starts after the log dropped claims refuses the keys that these may have claimed', async () => {
		const job = createJob(clock, 'tag-4711', {deadline: clock.now() + 50_000});
		await clock.runUntil(hostOne.router.submit(job));
		await clock.advance(500);
		await clock.runUntil(hostTwo.router.submit(createJob(clock, 'tag-4712')));
		fixture.stream.dropBelow(1);
		const late = fixture.addHost('e3', 'd');
		expect(await clock.runUntil(late.router.submit(job))).toMatchObject({failure: {code: 'key-closed', notRun: false}});
		expect(late.runs).toEqual([]);
	});

	test('a key made too long ago, or by a clock far ahead, is refused and never run', async () => {
		const old = createJob(clock, 'old', {createdAt: clock.now() - 30_000});
		const ahead = createJob(clock, 'ahead', {createdAt: clock.now() + 30_000});
		const answers = await clock.runUntil(Promise.all([hostOne.router.submit(old), hostOne.router.submit(ahead)]));
		for (const answer of answers) {
			expect(answer).toMatchObject({failure: {code: 'key-closed', notRun: false}});
		}

		expect(allRuns()).toEqual([]);
	});
});
