import {expect, test} from '@jest/globals';
import fc from 'fast-check';
import {
	createHomeKey, formatHomeToken, isValidKey, parseHome, rankByRendezvous,
} from '../index.js';

const name = fc.string({unit: fc.constantFrom(...'abcxyz019-'), minLength: 1, maxLength: 12});

test('parses a home key into the home from which it was created', () => {
	fc.assert(fc.property(name, name, fc.nat(1_000_000), name, (hostId, incarnation, epoch, suffix) => {
		const home = {hostId, incarnation, epoch};
		const key = createHomeKey(formatHomeToken(home), suffix);
		expect(isValidKey(key)).toBe(true);
		expect(parseHome(key)).toEqual(home);
	}), {seed: 1});
});

test('treats all other keys as opaque', () => {
	for (const key of ['tag-4711', 'h~a~b', 'h~a~b~x~c', 'a~b~c~1~d', '0190b7a2-7a51-7c8e-9a3b-1f2e3d4c5b6a']) {
		expect(parseHome(key)).toBeUndefined();
	}
});

test('removing a candidate reassigns only its own subjects', () => {
	const candidates = ['e1', 'e2', 'e3', 'e4', 'e5'];
	const remaining = candidates.filter(candidate => candidate !== 'e3');
	for (let subject = 0; subject < 200; subject += 1) {
		const [before] = rankByRendezvous(`minion-${subject}`, candidates);
		const [after] = rankByRendezvous(`minion-${subject}`, remaining);
		if (before !== 'e3') {
			expect(after).toBe(before);
		}
	}
});
