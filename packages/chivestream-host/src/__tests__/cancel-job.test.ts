import {
	afterEach, describe, expect, test,
} from '@jest/globals';
import {request} from 'undici';
import {
	startSite, until, type SiteOptions, type TestSite,
} from '../__fixtures__/site.js';
import {type PeerReply, type PeerRequest} from '../messages.js';
import {openStream} from '../peer-service.js';

const id = '00000000000000aa';
const nextId = '00000000000000bb';
const cancelled = {status: 200, body: {state: 'cancelled'}};

/** A minion has room for two tasks. */
const tasksPerMinion = 2;

let site: TestSite | undefined;
let closeStream: (() => void) | undefined;

afterEach(async () => {
	closeStream?.();
	closeStream = undefined;
	await site?.close();
	site = undefined;
});

const start = async (hosts: number, minions: number, options?: SiteOptions): Promise<TestSite> => {
	site = await startSite(hosts, minions, options);
	await site.untilReady();
	return site;
};

/** Submits a job that fills some minions for long and leaves as many tasks waiting; resolves once these minions are full. */
const fill = async (testSite: TestSite, hostIndex: number, minions: number) => {
	const running = minions * tasksPerMinion;
	const answer = testSite.submit(hostIndex, {
		id, count: 2 * running, workMs: 20_000, callerTimeoutMs: 60_000,
	});
	await until(() => testSite.checker.starts === running);
	return {answer};
};

/** Runs another job that needs all these minions: it has room only if the tasks of the cancelled job have stopped, and no task of that one starts again. */
const expectNothingRuns = async (testSite: TestSite, hostIndex: number, minions: number) => {
	const {checker} = testSite;
	const before = checker.starts;
	const count = minions * tasksPerMinion;
	expect(await testSite.submit(hostIndex, {id: nextId, count, workMs: 5})).toMatchObject({status: 200, body: {state: 'completed'}});
	expect(checker.starts).toBe(before + count);
	expect(checker.violations).toEqual([]);
};

// A DELETE was answered with 410 without a look at the jobs in progress, and the job went on.
describe('a cancelled job is stopped, and its caller is answered at once', () => {
	test('at the host that holds it and dispatches', async () => {
		const testSite = await start(1, 2);
		const {answer} = await fill(testSite, 0, 2);
		expect(await testSite.cancel(0, id)).toMatchObject(cancelled);
		expect(await answer).toMatchObject(cancelled);
		await expectNothingRuns(testSite, 0, 2);
	});

	test('at a host of the zone that neither holds it nor dispatches', async () => {
		const testSite = await start(3, 2);
		const dispatcher = await testSite.dispatcherIndex();
		const [holder, other] = [0, 1, 2].filter(index => index !== dispatcher);
		const {answer} = await fill(testSite, holder!, 2);
		expect(await testSite.cancel(other!, id)).toMatchObject(cancelled);
		expect(await answer).toMatchObject(cancelled);
		await expectNothingRuns(testSite, holder!, 2);
	});

	test('at a host of another zone', async () => {
		const testSite = await start(4, 4, {zones: ['y', 'z']});
		const {answer} = await fill(testSite, 1, 2);
		expect(await testSite.cancel(2, id)).toMatchObject(cancelled);
		expect(await answer).toMatchObject(cancelled);
		await expectNothingRuns(testSite, 1, 2);
	});

	test('at a host of its zone, while a dispatcher of another zone runs it', async () => {
		const testSite = await start(4, 1, {zones: ['y', 'z']});
		await until(() => testSite.hosts[1]!.host.freeTasksElsewhere() > 0 && testSite.hosts[3]!.host.freeTasksElsewhere() > 0);
		const answer = testSite.submit(1, {
			id, count: tasksPerMinion, workMs: 20_000, callerTimeoutMs: 60_000,
		});
		await until(() => testSite.checker.starts === tasksPerMinion);
		expect(await testSite.cancel(3, id)).toMatchObject(cancelled);
		expect(await answer).toMatchObject(cancelled);
		await expectNothingRuns(testSite, 0, 1);
	});

	test('while its dispatcher is lost and has no successor yet', async () => {
		const testSite = await start(3, 2);
		const dispatcher = await testSite.dispatcherIndex();
		const [holder, other] = [0, 1, 2].filter(index => index !== dispatcher);
		const {answer} = await fill(testSite, holder!, 2);
		await testSite.hosts[dispatcher]!.host.close();
		expect(await testSite.cancel(other!, id)).toMatchObject(cancelled);
		expect(await answer).toMatchObject(cancelled);
		await expectNothingRuns(testSite, holder!, 2);
	});

	test('also when it is sent again after that, to any host', async () => {
		const testSite = await start(2, 2);
		const {answer} = await fill(testSite, 0, 2);
		expect(await testSite.cancel(1, id)).toMatchObject(cancelled);
		expect(await answer).toMatchObject(cancelled);
		const before = testSite.checker.starts;
		for (const host of [0, 1]) {
			// eslint-disable-next-line no-await-in-loop -- one host after the other
			expect(await testSite.submit(host, {id, count: 1, workMs: 5})).toMatchObject(cancelled);
		}

		expect(testSite.checker.starts).toBe(before);
	});
});

