/** Every command from the command line over HTTP, including with an unreachable zone and with the log down. */
import {randomUUID} from 'node:crypto';
import {rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
	afterEach, beforeEach, describe, expect, test,
} from '@jest/globals';
import {Ok} from 'ts-results-es';
import {answerSchema} from '../answers.js';
import {exitCode} from '../command-line/exit-code.js';
import {
	createEnvironment, type ListeningService, type ProgramRun, runProgram, startService, testToken,
} from '../__fixtures__/command-line.js';
import {createFakeDeployment, type FakeDeployment, testDeclarations} from '../__fixtures__/fake-source.js';
import {createJobRow} from '../__fixtures__/rows.js';

let fake: FakeDeployment;
let service: ListeningService;
let file: string;

const run = async (...arguments_: string[]): Promise<ProgramRun> =>
	runProgram(arguments_, createEnvironment(service.url, testToken));

const runJson = async (...arguments_: string[]) => {
	const {code, output} = await run(...arguments_, '--json');
	return {code, answer: answerSchema.parse(JSON.parse(output))};
};

const readOutput = async (arguments_: string[]): Promise<string> => {
	const {output} = await runProgram(arguments_, {});
	return output;
};

const cutZone = (zone: string): void => {
	for (const host of fake.hosts.filter(host => host.zone === zone)) {
		host.cut = 'no route to host';
	}
};

beforeEach(async () => {
	const hosts = ['a', 'b', 'c'].flatMap(zone => [1, 2].map(index => ({
		host: `${zone}-${index}`,
		zone,
		version: 0,
		jobs: [
			createJobRow({
				key: `late-${zone}-${index}`, team: 'lens-desk', state: 'late', zone, age: index * 1000,
			}),
			createJobRow({key: `running-${zone}-${index}`, zone}),
		],
	})));
	fake = createFakeDeployment(hosts);
	service = await startService(fake.source);
	file = path.join(tmpdir(), `declarations-${randomUUID()}.jsonc`);
	await writeFile(file, JSON.stringify({...testDeclarations, teams: {'day-a': {weight: 2, maxTasksInFlight: 100}}, drains: ['m-1']}));
});

afterEach(async () => {
	await service.close();
	await rm(file, {force: true});
});

describe('queries', () => {
	test('gather the rows of all hosts', async () => {
		const {code, answer} = await runJson('query', 'jobs where state = late and team = "lens-desk" order by age desc, key limit 4');
		expect(code).toBe(exitCode.done);
		expect(answer).toMatchObject({
			kind: 'rows', table: 'jobs', missing: [], rows: [{key: 'late-a-2'}, {key: 'late-b-2'}, {key: 'late-c-2'}, {key: 'late-a-1'}],
		});
	});

	test('name the hosts of a zone that is cut off', async () => {
		cutZone('c');
		const {code, answer} = await runJson('query', 'jobs where state = late');
		expect(code).toBe(exitCode.incomplete);
		expect(answer).toMatchObject({
			rows: {length: 4},
			missing: [{host: 'c-1', zone: 'c', reason: 'no route to host'}, {host: 'c-2', zone: 'c', reason: 'no route to host'}],
		});
		const {output} = await run('jobs', 'limit', '1');
		expect(output).toContain('1 row, incomplete: 2 hosts missing');
		expect(output).toContain('NO ANSWER from c-1 (zone c): no route to host');
	});

	test('name a host whose answer is malformed', async () => {
		fake.source.peers = () => [{host: 'b-1', zone: 'b', query: async () => new Ok('{"rows": 7}')}];
		const {code, answer} = await runJson('jobs');
		expect(code).toBe(exitCode.incomplete);
		expect(answer).toMatchObject({missing: [{host: 'b-1', reason: 'its answer is malformed'}]});
	});

	test('show a readable table', async () => {
		const {output} = await run('jobs where key = late-a-2');
		const [heading, row] = output.split('\n');
		expect(heading).toMatch(/^key +team +upstream +zone +host +state +age/v);
		expect(row).toMatch(/^late-a-2 +lens-desk +lens +a +e1 +late +2s/v);
		expect(output).toContain('1 row from all hosts');
	});

	test('repeat until interrupted', async () => {
		const controller = new AbortController();
		const {peers} = fake.source;
		let rounds = 0;
		fake.source.peers = () => {
			rounds += 1;
			if (rounds === 3) {
				controller.abort();
			}

			return peers();
		};

		const arguments_ = ['jobs', '--watch', '--interval', '1', '--json'];
		const {output} = await runProgram(arguments_, createEnvironment(service.url, testToken), controller.signal);
		expect(output.split('\n')).toHaveLength(3);
	});

	test('a syntax error points at the place', async () => {
		const {code, errors} = await run('jobs where state = lat');
		expect(code).toBe(exitCode.usage);
		expect(errors).toContain('expected queued, running, late or stuck');
	});
});

