import {performance} from 'node:perf_hooks';
import {
	afterEach, describe, expect, test,
} from '@jest/globals';
import {createRandom} from 'chivestream-core';
import {startSite, until, type TestSite} from '../__fixtures__/site.js';

let site: TestSite | undefined;

afterEach(async () => {
	await site?.close();
	site = undefined;
});

const start = async (hosts: number, minions: number, zones?: string[], registeredAtFirst?: number): Promise<TestSite> => {
	site = await startSite(hosts, minions, zones, registeredAtFirst);
	await site.untilReady();
	return site;
};

const jobId = (number: number): string => number.toString(16).padStart(16, '0');

/** Waits until each host knows a route. */
const untilRouted = async (to: TestSite, path: string, hosts: readonly number[]) => until(async () => {
	const results = await Promise.all(hosts.map(async index => to.get(index, path)));
	return results.every(({status}) => status === 200);
});

const submitMany = async (to: TestSite, count: number, job: {count: number; workMs: number}, hosts: readonly number[]) =>
	Promise.all(Array.from({length: count}, async (_, index) => to.submit(hosts[index % hosts.length]!, {id: jobId(index + 1), ...job})));

describe('three entry hosts of a zone', () => {
	test('serve jobs at each host, and answer each whole', async () => {
		const running = await start(3, 6);
		const results = await submitMany(running, 30, {count: 3, workMs: 20}, [0, 1, 2]);
		expect(results.map(({status, body}) => [status, body])).toEqual(results.map(() => [200, {state: 'completed'}]));
		expect(running.checker.violations).toEqual([]);
		expect(running.checker.starts).toBe(90);
	});

	test('answer that a job failed after as many failed runs as its route allows', async () => {
		const running = await start(1, 6);
		const result = await running.submit(0, {id: jobId(1), count: 1, workMs: -5});
		expect(result).toMatchObject({status: 200, body: {state: 'failed'}});
		expect(running.checker.starts).toBe(3);
	});

	test('survive the death of the dispatcher: jobs in progress end, none of their tasks runs twice at a time', async () => {
		const running = await start(3, 6);
		const dispatcher = await running.dispatcherIndex();
		const others = [0, 1, 2].filter(index => index !== dispatcher);
		const results = submitMany(running, 12, {count: 2, workMs: 400}, others);
		await until(() => running.checker.starts >= 8);
		await running.hosts[dispatcher]!.host.close();
		const ended = await results;
		expect(ended.map(({status}) => status)).toEqual(ended.map(() => 200));
		expect(running.checker.violations).toEqual([]);
	});

	test('a planned stop of the dispatcher cuts nothing and runs nothing anew', async () => {
		const running = await start(3, 6);
		const dispatcher = await running.dispatcherIndex();
		const results = submitMany(running, 12, {count: 2, workMs: 300}, [0, 1, 2]);
		await until(() => running.checker.starts >= 8);
		await running.hosts[dispatcher]!.host.stop();
		const ended = await results;
		expect(ended.map(({status, body}) => [status, body])).toEqual(ended.map(() => [200, {state: 'completed'}]));
		expect(running.checker.violations).toEqual([]);
		expect(running.checker.starts).toBe(24);
	});

	test('serve on while the store answers nothing, and take in declarations after it', async () => {
		const running = await start(3, 4);
		running.store.setAvailability('silent');
		const results = await submitMany(running, 9, {count: 1, workMs: 10}, [0, 1, 2]);
		expect(results.map(({status}) => status)).toEqual(results.map(() => 200));
		running.store.setAvailability('up');
		running.declare(2, ['/read/', '/tag/']);
		await untilRouted(running, '/tag/', [0, 1, 2]);
	});

	test('orders that are carried out late start no task beside another run of it, and overrun no minion', async () => {
		const running = await start(2, 4);
		const random = createRandom(7);
		for (const minion of running.minions) {
			minion.delayStarts(0.3, random);
		}

		const results = await submitMany(running, 40, {count: 2, workMs: 60}, [0, 1]);
		expect(results.map(({status}) => status)).not.toContain(undefined);
		expect(running.checker.violations).toEqual([]);
	});

	test('a minion that begins a new lifetime is used again, and its tasks run anew', async () => {
		const running = await start(1, 1);
		const result = running.submit(0, {id: jobId(1), count: 1, workMs: 300});
		await until(() => running.checker.starts === 1);
		running.minions[0]!.crash();
		expect(await result).toMatchObject({status: 200});
		expect(running.checker.violations).toEqual([]);
	});
});

