import {expect, test} from '@jest/globals';
import {readDeclarations, readDeclarationsFile} from '../index.js';

const examplePath = new URL('../../../../docs/examples/declarations.jsonc', import.meta.url).pathname;

const text = `{
	"upstreams": {
		"lens": {
			"minions": [
				{"id": "m1", "zone": "a", "address": "10.0.0.1:1", "slots": 8, "connections": 4},
				{"id": "m1", "zone": "a", "address": "10.0.0.1:1", "slots": 8, "connections": 64}
			]
		}
	},
	"teams": {"day-a": {"maxTasksInFlight": 0}},
	"drains": ["m2"],
	"objectives": [{"name": "reading", "upstream": "lense", "team": "day-b", "targetMs": 500, "goal": 0.99}]
}`;

test('every conflict is reported with its field, its position and the fix', () => {
	const failure = readDeclarations(text.replace('": 0}', '": 10}'), 'd.jsonc').unwrapErr();
	const expected = [
		/d\.jsonc:5:83: upstreams\.lens\.minions\[0\]\.connections is 4; allowed: at least its 8 slots/v,
		/d\.jsonc:6:12: upstreams\.lens\.minions\[1\]\.id is "m1"; allowed: an id that stands only once/v,
		/d\.jsonc:6:42: upstreams\.lens\.minions\[1\]\.address/v,
		/d\.jsonc:11:13: drains\[0\] is "m2"; allowed: the id of a declared minion or worker/v,
		/d\.jsonc:12:49: objectives\[0\]\.upstream is "lense"; .*correct the name or declare the upstream/v,
		/d\.jsonc:12:66: objectives\[0\]\.team is "day-b"/v,
	];
	expect(failure.message.split('\n')).toHaveLength(expected.length + 1);
	for (const pattern of expected) {
		expect(failure.message).toMatch(pattern);
	}
});

test('a field out of its range is reported with its path', () => {
	const failure = readDeclarations(text).unwrapErr();
	expect(failure.message).toMatch(/teams\["day-a"\]\.maxTasksInFlight is 0; allowed: at least 1/v);
});

test('an empty file yields empty declarations with the default limits', () => {
	const declarations = readDeclarations('{}').unwrap();
	expect(declarations.limits).toEqual({maxTasksPerJob: 180, maxDeadlineMs: 60_000, retryRatio: 0.1});
	expect(declarations.teams).toEqual({});
});

test('the example file is valid', async () => {
	const result = await readDeclarationsFile(examplePath);
	const {upstreams, teams} = result.unwrap();
	expect(Object.keys(upstreams)).toEqual(['lens', 'stock']);
	expect(teams['day-a']).toEqual({weight: 2, maxTasksInFlight: 400});
});