describe('cancellations', () => {
	test.each(['cancel', 'stop'])('%s ends one job', async mode => {
		const {code, answer} = await runJson(mode, 'running-b-1');
		expect(code).toBe(exitCode.done);
		expect(answer).toMatchObject({kind: 'cancellation', mode, jobs: [{key: 'running-b-1', outcome: 'cancelled'}]});
		expect(fake.cancelled).toEqual([{key: 'running-b-1', mode}]);
	});

	test('end every job that a query selects', async () => {
		cutZone('c');
		const {code, answer} = await runJson('cancel', 'jobs where state = late');
		expect(code).toBe(exitCode.incomplete);
		expect(fake.cancelled.map(({key}) => key).toSorted()).toEqual(['late-a-1', 'late-a-2', 'late-b-1', 'late-b-2']);
		expect(answer).toMatchObject({missing: [{host: 'c-1'}, {host: 'c-2'}]});
	});

	test('report an unknown key or an unreachable home', async () => {
		cutZone('c');
		await expect(runJson('cancel', 'no-such-key')).resolves.toMatchObject({code: exitCode.notFound});
		await expect(runJson('stop', 'late-c-1')).resolves.toMatchObject({
			code: exitCode.incomplete, answer: {jobs: [{outcome: 'unreachable', reason: 'no route to host'}]},
		});
	});
});

describe('changes', () => {
	test.each([
		['drain m-1', {kind: 'drain', id: 'm-1'}],
		['undrain m-1', {kind: 'undrain', id: 'm-1'}],
		['limit maxDeadlineMs = 30s', {kind: 'limit', name: 'maxDeadlineMs', value: 30_000}],
		['quota day-a = 400', {kind: 'quota', team: 'day-a', maxTasksInFlight: 400}],
		['weight day-a = 2.5', {kind: 'weight', team: 'day-a', weight: 2.5}],
		['rollback 0', {kind: 'rollback', version: 0}],
	])('%s is accepted and in force on every host', async (statement, change) => {
		const {code, answer} = await runJson(...statement.split(' '));
		expect(code).toBe(exitCode.done);
		expect(answer).toMatchObject({
			kind: 'change', outcome: 'accepted', version: 1, baseVersion: 0, inForce: {hosts: {length: 6}, behind: [], missing: []},
		});
		expect(fake.submitted).toMatchObject([{baseVersion: 0, change}]);
	});

	test('name the hosts that could not be reached', async () => {
		cutZone('b');
		const {code, answer} = await runJson('drain', 'm-1');
		expect(code).toBe(exitCode.incomplete);
		expect(answer).toMatchObject({outcome: 'accepted', inForce: {hosts: {length: 4}, missing: [{host: 'b-1'}, {host: 'b-2'}]}});
	});

	test('name the hosts that stay behind until the deadline', async () => {
		await service.close();
		service = await startService(fake.source, {requestMs: 300});
		const {submit} = fake.source;
		fake.source.submit = async (command, deadline) => {
			const submission = await submit(command, deadline);
			fake.hosts[3]!.version = 0;
			return submission;
		};

		const {code, answer} = await runJson('drain', 'm-1');
		expect(code).toBe(exitCode.incomplete);
		expect(answer).toMatchObject({inForce: {behind: [{host: 'b-2', version: 0}]}});
	});

	test('of two concurrent operators one succeeds and the other receives the version that beat it', async () => {
		await run('drain', 'm-1', '--command-id', 'first');
		const {code, answer} = await runJson('quota', 'day-a = 5', '--base-version', '0');
		expect(code).toBe(exitCode.beaten);
		expect(answer).toMatchObject({outcome: 'beaten', version: 1, beatenBy: 'first'});
		const {output} = await run('undrain', 'm-1', '--base-version', '0');
		expect(output).toContain('NOT APPLIED: version 1 by command first came first');
	});

	test('are applied once however often they are sent', async () => {
		await run('drain', 'm-1', '--command-id', 'once');
		const {answer} = await runJson('drain', 'm-1', '--command-id', 'once');
		expect(answer).toMatchObject({outcome: 'accepted', version: 1});
		expect(fake.versions).toHaveLength(2);
	});

	test('report what is invalid', async () => {
		await expect(runJson('quota', 'nobody', '=', '4')).resolves.toMatchObject({
			code: exitCode.invalid, answer: {outcome: 'invalid', faults: ['there is no team "nobody"']},
		});
	});

	test('report an unknown outcome while the log is down', async () => {
		fake.isLogDown = true;
		const {code, answer} = await runJson('drain', 'm-1', '--command-id', 'again');
		expect(code).toBe(exitCode.unknown);
		expect(answer).toMatchObject({outcome: 'unknown', commandId: 'again', reason: 'the log did not answer'});
		const {output} = await run('drain', 'm-1', '--command-id', 'again');
		expect(output).toContain('--command-id again --base-version 0');
	});
});

