import {describe, expect, test} from '@jest/globals';
import {formatStory, readLog, tellStory} from '../index.js';

const id = '00000000000000aa';

const row = (second: number, host: string, message: string, fields: Record<string, unknown> = {}): string => JSON.stringify({
	timestamp: new Date(Date.UTC(2026, 0, 1, 12, 0, 0, second * 1000)).toISOString(), level: 'info', host, message, ...fields,
});

const tell = (...rows: string[]) => {
	const story = tellStory(id, readLog(rows.join('\n')).lines);
	return story === undefined ? undefined : formatStory(story);
};

describe('the log', () => {
	test('is read with whatever a collector puts before its lines, and other lines are counted', () => {
		const {lines, unreadable} = readLog(`10.5 h1 ${row(1, 'h1', 'started', {zone: 'a'})}\nNode warns\n{"broken\n\n`);
		expect(lines).toEqual([expect.objectContaining({host: 'h1', message: 'started', fields: {zone: 'a'}})]);
		expect(unreadable).toBe(2);
	});
});

describe('the story of', () => {
	test('a refused job names the dispatcher\'s reasons and the minions that were missing', () => {
		const text = tell(
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
		expect(text).toContain('refused by h1 after 3 ms: no room in time; h2 had 812 ms of work ahead of it, 14 tasks side by side, 10 of 11 minions');
	});

	test('a job whose dispatcher was lost tells so, with what the lost host said last', () => {
		const text = tell(
			row(9.5, 'h2', 'stopping', {inProgress: 2}),
			row(10, 'h1', 'dispatcher-lost', {job: id, dispatcher: 'h2', submission: 0}),
			row(10.7, 'h1', 'job-answered', {job: id, outcome: 'completed', tookMs: 900}),
		);
		expect(text).toContain('h2  stopping');
		expect(text).toContain('completed by h1 after 900 ms; its dispatcher was lost 1 times');
	});

	test('a job without an answer says that its host was killed or cut off', () => {
		const text = tell(
			row(10, 'h2', 'start-not-taken', {task: `${id}.0.0.1`, run: 1, minion: 'i-1'}),
			row(2, 'h2', 'frozen', {forMs: 700}),
			row(10.2, 'h2', 'frozen', {forMs: 900}),
		);
		expect(text).toContain('no host has logged an answer');
		expect(text).toContain('h2 frozen');
		expect(text).not.toContain('forMs=700');
	});

	test('a job that no line names is not told', () => {
		expect(tell(row(1, 'h1', 'started'))).toBeUndefined();
	});
});
