import {expect, test} from '@jest/globals';
import {createElapsedClock} from '../elapsed-clock.js';

test('the time of a suspension, during which the monotonic clock stands still, counts as elapsed', () => {
	let monotonic = 100;
	let timeOfDay = 5000;
	const elapsed = createElapsedClock(() => monotonic, () => timeOfDay);
	const start = elapsed();
	monotonic += 40;
	timeOfDay += 40;
	expect(elapsed() - start).toBe(40);
	timeOfDay += 2100;
	expect(elapsed() - start).toBe(2140);
	monotonic += 10;
	timeOfDay += 10;
	expect(elapsed() - start).toBe(2150);
});

test('the clock runs on when the time of day is set back, and does not run faster when it is read often', () => {
	let monotonic = 0;
	let timeOfDay = 0;
	const elapsed = createElapsedClock(() => monotonic, () => Math.floor(timeOfDay));
	for (let step = 1; step <= 1000; step += 1) {
		monotonic += 0.3;
		timeOfDay += 0.3;
		elapsed();
	}

	expect(elapsed()).toBeCloseTo(300);
	timeOfDay -= 3000;
	monotonic += 5;
	timeOfDay += 5;
	expect(elapsed()).toBeCloseTo(305);
});
