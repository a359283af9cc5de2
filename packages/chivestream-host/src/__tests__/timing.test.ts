import {expect, test} from '@jest/globals';
import {jobLeaseMs} from 'chivestream-dispatch';
import {hostTiming, silenceTimeoutMs, statusIntervalMs} from '../timing.js';

/** Longest lease that a minion grants, in milliseconds. */
const leaseMs = 1000;

/** Number of dispatchers to which a host is linked in another zone, on average. */
const dispatchersOfOtherZones = 8;

test('a host receives about the same number of status messages per second from 10 to 300 hosts in 5 zones', () => {
	const linkedHosts = 5;
	const dispatchersOfZone = 2;
	const rates = [10, 30, 100, 300].map(hosts => {
		const hostsOfZone = hosts / 5;
		const interval = (isDispatching: boolean, isSameZone: boolean) =>
			statusIntervalMs({
				isDispatching, isToDispatcher: false, isSameZone, hostsOfZone,
			});
		const others = Math.max(0, Math.min(linkedHosts, hostsOfZone - 1) - dispatchersOfZone);
		return (1000 * dispatchersOfZone / interval(true, true)) + (1000 * others / interval(false, true)) + (1000 * dispatchersOfOtherZones / interval(true, false));
	});
	expect(Math.max(...rates) / rates[0]!).toBeLessThan(1.5);
});

test('a dispatcher is heard by its zone before its callers resubmit, and slower by those that don\'t wait for it', () => {
	const interval = (isToDispatcher: boolean, isSameZone: boolean) =>
		statusIntervalMs({
			isDispatching: true, isToDispatcher, isSameZone, hostsOfZone: 3,
		});
	expect(silenceTimeoutMs(interval(false, true))).toBeLessThan(jobLeaseMs(leaseMs));
	expect(interval(true, false)).toBe(hostTiming.heartbeatMs);
	expect(interval(false, false)).toBe(3 * hostTiming.heartbeatMs);
});
