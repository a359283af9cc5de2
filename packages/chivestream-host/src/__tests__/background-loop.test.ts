import {expect, test} from '@jest/globals';
import {runBackgroundLoop} from '../background-loop.js';

test('a loop that fails is logged and started again, until it returns', async () => {
	const lines: unknown[] = [];
	let starts = 0;
	await runBackgroundLoop('reader', async () => {
		starts += 1;
		if (starts < 3) {
			throw new Error(`broken record ${starts}`);
		}
	}, {
		report(event, fields) {
			lines.push([event, fields?.loop, String(fields?.reason).split('\n')[0]]);
		},
		signal: new AbortController().signal,
	});
	expect(starts).toBe(3);
	expect(lines).toEqual([['loop-failed', 'reader', 'Error: broken record 1'], ['loop-failed', 'reader', 'Error: broken record 2']]);
});

test('a loop is not started again after an abort', async () => {
	const controller = new AbortController();
	let starts = 0;
	await runBackgroundLoop('reader', async () => {
		starts += 1;
		controller.abort();
		throw new Error('broken');
	}, {
		report() {
			// Only the number of starts is of interest.
		},
		signal: controller.signal,
	});
	expect(starts).toBe(1);
});