// A GET of a running job was answered with 410, as if it didn't exist.
describe('the state of a job in progress', () => {
	const state = async (testSite: TestSite, hostIndex: number) => testSite.get(hostIndex, `/read/${id}`);
	const inState = (name: string) => ({status: 200, body: {state: name}});

	test('is shown by the host that holds it, until it has ended', async () => {
		const testSite = await start(2, 2);
		const holder = 1 - await testSite.dispatcherIndex();
		const {answer} = await fill(testSite, holder, 2);
		expect(await state(testSite, holder)).toMatchObject(inState('running'));
		expect(await testSite.cancel(holder, id)).toMatchObject(cancelled);
		expect(await answer).toMatchObject(cancelled);
		expect(await state(testSite, holder)).toMatchObject(cancelled);
	});

	test('is shown by the host that dispatches it, also while none of its tasks has started', async () => {
		const testSite = await start(1, 2, {initiallyRegistered: 0});
		const answer = testSite.submit(0, {id, count: 1, workMs: 5});
		await until(async () => {
			const metrics = await testSite.metrics(0);
			return metrics.includes('chivestream_jobs 1');
		});
		expect(await state(testSite, 0)).toMatchObject(inState('queued'));
		testSite.register(2);
		expect(await answer).toMatchObject(inState('completed'));
		expect(await state(testSite, 0)).toMatchObject({status: 410});
	});

	test('is not shown for a job that was never submitted, even if it was cancelled', async () => {
		const testSite = await start(1, 2);
		expect(await state(testSite, 0)).toMatchObject({status: 410});
		expect(await testSite.cancel(0, id)).toMatchObject({status: 410});
		expect(await state(testSite, 0)).toMatchObject({status: 410});
	});
});

describe('a job that no host knows', () => {
	test.each([['alone', 1, ['z']], ['of a zone', 3, ['z']], ['of two zones', 4, ['y', 'z']]])('is answered with 410 by a host %s', async (_, hosts, zones) => {
		const testSite = await start(hosts, 2, {zones});
		expect(await testSite.cancel(0, id)).toMatchObject({status: 410});
	});

	test('is answered with 410 once it has ended', async () => {
		const testSite = await start(2, 2);
		expect(await testSite.submit(0, {id, count: 1, workMs: 5})).toMatchObject({status: 200, body: {state: 'completed'}});
		expect(await testSite.cancel(1, id)).toMatchObject({status: 410});
	});
});

/** Opens a stream to a host as another host of its zone that dispatches nothing; `answer` gives its answer to a question, if any. */
const attach = async ({hosts}: TestSite, hostIndex: number, answer: (question: PeerReply & {type: 'cancel-job'}) => PeerRequest | undefined) => {
	const {host: {zone}, listen} = hosts[hostIndex]!.settings;
	const {stream, close} = openStream(listen.peers);
	closeStream = close;
	stream.on('error', () => {
		// Closed by the test.
	});
	const opened = new Promise<void>(resolve => {
		stream.on('data', (reply: PeerReply) => {
			if (reply.type === 'hello') {
				resolve();
			}

			const request = reply.type === 'cancel-job' ? answer(reply) : undefined;
			if (request !== undefined) {
				stream.write(request);
			}
		});
	});
	stream.write({
		type: 'hello',
		host: {
			name: 'other', zone, address: '127.0.0.1:1', bornAt: 1, cpuShare: 0.1,
		},
		status: {
			claims: [], cellCount: 1, isLeaving: false, declarationsVersion: 1, nextInMs: 1000,
		},
	});
	await opened;
};

/** The status with which a host answers a single DELETE. */
const cancelOnce = async ({hosts}: TestSite, hostIndex: number): Promise<number> => {
	const response = await request(`http://${hosts[hostIndex]!.settings.listen.callers}/read/${id}`, {method: 'DELETE', headers: {host: 'lens.example'}, reset: true});
	await response.body.dump();
	return response.statusCode;
};

describe('a job that only a host attached to the dispatcher holds', () => {
	test.each([['the dispatcher', true], ['another host of the zone', false]])('is cancelled at %s', async (_, isAtDispatcher) => {
		const testSite = await start(2, 2);
		const dispatcher = await testSite.dispatcherIndex();
		const asked: string[] = [];
		await attach(testSite, dispatcher, question => {
			asked.push(question.id);
			return {
				type: 'cancel-job-answer', request: question.request, finding: 'held', isComplete: true,
			};
		});
		expect(await testSite.cancel(isAtDispatcher ? dispatcher : 1 - dispatcher, id)).toMatchObject(cancelled);
		expect(new Set(asked)).toEqual(new Set([id]));
	});

	test('is not said to be unknown while that host has not answered, unless it leaves the next question unanswered as well', async () => {
		const testSite = await start(1, 2);
		await attach(testSite, 0, () => undefined);
		expect(await cancelOnce(testSite, 0)).toBe(503);
		expect(await cancelOnce(testSite, 0)).toBe(410);
	});
});
