import path from 'node:path';
import {expect, test} from '@jest/globals';
import {runSoak} from 'chivestream-site-stand-ins';

/** The built program; the soak runs each host as a separate process. */
const program = path.join(import.meta.dirname, '../../bin/chivestream-host.js');

/** Whether a violation counts at any speed of the machine; how soon hosts recover after the faults depends on that speed. */
const isSafetyViolation = (violation: string) => !violation.startsWith('recovery');

test('a short seeded soak has no safety violations', async () => {
	const result = await runSoak({
		seed: 105, lengthMs: 6000, hosts: 3, minions: 6, zones: 1, program,
		log() {
			// A failed assertion prints the violations and the folder of the logs.
		},
	});
	expect({folder: result.folder, violations: result.violations.filter(violation => isSafetyViolation(violation))}).toEqual({folder: result.folder, violations: []});
	expect(result.starts).toBeGreaterThan(0);
});
