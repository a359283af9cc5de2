/* eslint-disable no-await-in-loop -- rounds are sequential */
/** No task has two runs at the same time, whatever ends the dispatcher that started the first. */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, test,
} from '@jest/globals';
import {startProcessSite, type ProcessSite} from '../__fixtures__/process-site.js';
import {startSite, until, type TestSite} from '../__fixtures__/site.js';

/** Run time of each task, in milliseconds; leases must be renewed several times meanwhile. */
const workMs = 3600;

/** Time after which a caller sends a job again whose connection broke, in milliseconds. */
const resendMs = 1300;

/** Interval between the starts of two jobs, in milliseconds. */
const jobIntervalMs = 45;

const jobCount = 8;

/** Time from the start of the last task to the kill, in milliseconds. */
const leaseAgeMs = 300;

const killRounds = 3;

/** Time from the kill of the hosts to their restart in the first round, in milliseconds. */
const firstRestartDelayMs = 700;

/** Time from the kill to the first request of the next dispatcher that the later rounds aim at, in milliseconds. */
const aimedTakeoverMs = 780;

/** Time from the lapse of entries to the planned stop, in milliseconds. */
const lapseReadMs = 1500;

/** Time without the store before the jobs are submitted, in milliseconds. */
const outageMs = 3000;

/** By how much the answers of the minions whose entries have lapsed are late, in milliseconds. */
const answerDelayMs = 100;

/** Run time of a task that starts during a pause, in milliseconds. */
const pausedWorkMs = 1500;

/** Longer than the time after which a job is sent to another zone, in milliseconds. */
const longPauseMs = 2300;

let site: TestSite | ProcessSite | undefined;

afterEach(async () => {
	await site?.close();
	site = undefined;
});

const jobId = (number: number): string => number.toString(16).padStart(16, '0');

const untilTasksRun = async ({minions}: TestSite, count: number) =>
	until(() => minions.reduce((sum, minion) => sum + minion.runningTasks().length, 0) >= count);

describe('a job that its caller sends to another zone after its connection broke', () => {
	test('has no second run while the restarted dispatcher of the first zone still keeps the first run alive', async () => {
		const testSite = await startSite(2, 16, {zones: ['a', 'b']});
		site = testSite;
		const [killed, other] = [0, 1];
		let restartDelayMs = firstRestartDelayMs;
		for (let round = 0; round < killRounds; round += 1) {
			await testSite.untilReady();
			// The jobs start one after the other, so that the leases of their minions end one after the other, too.
			const callers = Array.from({length: jobCount}, async (_, index) => {
				await sleep(index * jobIntervalMs);
				const job = {id: jobId((round * 100) + index + 1), count: 2, workMs};
				const {status} = await testSite.submit(killed, job);
				if (status === undefined || status === 502 || status === 504) {
					await sleep(resendMs);
					await testSite.submit(other, job);
				}
			});
			await untilTasksRun(testSite, jobCount * 2);
			await sleep(leaseAgeMs);
			const killedAt = performance.now();
			const minions = testSite.minions.filter((_, index) => index % 2 === 0);
			const tokens = minions.map(minion => minion.highestToken());
			await testSite.hosts[killed]!.host.close();
			await sleep(restartDelayMs);
			await testSite.startHost(killed);
			await until(() => minions.some((minion, index) => minion.highestToken() > tokens[index]!));
			restartDelayMs = Math.max(0, restartDelayMs + aimedTakeoverMs - (performance.now() - killedAt));
			await Promise.all(callers);
		}

		expect(testSite.checker.starts).toBeGreaterThanOrEqual(killRounds * jobCount * 2);
		expect(testSite.checker.violations).toEqual([]);
	});
});

