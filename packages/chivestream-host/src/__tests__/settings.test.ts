import {expect, test} from '@jest/globals';
import {countedCores, hostSettingsSchema} from '../settings.js';

const cores = (host: {cpuShare: number; coreSpeed?: number; linkMbps?: number; machineLimits?: unknown}): number => countedCores(hostSettingsSchema.parse({
	host: {name: 'h', zone: 'z', ...host},
	listen: {callers: '127.0.0.1:1', readiness: '127.0.0.1:2', peers: '127.0.0.1:3'},
	seeds: [],
	store: '127.0.0.3:4',
	bounds: {leaseMs: 1000, stopGraceSeconds: 6, farFactor: 3},
}).host);

test('a host counts with its processor time', () => {
	expect(cores({cpuShare: 0.675})).toBe(0.675);
	expect(cores({cpuShare: 0.675, coreSpeed: 2, linkMbps: 140})).toBe(1.35);
	expect(cores({cpuShare: 0.243, linkMbps: 13.3})).toBe(0.243);
});

test('a host with a slow link counts with less', () => {
	expect(cores({cpuShare: 0.12, linkMbps: 2})).toBe(0.0625);
	expect(cores({cpuShare: 4, linkMbps: 2})).toBe(0.0625);
});

// The template named the speed of the link alone, and no host started where the platform gives none.
test.each([
	['{"cpu_share": 4, "link_mbps": 2.0}', 0.0625], ['{"cpu_share": 4, "cores": 1}', 4], ['{"link_mbps": null}', 4],
])('a host takes the speed of its link from the limits of its machine, if these have one: %s', (limits, expected) => {
	expect(cores({cpuShare: 4, machineLimits: JSON.parse(limits)})).toBe(expected);
});
