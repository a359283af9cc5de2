/** The program `chivestream` against entry hosts in separate processes, also with a paused zone and with an unavailable log. */
import {randomUUID} from 'node:crypto';
import {rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
	afterAll, beforeAll, describe, expect, test,
} from '@jest/globals';
import {type Cluster, clusterOperatorToken, startCluster} from 'chivestream-stand-ins';
import {request} from 'undici';
import {z} from 'zod';
import {type Answer, answerSchema} from '../answers.js';
import {exitCode} from '../command-line/exit-code.js';
import {createEnvironment, runProgram} from '../__fixtures__/command-line.js';

const hostCount = 6;
const homeSchema = z.object({home: z.string()});
const zones = ['a', 'b', 'c'];
const team = 'lens-desk';

let cluster: Cluster;
let file: string;

const runJson = async (...words: string[]): Promise<{code: number; answer: Answer}> => {
	const [entry] = cluster.entries;
	const environment = createEnvironment(`http://${entry?.operatorAddress}`, clusterOperatorToken);
	const {code, output, errors} = await runProgram([...words, '--json'], environment);
	if (output === '') {
		throw new Error(errors);
	}

	return {code, answer: answerSchema.parse(JSON.parse(output))};
};

const readVersionInForce = async (): Promise<number> => {
	const {answer} = await runJson('configuration', 'order by version desc limit 1');
	return answer.kind === 'rows' ? Number(answer.rows[0]?.version) : -1;
};

/** Repeats a statement until its answer is as expected; the timeout of the test ends it otherwise. */
const runUntil = async (statement: string, isExpected: (answer: Answer) => boolean): Promise<Answer> => {
	for (;;) {
		// eslint-disable-next-line no-await-in-loop -- iterations are sequential
		const {answer} = await runJson(statement);
		if (isExpected(answer)) {
			return answer;
		}
	}
};

const hasRows = (count: number) => (answer: Answer): boolean => answer.kind === 'rows' && answer.rows.length === count;

const setLogOutage = async (outage: string): Promise<void> => {
	const {body} = await request(`http://${cluster.log.address}/faults`, {method: 'POST', body: JSON.stringify({outage})});
	await body.dump();
};

const createKey = async (address: string): Promise<string> => {
	const {body} = await request(`http://${address}/v1/home`);
	const {home} = homeSchema.parse(await body.json());
	return `${home}~${randomUUID()}`;
};

/** Submits a job of equal tasks and resolves with its answer. */
const submitJob = async (address: string, key: string, taskCount: number, runMs: number): Promise<unknown> => {
	const tasks = Array.from({length: taskCount}, () => ({payload: {runMs}, declaredMs: 50}));
	const job = {
		key, team, upstream: 'lens', isIdempotent: false, deadline: Date.now() + 30_000, tasks,
	};
	const {body} = await request(`http://${address}/v1/jobs`, {method: 'POST', body: JSON.stringify(job)});
	return body.json();
};

beforeAll(async () => {
	file = path.join(tmpdir(), `declarations-${randomUUID()}.json`);
	cluster = await startCluster({
		zones,
		hostsPerZone: hostCount / zones.length,
		fleets: [{
			upstream: 'lens', minionsPerZone: 2, speeds: [1], preference: 'response-time',
		}],
		teams: {[team]: {weight: 1, maxTasksInFlight: 100}},
		seed: 5,
		hostListLagMs: 100,
	});
}, 60_000);

afterAll(async () => {
	await cluster?.stop();
	await rm(file, {force: true});
}, 30_000);

