/** Evaluation of queries over rows, and job states derived from deadlines. */
import {describe, expect, test} from '@jest/globals';
import {createJobRow} from '../__fixtures__/rows.js';
import {evaluateQuery} from '../evaluate.js';
import {parseStatement} from '../language/parse.js';
import {attemptDeadline, findJobState, progressDeadline} from '../tables/job-state.js';

const now = 1_000_000;

const rows = [
	createJobRow({
		key: 'a', team: 'lens-desk', state: 'late', age: 9000, deadline: now - 10, minions: ['m-1', 'm-2'],
	}),
	createJobRow({
		key: 'b', team: 'lens-desk', state: 'running', age: 300, deadline: now + 10, minions: ['m-2'],
	}),
	createJobRow({
		key: 'c', team: 'day-a', state: 'stuck', age: 60_000, deadline: now + 5000, minions: [],
	}),
];

const selectKeys = (text: string): string[] => {
	const statement = parseStatement(text).unwrap();
	if (statement.kind !== 'query') {
		throw new Error(`${text} is not a query`);
	}

	return evaluateQuery(statement, rows, now).map(row => row.key);
};

describe('evaluateQuery', () => {
	test.each([
		['jobs', ['a', 'b', 'c']],
		['jobs where state = late and team = "lens-desk"', ['a']],
		['jobs where state in (late, stuck)', ['a', 'c']],
		['jobs where not state = late', ['b', 'c']],
		['jobs where state = late or team = day-a', ['a', 'c']],
		['jobs where team = day-a or team = lens-desk and state = late', ['a', 'c']],
		['jobs where (team = day-a or team = lens-desk) and state = late', ['a']],
		['jobs where minions = m-2', ['a', 'b']],
		['jobs where minions != m-2', ['c']],
		['jobs where minions contains "-1"', ['a']],
		['jobs where age >= 9s', ['a', 'c']],
		['jobs where deadline < now', ['a']],
		['jobs where deadline <= now + 10ms', ['a', 'b']],
		['jobs where deadline > "1970-01-01T00:16:40Z"', ['b', 'c']],
		['jobs where team contains desk', ['a', 'b']],
		['jobs order by age desc limit 2', ['c', 'a']],
		['jobs order by team, age', ['c', 'b', 'a']],
		['jobs limit 0', []],
		['jobs order by team limit 3', ['c', 'a', 'b']],
		['jobs where team = lens-desk order by upstream', ['a', 'b']],
	])('%s', (text, expected) => {
		expect(selectKeys(text)).toEqual(expected);
	});
});

describe('findJobState', () => {
	test('compares the time with the two deadlines', () => {
		const deadline = now + 100;
		expect(findJobState({deadline, progressDeadline: progressDeadline(deadline, []), running: 0}, now)).toBe('queued');
		expect(findJobState({deadline, progressDeadline: attemptDeadline(now, 50), running: 1}, now)).toBe('running');
		expect(findJobState({deadline, progressDeadline: attemptDeadline(now, 50), running: 1}, now + 101)).toBe('late');
		expect(findJobState({deadline, progressDeadline: attemptDeadline(now, 50), running: 1}, now + 60_000)).toBe('stuck');
		expect(findJobState({deadline, progressDeadline: progressDeadline(deadline, []), running: 0}, deadline + 60_000)).toBe('stuck');
	});

	test('the progress deadline is the earliest attempt deadline', () => {
		expect(progressDeadline(5, [40, 30])).toBe(30);
		expect(attemptDeadline(0, 4000)).toBeGreaterThan(attemptDeadline(0, 50));
	});
});
