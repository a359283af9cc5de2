import {describe, expect, test} from '@jest/globals';
import {formatJobTimeline, parseLog, buildJobTimeline} from '../index.js';

const id = '00000000000000aa';

const row = (second: number, host: string, message: string, fields: Record<string, unknown> = {}): string => JSON.stringify({
	timestamp: new Date(Date.UTC(2026, 0, 1, 12, 0, 0, second * 1000)).toISOString(), level: 'info', host, message, ...fields,
});

const formatTimelineOf = (...rows: string[]) => {
	const timeline = buildJobTimeline(id, parseLog(rows.join('\n')).lines);
	return timeline === undefined ? undefined : formatJobTimeline(timeline);
};

describe('parseLog', () => {
	test('skips text that a log collector puts before a line and counts lines in another format', () => {
		const {lines, unreadableLines: unreadable} = parseLog(`10.5 h1 ${row(1, 'h1', 'started', {zone: 'a'})}\nNode warns\n{"broken\n\n`);
		expect(lines).toEqual([expect.objectContaining({host: 'h1', message: 'started', fields: {zone: 'a'}})]);
		expect(unreadable).toBe(2);
	});
});

describe('the job timeline', () => {
	test('shows the load of the dispatcher that refused the job and its unavailable minions', () => {
		const text = formatTimelineOf(
			row(9, 'h2', 'minion-quarantined', {minion: 'i-1', failures: 2}),
			row(10, 'h2', 'job-turned-away', {
				job: id, outcome: 'refused', reason: 'no room in time', aheadMs: 812, parallelTasks: 14, usableMinions: 10, minions: 11,
			}),
			row(10.001, 'h1', 'job-answered', {
				job: id, outcome: 'refused', reason: 'no room in time', tookMs: 3,
			}),
			row(10, 'h3', 'minion-quarantined', {minion: 'i-9', failures: 2}),
		);
		expect(text).toContain('minion=i-1');
		expect(text).not.toContain('i-9');
		expect(text).toContain('refused by h1 after 3 ms: no room in time; h2 had 812 ms of work ahead of it, 14 tasks in parallel, 10 of 11 minions accepting work');
	});

	test('shows the minions that crashed with a run of the job', () => {
		const text = formatTimelineOf(
			row(10, 'h2', 'minion-crashed', {
				minion: 'i-1', evidence: 'stopped-listening', runs: [{task: `${id}.0.0.1`, run: 1, ranMs: 12}, {task: 'ff.0.0.0', run: 1, ranMs: 90}],
			}),
			row(10.1, 'h2', 'minion-crashed', {minion: 'i-2', evidence: 'stopped-listening', runs: [{task: 'ff.0.0.0', run: 1, ranMs: 90}]}),
			row(10.5, 'h1', 'job-answered', {job: id, outcome: 'completed', tookMs: 500}),
		);
		expect(text).toContain('completed by h1 after 500 ms; minions that crashed with one of its runs: 1');
	});

	test('shows that the dispatcher was lost and the last event of its host', () => {
		const text = formatTimelineOf(
			row(9.5, 'h2', 'stopping', {inProgress: 2}),
			row(10, 'h1', 'dispatcher-lost', {job: id, dispatcher: 'h2', submission: 0}),
			row(10.7, 'h1', 'job-answered', {job: id, outcome: 'completed', tookMs: 900}),
		);
		expect(text).toContain('h2  stopping');
		expect(text).toContain('completed by h1 after 900 ms; its dispatcher was lost 1 times');
	});

	test('reports a missing answer and the state of the hosts around that time', () => {
		const text = formatTimelineOf(
			row(10, 'h2', 'start-not-taken', {task: `${id}.0.0.1`, run: 1, minion: 'i-1'}),
			row(2, 'h2', 'frozen', {forMs: 700}),
			row(10.2, 'h2', 'frozen', {forMs: 900}),
		);
		expect(text).toContain('no host has logged an answer');
		expect(text).toContain('h2 frozen');
		expect(text).not.toContain('forMs=700');
	});

	test('is undefined if no line refers to the job', () => {
		expect(formatTimelineOf(row(1, 'h1', 'started'))).toBeUndefined();
	});
});
