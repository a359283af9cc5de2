/** Decisions of the hosts of a zone on a simulated clock, so that a pause of this process has no effect. */
import {
	afterAll, afterEach, beforeAll, describe, expect, test,
} from '@jest/globals';
import {createRandom, randomInteger} from 'chivestream-core';
import {replaceModules, restoreClock} from '../__fixtures__/simulated-modules.js';
import {ScriptedSite, type ScriptedJob, type ScriptedSiteOptions} from '../__fixtures__/scripted-site.js';
import {type EntryHostConstructor} from '../__fixtures__/simulated-site.js';
import {type CallerResult} from '../__fixtures__/site.js';

let site: ScriptedSite;
let hostClass: EntryHostConstructor;

beforeAll(async () => {
	hostClass = await replaceModules(() => site);
});

afterEach(() => {
	site.site.end();
});

afterAll(() => {
	restoreClock();
});

const start = async (options: ScriptedSiteOptions): Promise<ScriptedSite> => {
	site = new ScriptedSite(options);
	await site.start(hostClass);
	return site;
};

const jobId = (number: number): string => number.toString(16).padStart(16, '0');

const submitMany = async (scripted: ScriptedSite, count: number, job: Omit<ScriptedJob, 'id'>, hosts: readonly number[]): Promise<CallerResult[]> =>
	Promise.all(Array.from({length: count}, async (_, index) => scripted.submit(hosts[index % hosts.length]!, {id: jobId(index + 1), ...job})));

const expectCompleted = (results: readonly CallerResult[], count: number) => {
	expect(results.map(({status, body}) => [status, body])).toEqual(Array.from({length: count}, () => [200, {state: 'completed'}]));
};

const seeds = Array.from({length: 20}, (_, index) => index + 1);

describe('three entry hosts of a zone, on a simulated clock,', () => {
	// With more minions than the tasks fill, a task that is lost sight of could start again at once.
	test.each([
		...seeds.map(seed => ({
			seed, minions: 6, workMs: 300, laterMs: 1,
		})),
		...seeds.map(seed => ({
			seed, minions: 6, workMs: 300, laterMs: 500,
		})),
		...seeds.map(seed => ({
			seed, minions: 9, workMs: 900, laterMs: 1500,
		})),
	])('a planned stop of the dispatcher cuts nothing and runs nothing anew: seed $seed, $minions minions, up to $laterMs ms later', async ({seed, minions, workMs, laterMs}) => {
		const scripted = await start({seed, hosts: 3, minions});
		const results = submitMany(scripted, 12, {count: 2, workMs}, [0, 1, 2]);
		await scripted.until(() => scripted.checker.starts >= 8);
		await scripted.pass(randomInteger(createRandom(seed), laterMs));
		await scripted.stopHost(scripted.dispatcherIndex());
		expectCompleted(await scripted.untilResolved(results), 12);
		expect(scripted.checker.violations).toEqual([]);
		expect(scripted.checker.starts).toBe(24);
	});

	test.each(seeds)('serve jobs at each host with complete answers, and start each task once: seed %i', async seed => {
		const scripted = await start({seed, hosts: 3, minions: 6});
		expectCompleted(await scripted.untilResolved(submitMany(scripted, 30, {count: 3, workMs: 20}, [0, 1, 2])), 30);
		expect(scripted.checker.violations).toEqual([]);
		expect(scripted.checker.starts).toBe(90);
	});
});

describe('a zone of many minions, on a simulated clock,', () => {
	// With 20 jobs there is room for a task that is lost sight of to start again at once.
	test.each([
		...seeds.map(seed => ({seed, jobs: 30, laterMs: 1})),
		...seeds.map(seed => ({seed, jobs: 20, laterMs: 250})),
	])('is divided into cells with a dispatcher each, and no job is lost when one dispatcher is killed: seed $seed, $jobs jobs, up to $laterMs ms later', async ({seed, jobs, laterMs}) => {
		const scripted = await start({seed, hosts: 3, minions: 44});
		await scripted.until(() => scripted.hosts().filter(host => host.isDispatching()).length === 2);
		const dispatcher = scripted.dispatcherIndex();
		const results = submitMany(scripted, jobs, {count: 3, workMs: 300}, [0, 1, 2].filter(index => index !== dispatcher));
		await scripted.until(() => scripted.checker.starts >= 60);
		await scripted.pass(randomInteger(createRandom(seed), laterMs));
		scripted.killHost(dispatcher);
		expectCompleted(await scripted.untilResolved(results), jobs);
		expect(scripted.checker.violations).toEqual([]);
	});
});

describe('the task of a minion that stopped listening, on a simulated clock,', () => {
	test.each(seeds.flatMap(seed => [
		{seed, writesEntry: true, entry: 'the entry of the next incarnation'},
		{seed, writesEntry: false, entry: 'its last entry'},
	]))('runs again before its lease has expired: seed $seed, with $entry in the store', async ({seed, writesEntry}) => {
		const scripted = await start({
			seed, hosts: 1, minions: 2, bounds: {leaseMs: 60_000},
		});
		const result = scripted.submit(0, {id: jobId(1), count: 1, workMs: 300});
		await scripted.until(() => scripted.checker.starts === 1);
		scripted.stopListening(scripted.busyMinion(), writesEntry);
		expectCompleted([await scripted.untilResolved(result)], 1);
		expect(scripted.checker.violations).toEqual([]);
	});
});