describe('declarations', () => {
	test('a version is in force at every host, also after the store has dropped its history, and never an older one', async () => {
		const running = await start(2, 2);
		running.declare(5, ['/read/', '/new/']);
		running.store.dropRecords('keyed.op');
		await untilRouted(running, '/new/', [0, 1]);
		running.declare(3, ['/read/']);
		running.declare(7, ['/read/', '/new/', '/third/']);
		await untilRouted(running, '/third/', [0]);
		expect(await running.get(0, '/new/')).toMatchObject({status: 200});
	});

	test('a path without a route is told so, and a queue tells how many of its jobs wait', async () => {
		const running = await start(1, 1);
		expect(await running.get(0, '/none/')).toMatchObject({status: 404});
		expect(await running.get(0, '/read/')).toMatchObject({status: 200, body: {pending: 0}});
	});
});

describe('metrics', () => {
	test('answers, events and response times are served as text', async () => {
		const running = await start(1, 2);
		await running.submit(0, {id: jobId(1), count: 1, workMs: 10});
		const text = await running.metrics(0);
		expect(text).toContain('chivestream_answers_total{status="200"} 1');
		expect(text).toContain('chivestream_events_total{event="job-answered"} 1');
		expect(text).toMatch(/chivestream_response_ms\{percentile="99"\} \d+/v);
		expect(text).toContain('chivestream_declarations_version 1');
	});
});

describe('what can not be served', () => {
	test('a host that knows no dispatcher refuses, and says when to come back', async () => {
		const running = await start(2, 2);
		running.store.setAvailability('silent');
		const dispatcher = await running.dispatcherIndex();
		const other = 1 - dispatcher;
		await running.hosts[dispatcher]!.host.close();
		await until(() => running.hosts[other]!.host.isDispatching());
		const result = await running.submit(other, {id: jobId(1), count: 1, workMs: 10});
		expect([200, 503]).toContain(result.status);
		expect(running.checker.violations).toEqual([]);
	});

	test('with no room for long, a job is refused at once with a time to come back, and has not run', async () => {
		const running = await start(1, 1);
		const first = running.submit(0, {
			id: jobId(1), count: 40, workMs: 900, patienceMs: 1500,
		});
		await until(() => running.checker.starts > 0);
		const second = await running.submit(0, {
			id: jobId(2), count: 4, workMs: 500, patienceMs: 1500,
		});
		expect(second).toMatchObject({status: 503, retryAfter: expect.any(String)});
		running.checker.recordRefusal(jobId(2));
		await first;
		expect(running.checker.violations).toEqual([]);
	});
});

describe('two zones', () => {
	test('a zone without room sends jobs to the other', async () => {
		const running = await start(2, 4, ['y', 'z']);
		await until(() => running.hosts.every(({host}) => host.isDispatching()));
		await until(() => running.hosts[0]!.host.roomElsewhere() >= 4);
		const first = running.submit(0, {id: jobId(1), count: 4, workMs: 500});
		await until(() => running.checker.starts === 4);
		const second = running.submit(0, {id: jobId(2), count: 4, workMs: 300});
		await until(() => running.checker.starts === 8);
		expect(running.minions[1]!.runningTasks()).toHaveLength(2);
		expect(await first).toMatchObject({status: 200});
		expect(await second).toMatchObject({status: 200});
		expect(running.checker.violations).toEqual([]);
	});
});

