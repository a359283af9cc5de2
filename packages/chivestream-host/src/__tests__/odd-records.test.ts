import {
	afterEach, describe, expect, test,
} from '@jest/globals';
import {startSite, until, type TestSite} from '../__fixtures__/site.js';

let site: TestSite | undefined;

afterEach(async () => {
	await site?.close();
	site = undefined;
});

const hostCount = 3;
const minionCount = 3;
const nestingDepth = 50_000;

let nextJob = 0;

const nextJobId = (): string => {
	nextJob += 1;
	return nextJob.toString(16).padStart(16, '0');
};

const start = async (): Promise<TestSite> => {
	site = await startSite(hostCount, minionCount, {initiallyRegistered: minionCount - 1});
	await site.untilReady();
	return site;
};

/** Every host serves a job. */
const expectServing = async (testSite: TestSite, count: number, prefix: string) => {
	for (const hostIndex of testSite.hosts.keys()) {
		// eslint-disable-next-line no-await-in-loop -- one job after the other
		expect(await testSite.submit(hostIndex, {
			id: nextJobId(), count, workMs: 5, prefix,
		})).toMatchObject({status: 200, body: {state: 'completed'}});
	}
};

/** Every host serves a job, puts later declarations in force, and a minion that registers later is used. */
const expectFollowing = async (testSite: TestSite, version = 2) => {
	const {hosts, eventCounts} = testSite;
	await expectServing(testSite, 2, '/read/');
	testSite.declare(version, ['/read/', '/tag/']);
	await until(async () => {
		const results = await Promise.all([...hosts.keys()].map(async hostIndex => testSite.get(hostIndex, '/tag/')));
		return results.every(({status}) => status === 200);
	});
	const registeredBefore = eventCounts.get('minion-registered') ?? 0;
	testSite.register(minionCount);
	await until(() => (eventCounts.get('minion-registered') ?? 0) > registeredBefore);
	await expectServing(testSite, 2 * minionCount, '/tag/');
	expect(eventCounts.get('loop-failed')).toBeUndefined();
	expect(eventCounts.get('unexpected-error')).toBeUndefined();
};

describe('an odd entry among those of the minions', () => {
	const deep = `${'['.repeat(nestingDepth)}${']'.repeat(nestingDepth)}`;
	const replacements: Array<[string, RegExp, string]> = [
		['nested deeply', /"labels":\[[^\]]*\]/v, `"labels":${deep}`],
		['with a start time beyond all dates', /"born":\d+/v, '"born":1e300'],
		['with a start time far in the future', /"born":\d+/v, `"born":${Date.UTC(2200)}`],
		['with endless room', /"cpu":\d+/v, '"cpu":1e300'],
		['with a number that is read as infinity', /"cpu":\d+/v, '"cpu":1e400'],
		['with a port out of range', /"address":"[^"]*"/v, '"address":"127.0.0.1:99999"'],
		['with thousands of labels', /"labels":\[[^\]]*\]/v, `"labels":${JSON.stringify(Array.from({length: 5000}, () => 'label'))}`],
	];

	test('beside the others costs no host its work', async () => {
		const testSite = await start();
		const entry = testSite.minions[0]!.createRegistryEntry();
		for (const [index, [name, field, replacement]] of replacements.entries()) {
			const odd = entry.replace(field, replacement);
			expect([name, odd === entry]).toEqual([name, false]);
			testSite.store.write('keyed.servers', `i-odd-${index}`, odd);
		}

		for (const key of ['', '__proto__', 'i\n1', 'i\u{FFFD}']) {
			testSite.store.write('keyed.servers', key, key === '__proto__' ? '{"__proto__":{}}' : entry);
		}

		const refusedBefore = testSite.eventCounts.get('minion-refused') ?? 0;
		await until(() => (testSite.eventCounts.get('minion-refused') ?? 0) > refusedBefore);
		await expectFollowing(testSite);
	});

	test.each(replacements)('%s in place of each of them costs no host its work', async (_, field, replacement) => {
		const testSite = await start();
		testSite.register(0);
		for (const minion of testSite.minions) {
			testSite.store.write('keyed.servers', minion.id, minion.createRegistryEntry().replace(field, replacement));
		}

		// One read of the dispatcher has ended without another record in between.
		const readsBefore = testSite.store.requestCounts.get('/api/log-read') ?? 0;
		await until(() => (testSite.store.requestCounts.get('/api/log-read') ?? 0) > readsBefore + (4 * hostCount));
		testSite.register(minionCount - 1);
		await expectFollowing(testSite);
	});
});

