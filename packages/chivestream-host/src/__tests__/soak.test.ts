import path from 'node:path';
import {expect, test} from '@jest/globals';
import {runSoak} from 'chivestream-site-stand-ins';

/** The built program: hosts are processes of their own. */
const program = path.join(import.meta.dirname, '../../bin/chivestream-host.js');

/** What must hold however slow the machine is; answers after the faults depend on its speed. */
const isSafety = (violation: string) => !violation.startsWith('recovery');

test('a short seeded soak breaks no promise', async () => {
	const result = await runSoak({
		seed: 105, lengthMs: 6000, hosts: 3, minions: 6, zones: 1, program,
		log() {
			// Faults are told on failure, with the folder of the logs.
		},
	});
	expect({folder: result.folder, violations: result.violations.filter(violation => isSafety(violation))}).toEqual({folder: result.folder, violations: []});
	expect(result.starts).toBeGreaterThan(0);
});
