import {expect, test} from '@jest/globals';
import {createPauseGuard} from '../pause-guard.js';

test('a process is not awake from the first check after a pause or a suspension until it has read its sockets', () => {
	let monotonic = 0;
	let suspendedMs = 0;
	const {isAwake} = createPauseGuard({
		now: () => monotonic, elapsed: () => monotonic + suspendedMs, thresholdMs: 600, recoveryMs: 100,
	});
	monotonic += 200;
	expect(isAwake()).toBe(true);
	monotonic += 2100;
	expect(isAwake()).toBe(false);
	monotonic += 99;
	expect(isAwake()).toBe(false);
	monotonic += 1;
	expect(isAwake()).toBe(true);
	suspendedMs += 2100;
	expect(isAwake()).toBe(false);
	monotonic += 100;
	expect(isAwake()).toBe(true);
});
