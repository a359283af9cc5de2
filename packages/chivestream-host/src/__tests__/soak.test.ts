import path from 'node:path';
import {expect, test} from '@jest/globals';
import {faultSet, runSoak, type FaultSet} from 'chivestream-site-stand-ins';

/** The built program; the soak runs each host as a separate process. */
const program = path.join(import.meta.dirname, '../../bin/chivestream-host.js');

/** Whether a violation counts at any speed of the machine; how soon hosts recover after the faults depends on that speed. */
const isSafetyViolation = (violation: string) => !violation.startsWith('recovery');

const expectSafe = async (seed: number, lengthMs: number, faults: FaultSet) => {
	const result = await runSoak({
		seed, lengthMs, hosts: 3, minions: 6, zones: 1, faults, program,
		log() {
			// A failed assertion prints the violations and the folder of the logs.
		},
	});
	expect({folder: result.folder, violations: result.violations.filter(violation => isSafetyViolation(violation))}).toEqual({folder: result.folder, violations: []});
	expect(result.starts).toBeGreaterThan(0);
};

test('a short seeded soak has no safety violations', async () => {
	await expectSafe(105, 6000, faultSet.basic);
});

test('a short seeded soak with deadly tasks has no safety violations', async () => {
	await expectSafe(2401, 10_000, faultSet.all);
});
