/** Burn rates, error budgets and the output formats of the report. */
import {createServer, type Server} from 'node:http';
import {mkdtemp, readFile, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {
	afterEach, describe, expect, test,
} from '@jest/globals';
import {createExport, createTestClock, testObjective} from '../__fixtures__/histories.js';
import {createBurnReport} from '../burn.js';
import {formatHtml} from '../format-html.js';
import {formatText} from '../format-text.js';
import {reportExitCode, runReport} from '../run.js';

const at = Date.UTC(2026, 0, 5, 10, 30);
const repeat = (value: number, count: number): number[] => Array.from({length: count}, () => value);
const missing = {host: 'e9', zone: 'c', reason: 'no route to host'};

describe('createBurnReport', () => {
	test('merges the histories of hosts without loss', () => {
		const times = Array.from({length: 400}, (_, index) => 20 + ((index * 37) % 900));
		const apart = createBurnReport(createExport({e1: times.slice(0, 150), e2: times.slice(150)}, at), at);
		const together = createBurnReport(createExport({e1: times}, at), at);
		expect(apart.objectives).toEqual(together.objectives);
		expect(apart.objectives[0]?.windows.long).toMatchObject({good: times.filter(time => time <= 500).length, coverage: 1});
	});

	test('computes burn rates and the remaining budget', () => {
		const [report] = createBurnReport(createExport({e1: [...repeat(100, 95), ...repeat(900, 5)]}, at), at).objectives;
		expect(report?.state).toBe('met');
		expect(report?.windows.short.burnRate).toBeCloseTo(0.5);
		expect(report?.budgetLeft).toBeCloseTo(0.5);
	});

	test('reports a spent budget', () => {
		const [report] = createBurnReport(createExport({e1: [...repeat(100, 8), ...repeat(900, 2)]}, at), at).objectives;
		expect(report).toMatchObject({state: 'spent'});
		expect(report?.budgetLeft).toBeCloseTo(-1);
	});

	test('reports a fast burn in both windows while budget is left', () => {
		const exported = createExport({e1: [...repeat(100, 80), ...repeat(900, 20)]}, at);
		const [history] = exported.hosts[0]!.objectives;
		history!.objective = {...testObjective, goal: 0.99};
		history!.buckets.unshift({
			start: at - 7_200_000, good: 100_000, bad: 0, unknown: 0, histogram: '',
		});
		expect(createBurnReport(exported, at).objectives[0]?.state).toBe('burning');
	});

	test('reports no objective as met while hosts are missing', () => {
		const exported = {...createExport({e1: repeat(100, 50)}, at), missing: [missing]};
		const report = createBurnReport(exported, at);
		expect(report.objectives[0]).toMatchObject({state: 'unproved', windows: {long: {coverage: 0.5}}});
		expect(formatText(report)).toContain('MISSING e9 (zone c): no route to host');
		expect(formatHtml(report)).toContain('e9 (zone c): no route to host');
	});

	test('excludes the time before the start of a host from the coverage', () => {
		const exported = createExport({e1: repeat(100, 50)}, at);
		exported.hosts[0]!.since = at - 600_000;
		expect(createBurnReport(exported, at).objectives[0]).toMatchObject({state: 'unproved', windows: {short: {coverage: 1}}});
	});

	test('reports an objective without jobs as idle', () => {
		expect(createBurnReport(createExport({e1: []}, at), at).objectives[0]).toMatchObject({state: 'idle', budgetLeft: undefined});
	});
});

describe('formatHtml', () => {
	test('creates a self-contained page and escapes names', () => {
		const exported = createExport({e1: [100, 900]}, at);
		exported.hosts[0]!.objectives[0]!.objective = {...testObjective, name: '<script>'};
		const page = formatHtml(createBurnReport(exported, at));
		expect(page).toContain('&lt;script&gt;');
		expect(page).not.toMatch(/<script|src=|href=|url\(|NaN/v);
		expect(page.match(/<svg/gv)).toHaveLength(2);
	});
});

describe('the program', () => {
	let server: Server | undefined;

	afterEach(async () => new Promise<void>(resolve => {
		server?.close(() => {
			resolve();
		});
	}));

	const run = async (body: unknown, status: number, ...words: string[]) => {
		server = createServer((_request, response) => {
			response.writeHead(status, {'content-type': 'application/json', connection: 'close'});
			response.end(JSON.stringify(body));
		});
		await new Promise<void>(resolve => {
			server?.listen(0, '127.0.0.1', resolve);
		});
		const address = server.address();
		const port = typeof address === 'object' ? address?.port : undefined;
		const output: string[] = [];
		const code = await runReport({
			arguments: ['--url', `http://127.0.0.1:${port}`, ...words],
			environment: Object.fromEntries([['CHIVESTREAM_TOKEN', 'x']]),
			write(text) {
				output.push(text);
			},
			writeError(text) {
				output.push(text);
			},
			clock: createTestClock(at),
		});
		return {code, output: output.join('\n')};
	};

	test('prints the report and writes the page', async () => {
		const directory = await mkdtemp(path.join(tmpdir(), 'report-'));
		const file = path.join(directory, 'burn.html');
		const {code, output} = await run(createExport({e1: repeat(100, 50)}, at), 200, '--html', file);
		expect(code).toBe(reportExitCode.met);
		expect(output).toContain('reading: MET');
		expect(output).toContain('budget left 100%');
		await expect(readFile(file, 'utf8')).resolves.toContain('<!doctype html>');
		await rm(directory, {recursive: true});
	});

	test('exits with the code for a spent budget', async () => {
		const burning = await run(createExport({e1: repeat(900, 50)}, at), 200, '--json');
		expect(burning.code).toBe(reportExitCode.burning);
		expect(JSON.parse(burning.output)).toMatchObject({objectives: [{state: 'spent'}]});
	});

	test.each([
		[{...createExport({e1: repeat(100, 50)}, at), missing: [missing]}, 200, reportExitCode.incomplete],
		[{kind: 'error'}, 401, reportExitCode.unauthorized],
		[{kind: 'error'}, 500, reportExitCode.unreachable],
	])('exits with the expected code for answer %#', async (body, status, expected) => {
		const {code} = await run(body, status);
		expect(code).toBe(expected);
	});
});
