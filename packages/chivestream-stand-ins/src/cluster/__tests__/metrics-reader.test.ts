import {expect, test} from '@jest/globals';
import {parseMetrics, sumMetric} from '../metrics-reader.js';

test('samples are summed over their labels', () => {
	const samples = parseMetrics('# HELP forwards x\nforwards{outcome="a"} 2\nforwards{outcome="b"} 3\nforwards_other 9\n');
	expect(sumMetric(samples, 'forwards')).toBe(5);
	expect(sumMetric(samples, 'missing')).toBe(0);
});
