import {describe, expect, test} from '@jest/globals';
import {faults} from '../faults.js';
import {generateTrace} from '../generate.js';
import {shortestRunMs} from '../ideal.js';
import {replayWithBaselines} from '../index.js';
import {fairShares, measure} from '../measures.js';
import {policies} from '../policies.js';
import {replayTrace} from '../replay-trace.js';
import {formatTrace, parseTrace} from '../trace.js';

const options = {
	profile: 'lens-desk', load: 0.6, seed: 7, fault: 'none', lengthMs: 6000,
};

describe('traces', () => {
	test('read back as they were written', () => {
		const trace = generateTrace(options);
		expect(parseTrace(formatTrace(trace))).toEqual(trace);
	});

	test('are the same for the same seed and another for another', () => {
		expect(generateTrace(options)).toEqual(generateTrace(options));
		expect(generateTrace({...options, seed: 8}).events).not.toEqual(generateTrace(options).events);
	});

	test('are refused with the line, the field and the fix', () => {
		const [deployment, job] = formatTrace(generateTrace(options)).split('\n');
		expect(() => parseTrace(`${deployment}\n${job!.replace('"at":', '"at":-')}`)).toThrow(/line 2: at/v);
		expect(() => parseTrace(`${deployment}\nnot json`)).toThrow(/line 2 is not JSON/v);
		expect(() => parseTrace(`${deployment}\n${job}\n${job}`)).toThrow(/line 3: a key must be new/v);
		expect(() => parseTrace(`${deployment}\n{"kind":"host-killed","at":1,"hostId":"none"}`)).toThrow(/line 2: hostId names nothing/v);
	});
});

describe('shortestRunMs', () => {
	test('puts one task on the fastest slot', () => {
		expect(shortestRunMs([100], [2, 1])).toBe(50);
	});

	test('is bounded by the work of the longest tasks over the fastest slots', () => {
		expect(shortestRunMs([100, 100], [2, 1])).toBeCloseTo(200 / 3);
		expect(shortestRunMs([100, 1], [2, 1])).toBe(50);
		expect(shortestRunMs([10, 10, 10], [1])).toBe(30);
	});
});

test('fair shares give no team more than it offered and split the rest by weight', () => {
	const shares = fairShares(new Map([['a', 10], ['b', 100], ['c', 100]]), new Map([['a', 1], ['b', 1], ['c', 2]]), 100);
	expect(Object.fromEntries(shares)).toEqual({a: 10, b: 30, c: 60});
});

describe('replays', () => {
	test('give the same figures for the same seed', () => {
		expect(replayWithBaselines(generateTrace(options))).toEqual(replayWithBaselines(generateTrace(options)));
	});

	test.each(Object.keys(faults))('start no task twice and account for every job under %s', fault => {
		const trace = generateTrace({...options, fault});
		const record = replayTrace(trace, policies.chivestream!);
		expect(record.doubleStarts).toBe(0);
		expect(record.jobs).toHaveLength(trace.events.filter(({kind}) => kind === 'job').length);
		expect(measure(record).responseRatio.p50).toBeGreaterThanOrEqual(1);
	});

	test('never answer before the ideal', () => {
		const trace = generateTrace({...options, load: 0.1});
		for (const name of Object.keys(policies)) {
			expect(measure(replayTrace(trace, policies[name]!)).responseRatio.p50).toBeGreaterThanOrEqual(1);
		}
	});
});