describe('entry hosts as processes', () => {
	test('a query returns the rows of all hosts', async () => {
		await runUntil('hosts where state = serving', hasRows(hostCount));
		await expect(runJson('hosts')).resolves.toMatchObject({code: exitCode.done, answer: {rows: {length: hostCount}, missing: []}});
		await expect(runJson('configuration')).resolves.toMatchObject({code: exitCode.done, answer: {rows: {length: hostCount}}});
		await expect(runJson('upstreams')).resolves.toMatchObject({code: exitCode.done, answer: {rows: {length: hostCount}}});
		await expect(runJson('minions where id = lens-b-0')).resolves.toMatchObject({answer: {missing: []}});
		await expect(runJson('workers')).resolves.toMatchObject({code: exitCode.done, answer: {rows: []}});
	});

	test.each([
		['cancel', 1500],
		['stop', 20_000],
	])('%s ends a job that another host runs', async (mode, runMs) => {
		const {id, callerAddress} = cluster.entries.at(-1)!;
		const key = await createKey(callerAddress);
		const answer = submitJob(callerAddress, key, 90, runMs);
		const jobs = await runUntil(`jobs where key = "${key}" and running > 0 and queued > 0`, hasRows(1));
		expect(jobs).toMatchObject({
			rows: [{
				team, host: id, state: 'running', tasks: 90,
			}],
		});
		await expect(runJson(mode, key)).resolves.toMatchObject({code: exitCode.done, answer: {jobs: [{key, outcome: 'cancelled'}]}});
		await expect(answer).resolves.toMatchObject({state: 'failed', failure: {code: 'cancelled'}});
	});

	test('a cancellation that arrives before its job closes the key', async () => {
		const {callerAddress} = cluster.entries.at(-1)!;
		const key = await createKey(callerAddress);
		await expect(runJson('cancel', key)).resolves.toMatchObject({code: exitCode.done, answer: {jobs: [{outcome: 'cancelled'}]}});
		await expect(submitJob(callerAddress, key, 1, 1)).resolves.toMatchObject({state: 'failed', failure: {code: 'cancelled', notRun: true}});
	});

	test('a job whose home is gone is reported as unreachable, not as unknown', async () => {
		await expect(runJson('cancel', 'h~entry-gone~mx8kz0000~0~key')).resolves.toMatchObject({
			code: exitCode.incomplete, answer: {jobs: [{outcome: 'unreachable'}]},
		});
	});

	test('an opaque key without a job is not found', async () => {
		await expect(runJson('cancel', 'no-such-key')).resolves.toMatchObject({code: exitCode.notFound});
	});

	test.each([
		['drain lens-a-0'],
		['undrain lens-a-0'],
		[`quota ${team} = 50`],
		[`weight ${team} = 2`],
		['limit maxDeadlineMs = 50s'],
	])('%s takes effect on every host', async statement => {
		const version = await readVersionInForce() + 1;
		await expect(runJson(statement)).resolves.toMatchObject({
			code: exitCode.done, answer: {outcome: 'accepted', version, inForce: {hosts: {length: hostCount}, missing: [], behind: []}},
		});
	});

	test('of two concurrent changes to the same version one is accepted', async () => {
		const base = String(await readVersionInForce());
		const outcomes = await Promise.all([
			runJson(`quota ${team} = 60`, '--base-version', base),
			runJson(`quota ${team} = 70`, '--base-version', base),
		]);
		expect(outcomes.map(({code}) => code).toSorted((left, right) => left - right)).toEqual([exitCode.done, exitCode.beaten]);
		expect(outcomes.map(({answer}) => answer)).toMatchObject([{version: Number(base) + 1}, {version: Number(base) + 1}]);
	});

	test('plan, apply, history and rollback', async () => {
		const before = await readVersionInForce();
		await writeFile(file, JSON.stringify({
			upstreams: {}, teams: {[team]: {maxTasksInFlight: 9}}, limits: {}, objectives: [],
		}));
		await expect(runJson('plan', file)).resolves.toMatchObject({code: exitCode.done, answer: {kind: 'plan', baseVersion: before}});
		await expect(runJson('apply', file)).resolves.toMatchObject({code: exitCode.done, answer: {outcome: 'accepted', version: before + 1}});
		await expect(runJson('apply', file)).resolves.toMatchObject({answer: {kind: 'plan', differences: []}});
		await expect(runJson('rollback', String(before))).resolves.toMatchObject({code: exitCode.done, answer: {version: before + 2}});
		await expect(runJson('history', 'limit 2')).resolves.toMatchObject({answer: {entries: [{version: before + 2}, {version: before + 1}]}});
		await expect(runJson('upstreams')).resolves.toMatchObject({answer: {rows: {length: hostCount}}});
	});

	test('the histories of an objective are exported for all hosts', async () => {
		const before = await readVersionInForce();
		const {address} = cluster.fleets[0]!.minions[0]!;
		const minion = {
			id: 'lens-a-0', zone: 'a', address, slots: 8, connections: 64,
		};
		const objective = {
			name: 'reading', upstream: 'lens', team, targetMs: 20_000, goal: 0.9,
		};
		const declarations = {
			upstreams: {lens: {minions: [minion]}}, teams: {[team]: {maxTasksInFlight: 9}}, limits: {}, objectives: [objective],
		};
		await writeFile(file, JSON.stringify(declarations));
		await expect(runJson('apply', file)).resolves.toMatchObject({code: exitCode.done, answer: {outcome: 'accepted'}});
		const {callerAddress, operatorAddress} = cluster.entries[0]!;
		await expect(submitJob(callerAddress, await createKey(callerAddress), 2, 5)).resolves.toMatchObject({state: 'complete'});
		const reply = await request(`http://${operatorAddress}/v1/histograms`, {headers: {authorization: `Bearer ${clusterOperatorToken}`}});
		const exported = await reply.body.json();
		expect(exported).toMatchObject({
			hosts: Array.from({length: hostCount}, () => ({objectives: [{objective}]})), missing: [],
		});
		expect(exported).toHaveProperty('hosts.0.objectives.0.buckets.0.good', 1);
		await expect(runJson('rollback', String(before))).resolves.toMatchObject({code: exitCode.done});
	});

	test('with the log unavailable, queries are answered and the outcome of a change is unknown until it is sent again', async () => {
		const base = await readVersionInForce();
		const words = [`quota ${team} = 80`, '--command-id', randomUUID(), '--base-version', String(base)];
		await setLogOutage('503');
		await expect(runJson(...words)).resolves.toMatchObject({code: exitCode.unknown, answer: {outcome: 'unknown'}});
		await expect(runJson('jobs')).resolves.toMatchObject({code: exitCode.done});
		await setLogOutage('none');
		await expect(runJson(...words)).resolves.toMatchObject({code: exitCode.done, answer: {outcome: 'accepted', version: base + 1}});
	});

	test('with an unreachable zone its hosts are listed as missing, and changes take effect on the other hosts', async () => {
		const pausedEntries = cluster.entries.filter(({zone}) => zone === 'c');
		const pausedHosts = pausedEntries.map(({id}) => id);
		const toNames = (missing: Array<{host: string}>): string[] => missing.map(({host}) => host).toSorted();
		for (const entry of pausedEntries) {
			entry.process.signal('SIGSTOP');
		}

		try {
			const queried = await runJson('jobs');
			expect(queried.code).toBe(exitCode.incomplete);
			expect(queried.answer.kind === 'rows' && toNames(queried.answer.missing)).toEqual(pausedHosts);
			const changed = await runJson('drain lens-a-1');
			expect(changed).toMatchObject({code: exitCode.incomplete, answer: {outcome: 'accepted', inForce: {hosts: {length: 4}}}});
			expect(changed.answer.kind === 'change' && toNames(changed.answer.inForce?.missing ?? [])).toEqual(pausedHosts);
		} finally {
			for (const entry of pausedEntries) {
				entry.process.signal('SIGCONT');
			}
		}

		const version = await readVersionInForce();
		await runUntil(`configuration where version = ${version}`, hasRows(hostCount));
	});
});
