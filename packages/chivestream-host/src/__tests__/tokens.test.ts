import {expect, test} from '@jest/globals';
import {claimToken, nextToken, tokenSaltCount} from '../tokens.js';

const now = Date.UTC(2026, 0, 1);

test('a session counts on without the tokens of claims that other hosts take in the same millisecond', () => {
	const others = new Set(Array.from({length: tokenSaltCount}, (_, salt) => claimToken(now, salt)));
	let token = claimToken(now, 7);
	others.delete(token);
	for (let count = 0; count < 1000; count += 1) {
		const next = nextToken(token);
		expect(next).toBeGreaterThan(token);
		expect(others.has(next)).toBe(false);
		token = next;
	}

	expect(token).toBeLessThan(claimToken(now + 20, 0));
});

test('tokens are safe integers until the end of 2028', () => {
	expect(claimToken(Date.UTC(2029, 0, 1), 0)).toBeLessThan(Number.MAX_SAFE_INTEGER);
});
