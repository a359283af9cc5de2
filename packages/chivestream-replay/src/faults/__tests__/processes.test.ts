/** Runs a few of the faults on real processes, to check that the in-memory hosts of the seeded runs behave like them. */
import {
	afterAll, beforeAll, expect, test,
} from '@jest/globals';
import {createHomeKey, type Job} from 'chivestream-core';
import {
	readStarts, startCluster, startLink, type Cluster, type LaunchedEntry,
} from 'chivestream-stand-ins';
import {request} from 'undici';
import {z} from 'zod';

const taskMs = 600;
const deadlineMs = 12_000;
const pollMs = 25;

let cluster: Cluster;

beforeAll(async () => {
	cluster = await startCluster({
		zones: ['a'],
		hostsPerZone: 4,
		fleets: [{
			upstream: 'lens', minionsPerZone: 2, speeds: [1], preference: 'response-time',
		}],
		teams: {'day-a': {weight: 1, maxTasksInFlight: 1000}},
		seed: 1,
		hostListLagMs: 1000,
	});
});

afterAll(async () => {
	await cluster.stop();
});

const homeReply = z.object({home: z.string()});

const entryAt = (index: number): LaunchedEntry => cluster.entries[index]!;

const createJob = (key: string): Job => ({
	key,
	team: 'day-a',
	upstream: 'lens',
	isIdempotent: false,
	deadline: Date.now() + deadlineMs,
	createdAt: Date.now(),
	tasks: [{payload: 'left', declaredMs: taskMs}, {payload: 'right', declaredMs: taskMs}],
});

const homeKey = async ({callerAddress}: LaunchedEntry, suffix: string): Promise<string> => {
	const {body} = await request(`http://${callerAddress}/v1/home`);
	const {home} = homeReply.parse(await body.json());
	return createHomeKey(home, suffix);
};

/** The answer to a submission; undefined where the connection broke. */
const submit = async (callerAddress: string, job: Job): Promise<unknown> => {
	try {
		const {body} = await request(`http://${callerAddress}/v1/jobs`, {method: 'POST', body: JSON.stringify(job)});
		return await body.json();
	} catch {
		return undefined;
	}
};

const startsOf = async (key: string): Promise<number[]> => {
	const reports = await Promise.all(cluster.fleets.flatMap(({minions}) => minions).map(async ({address}) => readStarts(address)));
	return [0, 1].map(index => reports.reduce((sum, {starts}) => sum + (starts[`${key}/${index}`] ?? 0), 0));
};

const waitForStarts = async (key: string): Promise<void> => {
	let starts = await startsOf(key);
	/* eslint-disable no-await-in-loop -- polls until the tasks run */
	while (starts.includes(0)) {
		await new Promise(resolve => {
			setTimeout(resolve, pollMs);
		});
		starts = await startsOf(key);
	}
	/* eslint-enable no-await-in-loop */
};

test('copies of a job to every host join one run', async () => {
	const home = entryAt(0);
	const others = cluster.entries.slice(1);
	const job = createJob(await homeKey(home, 'copies'));
	const answers = await Promise.all([home, home, ...others].map(async ({callerAddress}) => submit(callerAddress, job)));
	expect(new Set(answers.map(answer => JSON.stringify(answer))).size).toBe(1);
	expect(answers[0]).toMatchObject({state: 'complete'});
	expect(await startsOf(job.key)).toEqual([1, 1]);
});

test('a home that is stopped and continued runs its job once, also for a copy submitted meanwhile', async () => {
	const home = entryAt(0);
	const other = entryAt(1);
	const job = createJob(await homeKey(home, 'stopped'));
	const first = submit(home.callerAddress, job);
	await waitForStarts(job.key);
	home.process.signal('SIGSTOP');
	const copy = submit(other.callerAddress, job);
	home.process.signal('SIGCONT');
	expect(await first).toMatchObject({key: job.key, state: 'complete'});
	expect(await copy).toEqual(await first);
	expect(await startsOf(job.key)).toEqual([1, 1]);
});

test('a caller that is cut off gets the answer of the same run through another host', async () => {
	const home = entryAt(0);
	const other = entryAt(1);
	const link = await startLink({target: home.callerAddress});
	const job = createJob(await homeKey(home, 'cut'));
	const first = submit(link.address, job);
	await waitForStarts(job.key);
	link.cut();
	expect(await submit(other.callerAddress, job)).toMatchObject({key: job.key, state: 'complete'});
	link.heal();
	expect(await first).toMatchObject({key: job.key, state: 'complete'});
	expect(await startsOf(job.key)).toEqual([1, 1]);
	await link.close();
});

test('while the log is down, home keys are served and the answer to an opaque key is not "not run"', async () => {
	const home = entryAt(0);
	cluster.log.process.signal('SIGSTOP');
	const job = createJob(await homeKey(home, 'outage'));
	const opaque = {...createJob('opaque-outage'), deadline: Date.now() + 1500};
	const answers = await Promise.all([submit(home.callerAddress, job), submit(home.callerAddress, opaque)]);
	cluster.log.process.signal('SIGCONT');
	expect(answers).toMatchObject([
		{state: 'complete'},
		{state: 'failed', failure: {code: 'log-unavailable', notRun: false}},
	]);
	expect(await startsOf(job.key)).toEqual([1, 1]);
});

test('a planned stop answers the job in progress', async () => {
	const stopping = entryAt(2);
	const job = createJob(await homeKey(stopping, 'planned'));
	const answer = submit(stopping.callerAddress, job);
	await waitForStarts(job.key);
	stopping.process.signal('SIGTERM');
	expect(await answer).toMatchObject({state: 'complete'});
	expect(await stopping.process.ended).toEqual({code: 0, signal: undefined});
	expect(await startsOf(job.key)).toEqual([1, 1]);
});

test('after its home is killed, no copy of a job starts a task again, and none is answered with "not run"', async () => {
	const other = entryAt(1);
	const killed = entryAt(3);
	const job = createJob(await homeKey(killed, 'killed'));
	const first = submit(killed.callerAddress, job);
	await waitForStarts(job.key);
	killed.process.signal('SIGKILL');
	expect(await first).toBeUndefined();
	const copy = await submit(other.callerAddress, job);
	expect(copy).toMatchObject({state: 'failed', failure: {notRun: false}});
	expect(await startsOf(job.key)).toEqual([1, 1]);
});
