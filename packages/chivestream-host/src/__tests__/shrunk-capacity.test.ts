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

/** Shortest pause of this process that may change the dispatcher, in milliseconds. A host is silent after 600 ms without a message, and a
 * dispatcher sends one every 200 ms. */
const pauseMs = 200;

const wasPaused = ({longestPauseMs}: TestSite): boolean => longestPauseMs() > pauseMs;

/**
 * Plays on new sites until this process, with all its hosts, was not paused meanwhile, as it is at times on a busy machine. By design, a
 * dispatcher that was paused gives its cells up. Any other change of the dispatcher fails the test, and so does a play that never ends
 * without a pause. Rules other than those in `brokenRules` may not be broken in any play.
 */
const playWithoutPause = async (start: () => Promise<TestSite>, play: (testSite: TestSite) => Promise<void>, brokenRules = ['limit']): Promise<void> => {
	for (let isDone = false; !isDone;) {
		// eslint-disable-next-line no-await-in-loop -- one site at a time
		await site?.close();
		// eslint-disable-next-line no-await-in-loop -- one site at a time
		site = await start();
		try {
			// eslint-disable-next-line no-await-in-loop -- one site at a time
			await play(site);
		} catch (error) {
			if (!wasPaused(site)) {
				throw error;
			}

			console.log(`played again after a pause of ${Math.round(site.longestPauseMs())} ms: ${String(error)}`);
		}

		isDone = !wasPaused(site);
		expect(site.checker.violations.filter(({rule}) => !brokenRules.includes(rule))).toEqual([]);
	}
};

/** Polls until a condition holds, or this process was paused. */
const untilOrPause = async (testSite: TestSite, condition: () => boolean | Promise<boolean>): Promise<void> => until(async () => {
	if (wasPaused(testSite)) {
		throw new Error('this process was paused');
	}

	return condition();
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

/** Waits until a host keeps to the capacities, and checks that it goes on with that. */
const expectKeepsToCapacity = async (testSite: TestSite, host: number) => {
	await untilOrPause(testSite, async () => !await exceedsCapacity(testSite, host));
	expect(await exceedsCapacity(testSite, host)).toBe(false);
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

	await untilOrPause(testSite, () => countEvents(testSite, 'store-lost') >= lost + indexes.length);
};

const startReadySite = async (hostCount: number): Promise<TestSite> => {
	const testSite = await startSite(hostCount, 4, {hasEntrances: true});
	await testSite.untilReady();
	return testSite;
};

const startTwoZones = async (): Promise<TestSite> => {
	const testSite = await startSite(2, 4, {hasEntrances: true, zones: ['y', 'z']});
	await until(() => testSite.hosts.every(({host}) => host.isReady() && host.isDispatching() && host.freeTasksElsewhere() > 0));
	return testSite;
};

// A dispatcher kept starting tasks from the last table that it had read, while the store turned it away and served the other hosts.
describe('a capacity that shrinks while the store turns the dispatcher away', () => {
	test.each([availability.busy, availability.silent, availability.reset])('is learned from another host of the zone: %s', async how => {
		await playWithoutPause(async () => startReadySite(3), async testSite => {
			const dispatcher = await testSite.dispatcherIndex();
			const claims = countEvents(testSite, 'dispatching');
			await turnAway(testSite, [dispatcher], how);
			shrink(testSite);
			await expectKeepsToCapacity(testSite, dispatcher);
			expect(await testSite.dispatcherIndex()).toBe(dispatcher);
			expect(countEvents(testSite, 'dispatching')).toBe(claims);
		});
	});

	test('is learned from the next host if the first one is turned away, too', async () => {
		await playWithoutPause(async () => startReadySite(3), async testSite => {
			const dispatcher = await testSite.dispatcherIndex();
			const asked = countEvents(testSite, 'minions-from');
			await turnAway(testSite, [dispatcher], availability.busy);
			await untilOrPause(testSite, () => countEvents(testSite, 'minions-from') > asked);
			await turnAway(testSite, [(dispatcher + 1) % 3], availability.silent);
			shrink(testSite);
			await expectKeepsToCapacity(testSite, dispatcher);
		});
	});

	test('is learned from another zone if no host of the zone is served', async () => {
		await playWithoutPause(startTwoZones, async testSite => {
			await turnAway(testSite, [0], availability.busy);
			shrink(testSite);
			await expectKeepsToCapacity(testSite, 0);
		});
	});

	test('is read again from the store once this serves the dispatcher, as is one that has grown', async () => {
		await playWithoutPause(async () => startReadySite(2), async testSite => {
			const dispatcher = await testSite.dispatcherIndex();
			await turnAway(testSite, [dispatcher], availability.busy);
			shrink(testSite);
			await untilOrPause(testSite, async () => !await exceedsCapacity(testSite, dispatcher));
			testSite.entrances[dispatcher]!.setAvailability(availability.up);
			await untilOrPause(testSite, () => countEvents(testSite, 'store-regained') > 0);
			for (const minion of testSite.minions) {
				minion.setCapacity(32_000);
			}

			await untilOrPause(testSite, async () => exceedsCapacity(testSite, dispatcher));
		});
	});
});

test('an outage of the store for all hosts changes nothing', async () => {
	await playWithoutPause(async () => startReadySite(3), async testSite => {
		const dispatcher = await testSite.dispatcherIndex();
		const claims = countEvents(testSite, 'dispatching');
		await turnAway(testSite, [0, 1, 2], availability.silent);
		for (const host of [0, 1, 2]) {
			// eslint-disable-next-line no-await-in-loop -- one job after the other
			expect(await testSite.submit(host, {id: (host + 1).toString(16).padStart(16, 'a'), count: 4, workMs: 20})).toMatchObject({status: 200});
		}

		expect(await testSite.dispatcherIndex()).toBe(dispatcher);
		expect(countEvents(testSite, 'dispatching')).toBe(claims);
	}, []);
});
