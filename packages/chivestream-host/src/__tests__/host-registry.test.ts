import {Buffer} from 'node:buffer';
import {expect, test} from '@jest/globals';
import fc from 'fast-check';
import {decodeHostRecord} from '../host-registry.js';
import {parsePeerReply} from '../message-schemas.js';

const odd = fc.oneof(fc.jsonValue(), fc.constantFrom<unknown>(1e300, -1, 0.5, 5e-324, 1e308, '127.0.0.1:0', '127.0.0.1:080', '[::1]:80', '__proto__', 'x'.repeat(5000)));
const field = (valid: fc.Arbitrary<unknown>) => fc.oneof({weight: 12, arbitrary: valid}, {weight: 1, arbitrary: odd});

test('whatever is accepted as a host is within bounds and passes in a message', () => {
	const shape = fc.record({
		name: field(fc.constant('h1')),
		zone: field(fc.string()),
		address: field(fc.ipV4().map(ip => `${ip}:80`)),
		bornAt: field(fc.nat()),
		cpuShare: field(fc.integer({min: 1, max: 6400}).map(share => share / 100)),
	});
	let accepted = 0;
	fc.assert(fc.property(fc.oneof(shape, fc.jsonValue()), value => {
		const reasons: string[] = [];
		const record = decodeHostRecord('h1', Buffer.from(JSON.stringify(value)), reason => {
			reasons.push(reason);
		});
		expect(reasons).toHaveLength(record === undefined ? 1 : 0);
		if (record === undefined) {
			return;
		}

		accepted += 1;
		expect(record.name).toBe('h1');
		expect(Number.isSafeInteger(record.bornAt) && record.bornAt >= 0).toBe(true);
		expect(Number.isFinite(1 / record.cpuShare) && Number.isFinite(record.cpuShare)).toBe(true);
		const text = JSON.stringify({type: 'dispatchers', hosts: [record]});
		expect(parsePeerReply(JSON.parse(text))).toEqual({type: 'dispatchers', hosts: [record]});
	}), {seed: 20_261_205, numRuns: 2000});
	expect(accepted).toBeGreaterThan(100);
});