describe('a planned stop', () => {
	test('takes no job any more that could outlast it, and says that it has not run', async () => {
		const running = await start(2, 4);
		const first = running.submit(0, {id: jobId(1), count: 1, workMs: 1000});
		await until(() => running.checker.starts === 1);
		const stopped = running.hosts[0]!.host.stop();
		await until(() => running.hosts[1]!.host.isDispatching());
		const second = await running.submit(0, {id: jobId(2), count: 1, workMs: 1500});
		expect(second).toMatchObject({status: 503, body: {error: 'not run: the host is leaving'}, retryAfter: '1'});
		running.checker.recordRefusal(jobId(2));
		expect(await first).toMatchObject({status: 200});
		await stopped;
		expect(running.checker.violations).toEqual([]);
	});

	test('gives jobs of another zone back as well, and nothing of them runs anew', async () => {
		const running = await start(4, 8, ['y', 'z']);
		const dispatching = () => running.hosts.map(({host}) => host.isDispatching());
		await until(() => dispatching().filter(Boolean).length === 2);
		const zone = (index: number) => index % 2;
		const local = dispatching().findIndex((is, index) => is && zone(index) === 0);
		const remote = dispatching().findIndex((is, index) => is && zone(index) === 1);
		await until(() => running.hosts[local]!.host.roomElsewhere() >= 8);
		const first = submitMany(running, 4, {count: 2, workMs: 900}, [local]);
		await until(() => running.checker.starts === 8);
		const second = Promise.all([11, 12, 13].map(async number => running.submit(local, {id: jobId(number), count: 2, workMs: 600})));
		await until(() => running.checker.starts === 14);
		await running.hosts[remote]!.host.stop();
		const ended = [...await first, ...await second];
		expect(ended.map(({status}) => status)).toEqual(ended.map(() => 200));
		expect(running.checker.violations).toEqual([]);
		expect(running.checker.starts).toBe(14);
	});
});

describe('a zone of many minions', () => {
	const manyMinions = 44;

	test('is divided into cells with a dispatcher each, whose death cuts no job of the other', async () => {
		const running = await start(3, manyMinions);
		await until(() => running.hosts.filter(({host}) => host.isDispatching()).length === 2);
		const dispatcher = await running.dispatcherIndex();
		const others = [0, 1, 2].filter(index => index !== dispatcher);
		const results = submitMany(running, 30, {count: 3, workMs: 300}, others);
		await until(() => running.checker.starts >= 60);
		await running.hosts[dispatcher]!.host.close();
		const ended = await results;
		expect(ended.map(({status}) => status)).toEqual(ended.map(() => 200));
		expect(running.checker.violations).toEqual([]);
	});

	test('is divided anew when more minions come, and what has run is not run beside another run of it', async () => {
		const running = await start(2, manyMinions, ['z'], 30);
		const results = submitMany(running, 20, {count: 3, workMs: 400}, [0, 1]);
		await until(() => running.checker.starts >= 20);
		running.register(manyMinions);
		const ended = await results;
		expect(ended.map(({status}) => status)).toEqual(ended.map(() => 200));
		await until(() => running.hosts.every(({host}) => host.isDispatching()));
		expect(running.checker.violations).toEqual([]);
	});
});

describe('a zone whose hosts are all gone', () => {
	const pauseMs = 100;

	test('is looked for again and again, but not all the time', async () => {
		const running = await start(4, 4, ['y', 'z']);
		await until(() => running.hosts[0]!.host.roomElsewhere() > 0);
		const links = async () => {
			const text = await running.metrics(0);
			return Number(/chivestream_events_total\{event="link"\} (\d+)/v.exec(text)?.[1] ?? 0);
		};

		await Promise.all([1, 3].map(async index => running.hosts[index]!.host.close()));
		const before = await links();
		await until(async () => await links() > before + 3);
		const [from, startedAt] = [await links(), performance.now()];
		await until(async () => await links() > from + 10);
		// However busy the machine is, each attempt comes after a pause.
		expect(performance.now() - startedAt).toBeGreaterThan(10 * pauseMs);
	});
});
