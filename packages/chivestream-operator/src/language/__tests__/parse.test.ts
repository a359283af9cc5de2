/** Parsing of valid statements, and the place and expectations of faults. */
import {describe, expect, test} from '@jest/globals';
import fc from 'fast-check';
import {formatFault} from '../fault.js';
import {parseStatement} from '../parse.js';

const faultOf = (text: string) => parseStatement(text).expectErr(text);
const markedText = (text: string) => text.slice(faultOf(text).place.start, faultOf(text).place.end);

describe('parseStatement', () => {
	test('parses a query with conditions, order and limit', () => {
		const statement = parseStatement('jobs where state = late and (team = "lens-desk" or not age < 2m) order by age desc, key limit 5').unwrap();
		expect(statement).toMatchObject({
			kind: 'query',
			table: {text: 'jobs'},
			where: {
				kind: 'and',
				terms: [
					{kind: 'comparison', column: {text: 'state'}, values: [{text: 'late'}]},
					{kind: 'or', terms: [{values: [{text: 'lens-desk'}]}, {kind: 'not', term: {values: [{kind: 'span', spanMs: 120_000}]}}]},
				],
			},
			orderings: [{column: {text: 'age'}, isDescending: true}, {column: {text: 'key'}, isDescending: false}],
			limit: 5,
		});
	});

	test.each([
		['cancel h~e1~lx2k9a~3~tag-4711', {kind: 'cancellation', mode: 'cancel', target: {kind: 'key', key: {text: 'h~e1~lx2k9a~3~tag-4711'}}}],
		['stop 01890a5d-ac96-774b-bcce-b302099a8057', {mode: 'stop', target: {key: {text: '01890a5d-ac96-774b-bcce-b302099a8057'}}}],
		['cancel jobs where minions = m-17', {mode: 'cancel', target: {kind: 'jobs', query: {table: {text: 'jobs'}}}}],
		['drain m-17', {kind: 'drain', id: {text: 'm-17'}}],
		['undrain "limit"', {kind: 'undrain', id: {text: 'limit'}}],
		['limit maxDeadlineMs = 30s', {kind: 'limit', name: {text: 'maxDeadlineMs'}, value: {spanMs: 30_000}}],
		['quota lens-desk = 400', {kind: 'quota', team: {text: 'lens-desk'}, count: 400}],
		['weight day-a = 2.5', {kind: 'weight', team: {text: 'day-a'}, weight: 2.5}],
		['plan ./declarations.jsonc', {kind: 'plan', file: {text: './declarations.jsonc'}}],
		['apply /srv/a.jsonc on version 7', {kind: 'apply', file: {text: '/srv/a.jsonc'}, baseVersion: 7}],
		['history limit 3', {kind: 'history', limit: 3}],
		['rollback 12', {kind: 'rollback', version: 12}],
		['jobs where deadline < now - 5s', {where: {values: [{kind: 'now', shiftMs: -5000}]}}],
		['minions where zone in (a, "b c")', {where: {operator: 'in', values: [{text: 'a'}, {text: 'b c'}]}}],
		['workers where id = 17', {where: {values: [{text: '17'}]}}],
	])('parses %s', (text, expected) => {
		expect(parseStatement(text).unwrap()).toMatchObject(expected);
	});

	test.each([
		['job where state = late', 'job', 'jobs'],
		['jobs where state = lat', 'lat', 'late'],
		['jobs where sate = late', 'sate', 'state'],
		['jobs where state < late', 'state', '='],
		['jobs where age > 5', '5', 'a duration such as 250ms, 5s, 2m, 1h or 1d'],
		['jobs where tasks > 5s', '5s', 'a number such as 12'],
		['jobs where state == late', '=', 'a name'],
		['jobs state = late', 'state', 'where'],
		['jobs where state = late team = x', 'team', 'and'],
		['jobs order by nothing', 'nothing', 'age'],
		['jobs where team = limit', 'limit', 'a text in double quotes'],
		['jobs where team = "lens', '"lens', 'a closing double quote'],
		['jobs where team # x', '#', '='],
		['jobs where state = late and', '', 'team'],
		['jobs wher', 'wher', 'where'],
		['drain', '', 'a name'],
		['', '', 'jobs'],
		['limit nothing = 4', 'nothing', 'maxTasksPerJob'],
		['quota lens-desk = many', 'many', 'a whole number'],
		['quota lens-desk = 2.5', '2.5', 'a whole number'],
		['rollback latest', 'latest', 'a whole number'],
		['configuration where isLogReachable = maybe', 'maybe', 'true'],
	])('reports the place of the fault in %s', (text, marked, expected) => {
		expect(markedText(text)).toBe(marked);
		expect(faultOf(text).expected).toContain(expected);
	});

	test('expects the end of the statement after the last clause', () => {
		expect(faultOf('jobs limit 5 6').expected).toEqual(['the end of the statement']);
		expect(faultOf('jobs 6').expected).toContain('the end of the statement');
	});

	test('formats the faulty line with a marker', () => {
		const text = 'jobs where\n\tstate = lat';
		expect(formatFault(text, faultOf(text))).toBe([
			'column 10: "lat" is not a valid value of column "state"',
			'  \tstate = lat',
			'  \t        ^^^',
			'expected queued, running, late or stuck',
		].join('\n'));
	});

	test('returns a statement or a fault within the text for any text', () => {
		const words = ['jobs', 'where', 'state', '=', 'late', 'and', 'not', '(', ')', '"a"', '5s', '7', 'limit', 'drain', 'in', ',', 'now', '-', 'order', 'by', '~'];
		fc.assert(fc.property(fc.array(fc.oneof(fc.constantFrom(...words), fc.string())), parts => {
			const text = parts.join(' ');
			const result = parseStatement(text);
			if (result.isErr()) {
				expect(result.error.place.start).toBeLessThanOrEqual(text.length);
				expect(result.error.place.end).toBeGreaterThanOrEqual(result.error.place.start);
				expect(result.error.expected.length).toBeGreaterThan(0);
			}
		}), {seed: 11, numRuns: 500});
	});
});