describe('declarations', () => {
	test('plan shows what would change and changes nothing', async () => {
		const {code, answer} = await runJson('plan', file);
		expect(code).toBe(exitCode.done);
		expect(answer).toMatchObject({
			baseVersion: 0,
			differences: [
				{
					path: 'team/day-a', kind: 'changed', before: {weight: 1}, after: {weight: 2},
				},
				{path: 'drain/m-1', kind: 'added', after: 'm-1'},
			],
		});
		expect(fake.submitted).toEqual([]);
	});

	test('apply submits the declarations once', async () => {
		const {code, output} = await run('apply', file);
		expect(code).toBe(exitCode.done);
		expect(output).toContain('~ team/day-a: {"weight":1,"maxTasksInFlight":100} -> {"weight":2,"maxTasksInFlight":100}');
		expect(output).toContain('in force on 6 hosts');
		await expect(run('apply', file)).resolves.toMatchObject({code: exitCode.done, output: 'nothing to change: version 1 is what the file says'});
		expect(fake.submitted).toHaveLength(1);
	});

	test('apply on a version that is no longer in force is beaten', async () => {
		await run('drain', 'm-1');
		const {code, answer} = await runJson('apply', file, 'on', 'version', '0');
		expect(code).toBe(exitCode.beaten);
		expect(answer).toMatchObject({outcome: 'beaten', version: 1, baseVersion: 0});
	});

	test('an invalid file is refused before anything is sent to the log', async () => {
		await writeFile(file, '{');
		const {code, output} = await run('apply', file);
		expect(code).toBe(exitCode.invalid);
		expect(output).toMatch(/^NOT APPLIED: not valid\n.*\n.*declarations:1:2: .*to fix it/v);
		await expect(run('plan', `${file}.missing`)).resolves.toMatchObject({code: exitCode.usage});
		expect(fake.submitted).toEqual([]);
	});

	test('history lists the versions, and rollback creates a new one', async () => {
		await run('apply', file);
		await run('rollback', '0');
		const {answer} = await runJson('history');
		expect(answer).toMatchObject({entries: [{version: 2, summary: 'rollback'}, {version: 1, summary: 'replace'}]});
		expect(fake.versions[2]).toEqual(fake.versions[0]);
		const {output} = await run('history', 'limit', '1');
		expect(output.split('\n')).toHaveLength(2);
		fake.isLogDown = true;
		await expect(run('history')).resolves.toMatchObject({code: exitCode.unreachable});
	});
});

describe('the program', () => {
	test('tries the next entry host when one does not answer', async () => {
		const {code} = await runProgram(['hosts', '--url', 'http://127.0.0.1:1', '--url', service.url], createEnvironment(undefined, testToken));
		expect(code).toBe(exitCode.done);
	});

	test.each([
		[['jobs'], createEnvironment('http://127.0.0.1:1', 'x'), exitCode.unreachable, 'no entry host answered'],
		[['jobs'], createEnvironment(undefined, 'x'), exitCode.usage, 'give --url'],
		[['jobs'], createEnvironment('http://127.0.0.1:1'), exitCode.usage, 'give --token-file'],
		[['jobs', '--colour'], {}, exitCode.usage, '--colour'],
		[[], {}, exitCode.usage, 'a statement is missing'],
		[['drain', 'm-1', '--watch'], createEnvironment('http://127.0.0.1:1', 'x'), exitCode.usage, 'queries only'],
	])('%j: exit code and message', async (arguments_, environment, code, message) => {
		const result = await runProgram(arguments_, environment);
		expect(result.code).toBe(code);
		expect(result.errors).toContain(message);
	});

	test('refuses a wrong token', async () => {
		const result = await runProgram(['jobs'], createEnvironment(service.url, 'wrong'));
		expect(result.code).toBe(exitCode.unauthorized);
	});

	test('prints its help and completes statements', async () => {
		expect(await readOutput(['--help'])).toContain('chivestream [query] STATEMENT');
		const choices = await readOutput(['complete', 'jobs where state =']);
		expect(choices.split('\n')).toEqual(['queued', 'running', 'late', 'stuck', 'now']);
		expect(await readOutput(['complete', ''])).toContain('jobs');
		expect(await readOutput(['completion', 'bash'])).toContain('complete -o default');
	});
});