describe('an odd record of the configuration', () => {
	const config = (version: string, fields: string) => `{"version":${version},"routes":[{${fields}}]}`;
	const fields = '"name":"r0","host":"lens.example","path_prefix":"/read/","service":"desk"';

	test.each<[string, string, string]>([
		['with a version that no later one succeeds', 'config', config('1e300', fields)],
		['with an objective that no message can carry', 'config', config('2', `${fields},"target_latency_ms":1e308,"stretch":1e308`)],
		['that is nested deeply', 'config', config('2', `${fields},"priority":${'['.repeat(nestingDepth)}${']'.repeat(nestingDepth)}`)],
		['under another key', '__proto__', config('1e300', fields)],
	])('%s costs no host its work, and is logged once', async (_, key, value) => {
		const testSite = await start();
		testSite.store.write('keyed.op', key, value);
		const refusals = () => testSite.eventCounts.get('declarations-unreadable') ?? 0;
		const expectedRefusals = key === 'config' ? hostCount : 0;
		await until(() => refusals() >= expectedRefusals);
		const readsBefore = testSite.store.requestCounts.get('/api/log-newest') ?? 0;
		await until(() => (testSite.store.requestCounts.get('/api/log-newest') ?? 0) > readsBefore + (4 * hostCount));
		await expectFollowing(testSite, 3);
		expect(refusals()).toBe(expectedRefusals);
	});
});

describe('an odd record of a host', () => {
	const good = (name: string, address: string) => ({
		name, zone: 'z', address, bornAt: Date.now(), cpuShare: 1,
	});

	test.each<[string, (name: string, address: string) => string]>([
		['with a start time far in the future and an address where nobody listens', name => JSON.stringify({...good(name, '127.0.0.1:1'), bornAt: Date.UTC(2200)})],
		['with a start time beyond all dates', name => JSON.stringify({...good(name, '127.0.0.1:1'), bornAt: 1e300})],
		['with endless processor time', (name, address) => JSON.stringify({...good(name, address), cpuShare: 1e308})],
		['with a port out of range', name => JSON.stringify(good(name, '127.0.0.1:99999'))],
		['that is nested deeply', () => `${'['.repeat(nestingDepth)}${']'.repeat(nestingDepth)}`],
	])('%s in place of each and beside them costs no host its work, and its host writes its own again', async (_, odd) => {
		const testSite = await start();
		const names = testSite.hosts.map(({settings}) => settings.host.name);
		const own = names.map(name => testSite.store.readNewest('keyed.hosts', name));
		for (const {settings} of testSite.hosts) {
			testSite.store.write('keyed.hosts', settings.host.name, odd(settings.host.name, settings.listen.peers));
		}

		testSite.store.write('keyed.hosts', 'h-odd', odd('h-odd', '127.0.0.1:1'));
		await until(() => names.every((name, index) => testSite.store.readNewest('keyed.hosts', name) === own[index]));
		await expectFollowing(testSite);
		await testSite.startHost(hostCount);
		await testSite.untilReady();
		await expectServing(testSite, 2, '/tag/');
	});

	test('that names another one than its key costs no host its work', async () => {
		const testSite = await start();
		for (const {settings} of testSite.hosts) {
			testSite.store.write('keyed.hosts', `odd ${settings.host.name}`, JSON.stringify({...good(settings.host.name, '127.0.0.1:1'), bornAt: Date.now() + 1000}));
		}

		await until(() => (testSite.eventCounts.get('host-unreadable') ?? 0) >= hostCount * hostCount);
		await expectFollowing(testSite);
	});
});
