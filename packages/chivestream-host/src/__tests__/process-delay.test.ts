import {expect, test} from '@jest/globals';
import {answerTimeout, createProcessDelay} from '../process-delay.js';

test('a process that handles events at once waits 150 ms for an answer, and a delayed one longer, within a lease', () => {
	expect([0, 40, 100, 5000].map(delayMs => answerTimeout(delayMs))).toEqual([150, 230, 350, 400]);
});

test('the timeout returns to its usual length within some seconds after a delay', () => {
	const delay = createProcessDelay();
	const ticksPerSecond = 20;
	delay.record(100);
	for (let tick = 0; tick < ticksPerSecond; tick += 1) {
		delay.record(0);
	}

	expect(delay.recentMs()).toBeGreaterThan(40);
	for (let tick = 0; tick < 4 * ticksPerSecond; tick += 1) {
		delay.record(0);
	}

	expect(answerTimeout(delay.recentMs())).toBeLessThan(165);
});

test('a delay that goes on is not forgotten', () => {
	const delay = createProcessDelay();
	for (let tick = 0; tick < 100; tick += 1) {
		delay.record(tick % 10 === 0 ? 100 : 5);
	}

	expect(delay.recentMs()).toBeGreaterThan(70);
});
