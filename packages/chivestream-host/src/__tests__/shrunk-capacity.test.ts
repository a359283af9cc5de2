import {
	afterEach, describe, expect, test,
} from '@jest/globals';
import {availability, type Availability} from 'chivestream-site-stand-ins';
import {startSite, until, type TestSite} from '../__fixtures__/site.js';

let site: TestSite | undefined;

afterEach(async () => {
	await site?.close();
	site = undefined;
});

/** Room for one task, where a minion had room for two. */
const shrunkMillicores = 20_000;

let lastJob = 0;

/** Submits a job with two tasks for each minion, and returns whether one of its tasks was started over a minion's capacity. The job is to
 * complete in any case. */
const exceedsCapacity = async ({submit, minions, checker}: TestSite, host: number): Promise<boolean> => {
	const seen = checker.violations.length;
	lastJob += 1;
	const result = await submit(host, {id: lastJob.toString(16).padStart(16, '0'), count: 2 * minions.length, workMs: 40});
	expect(result).toMatchObject({status: 200});
	return checker.violations.length > seen;
};

const shrink = ({minions}: TestSite) => {
	for (const minion of minions) {
		minion.setCapacity(shrunkMillicores);
		minion.setCheckedCapacity(shrunkMillicores);
	}
};

const countEvents = ({eventCounts}: TestSite, event: string): number => eventCounts.get(event) ?? 0;

/** Waits until the store has turned away the hosts with these indexes. */
const turnAway = async (testSite: TestSite, indexes: readonly number[], how: Availability) => {
	const lost = countEvents(testSite, 'store-lost');
	for (const index of indexes) {
		testSite.entrances[index]!.setAvailability(how);
	}

	await until(() => countEvents(testSite, 'store-lost') >= lost + indexes.length);
};

// A dispatcher kept starting tasks from the last table that it had read, while the store turned it away and served the other hosts.
describe('a capacity that shrinks while the store turns the dispatcher away', () => {
	test.each([availability.busy, availability.silent, availability.reset])('is learned from another host of the zone: %s', async how => {
		site = await startSite(3, 4, {hasEntrances: true});
		await site.untilReady();
		const dispatcher = await site.dispatcherIndex();
		const claims = countEvents(site, 'dispatching');
		await turnAway(site, [dispatcher], how);
		shrink(site);
		await until(async () => !await exceedsCapacity(site!, dispatcher));
		expect(await exceedsCapacity(site, dispatcher)).toBe(false);
		expect(site.checker.violations.filter(({rule}) => rule !== 'limit')).toEqual([]);
		expect(await site.dispatcherIndex()).toBe(dispatcher);
		expect(countEvents(site, 'dispatching')).toBe(claims);
	});

	test('is learned from the next host if the first one is turned away, too', async () => {
		site = await startSite(3, 4, {hasEntrances: true});
		await site.untilReady();
		const dispatcher = await site.dispatcherIndex();
		const asked = countEvents(site, 'minions-from');
		await turnAway(site, [dispatcher], availability.busy);
		await until(() => countEvents(site!, 'minions-from') > asked);
		await turnAway(site, [(dispatcher + 1) % 3], availability.silent);
		shrink(site);
		await until(async () => !await exceedsCapacity(site!, dispatcher));
		expect(await exceedsCapacity(site, dispatcher)).toBe(false);
	});

	test('is learned from another zone if no host of the zone is served', async () => {
		site = await startSite(2, 4, {hasEntrances: true, zones: ['y', 'z']});
		await until(() => site!.hosts.every(({host}) => host.isReady() && host.isDispatching() && host.freeTasksElsewhere() > 0));
		await turnAway(site, [0], availability.busy);
		shrink(site);
		await until(async () => !await exceedsCapacity(site!, 0));
		expect(await exceedsCapacity(site, 0)).toBe(false);
	});

	test('is read again from the store once this serves the dispatcher, as is one that has grown', async () => {
		site = await startSite(2, 4, {hasEntrances: true});
		await site.untilReady();
		const dispatcher = await site.dispatcherIndex();
		await turnAway(site, [dispatcher], availability.busy);
		shrink(site);
		await until(async () => !await exceedsCapacity(site!, dispatcher));
		site.entrances[dispatcher]!.setAvailability(availability.up);
		await until(() => countEvents(site!, 'store-regained') > 0);
		for (const minion of site.minions) {
			minion.setCapacity(32_000);
		}

		await until(async () => exceedsCapacity(site!, dispatcher));
	});
});

test('an outage of the store for all hosts changes nothing', async () => {
	site = await startSite(3, 4, {hasEntrances: true});
	await site.untilReady();
	const dispatcher = await site.dispatcherIndex();
	const claims = countEvents(site, 'dispatching');
	await turnAway(site, [0, 1, 2], availability.silent);
	for (const host of [0, 1, 2]) {
		// eslint-disable-next-line no-await-in-loop -- one job after the other
		expect(await site.submit(host, {id: (host + 1).toString(16).padStart(16, 'a'), count: 4, workMs: 20})).toMatchObject({status: 200});
	}

	expect(await site.dispatcherIndex()).toBe(dispatcher);
	expect(countEvents(site, 'dispatching')).toBe(claims);
	expect(site.checker.violations).toEqual([]);
});