describe('a planned stop of the dispatcher', () => {
	test('causes no second run of tasks on minions whose entries have lapsed', async () => {
		const testSite = await startSite(3, 8);
		site = testSite;
		await testSite.untilReady();
		const dispatcher = await testSite.dispatcherIndex();
		const others = [0, 1, 2].filter(index => index !== dispatcher);
		const callers = Array.from({length: 8}, async (_, index) => testSite.submit(others[index % others.length]!, {id: jobId(index + 1), count: 1, workMs}));
		await untilTasksRun(testSite, 8);
		testSite.lapse(testSite.minions.filter(minion => minion.runningTasks().length > 0).slice(0, 2));
		// The dispatcher reads the entries once a second at the latest.
		await sleep(lapseReadMs);
		await testSite.hosts[dispatcher]!.host.stop();
		await Promise.all(callers);
		expect(testSite.checker.starts).toBeGreaterThanOrEqual(callers.length);
		expect(testSite.checker.violations).toEqual([]);
	});

	test('causes no second run of a task when entries have lapsed in an outage of the store just before it', async () => {
		const testSite = await startSite(3, 8);
		site = testSite;
		await testSite.untilReady();
		testSite.store.setAvailability('reset');
		await sleep(outageMs);
		const dispatcher = await testSite.dispatcherIndex();
		const others = [0, 1, 2].filter(index => index !== dispatcher);
		const callers = Array.from({length: 8}, async (_, index) => testSite.submit(others[index % others.length]!, {id: jobId(index + 1), count: 1, workMs}));
		await untilTasksRun(testSite, 8);
		const lapsing = testSite.minions.filter(minion => minion.runningTasks().length > 0).slice(0, 2);
		testSite.lapse(lapsing);
		await sleep(500);
		for (const minion of lapsing) {
			minion.delayAnswers(answerDelayMs);
		}

		testSite.store.setAvailability('up');
		await sleep(300);
		const stop = testSite.hosts[dispatcher]!.host.stop();
		await sleep(1200);
		testSite.endLapse();
		await stop;
		await Promise.all(callers);
		expect(testSite.checker.starts).toBeGreaterThanOrEqual(callers.length);
		expect(testSite.checker.violations).toEqual([]);
	});
});

describe('a submission that a paused dispatcher reads late', () => {
	test('starts no second run of a task that another zone runs by then', async () => {
		const testSite = await startProcessSite(['a', 'a', 'b'], 4);
		site = testSite;
		const [paused, leaving] = testSite.hosts;
		// While the first pause lasts, the message for the second one arrives just before the jobs, so that no timer runs between the end of
		// the second pause and the read of the jobs.
		paused!.send({pauseMs: 150});
		await sleep(50);
		paused!.send({pauseMs: longPauseMs});
		await sleep(20);
		const callers = Array.from({length: 4}, async (_, index) => testSite.submit(1, jobId(index + 1), pausedWorkMs));
		await sleep(100);
		// A host that leaves doesn't claim the cell of the paused one, and still serves its callers.
		leaving!.signal('SIGTERM');
		await Promise.all(callers);
		expect(testSite.checker.starts).toBeGreaterThanOrEqual(callers.length);
		expect(testSite.checker.violations).toEqual([]);
	});
});

describe('the loss of a dispatcher of one of several cells', () => {
	test('causes no second run of tasks on minions whose entries have lapsed', async () => {
		const testSite = await startProcessSite(['a', 'a'], 44);
		site = testSite;
		const {minions, hosts, checker} = testSite;
		const tokens = () => new Set(minions.map(minion => minion.highestToken()));
		const tokensBefore = tokens();
		// The first host hands one of its two cells over to the second one.
		await until(() => tokens().size === 2 && [...tokens()].some(token => !tokensBefore.has(token)));
		const callers = Array.from({length: 16}, async (_, index) => testSite.submit(1, jobId(index + 1), workMs));
		await until(() => minions.reduce((sum, minion) => sum + minion.runningTasks().length, 0) === callers.length);
		testSite.lapse(minions.filter(minion => minion.runningTasks().length > 0));
		await sleep(lapseReadMs);
		hosts[0]!.signal('SIGKILL');
		await Promise.all(callers);
		expect(checker.starts).toBeGreaterThanOrEqual(callers.length);
		expect(checker.violations).toEqual([]);
	});
});
