/* eslint-disable no-await-in-loop -- the condition is polled until it holds */
import {
	afterEach, describe, expect, test,
} from '@jest/globals';
import {systemClock, waitUntil} from 'chivestream-core';
import {startRealHost, type RealHost} from '../__fixtures__/real-host.js';
import {memberState, type MemberState} from '../index.js';

const pollMs = 50;
const conditionTimeoutMs = 20_000;
// Longer than the timeouts of all conditions of a test together, so that a failure reports the condition and not the timeout.
const testTimeoutMs = 150_000;

const until = async (condition: () => boolean): Promise<boolean> => {
	const deadline = Date.now() + conditionTimeoutMs;
	while (!condition() && Date.now() < deadline) {
		await waitUntil(systemClock, Date.now() + pollMs);
	}

	return condition();
};

describe('membership over gRPC', () => {
	const hosts: RealHost[] = [];

	const startThree = async () => {
		const first = await startRealHost({id: 'h1', incarnation: 'i1', seeds: []});
		hosts.push(first);
		const seeds = [first.host.peerAddress];
		hosts.push(
			await startRealHost({id: 'h2', incarnation: 'i2', seeds}),
			await startRealHost({id: 'h3', incarnation: 'i3', seeds}),
		);
		await until(() => hosts.every(({membership}) => membership.zoneMembers().length === 3));
		return hosts.map(({membership}) => membership.zoneMembers().map(({id}) => id));
	};

	const hasState = (viewer: RealHost, id: string, state: MemberState) => viewer.membership.findMember(id)?.state === state;

	afterEach(async () => {
		const ending = hosts.splice(0);
		for (const {relay} of ending) {
			relay.heal();
		}

		await Promise.all(ending.map(async ({stop}) => stop()));
		await Promise.all(ending.map(async ({relay}) => relay.close()));
	});

	test('three hosts agree, suspect one that stops, and accept its next incarnation as a member', async () => {
		await expect(startThree()).resolves.toEqual(Array.from({length: 3}, () => ['h1', 'h2', 'h3']));
		const [first, second, third] = hosts;
		await third!.stop();
		expect(await until(() => hasState(first!, 'h3', memberState.suspected))).toBe(true);
		hosts[2] = await startRealHost({
			id: 'h3', incarnation: 'i4', seeds: [first!.host.peerAddress], relay: third!.relay,
		});
		// The second host may not have suspected the stopped incarnation yet.
		expect(await until(() => hasState(second!, 'h3', memberState.alive) && second!.membership.findMember('h3')?.host.incarnation === 'i4')).toBe(true);
		expect(second!.membership.hasEnded('h3', 'i3')).toBe(true);
		expect(await until(() => hosts.every(({membership}) => membership.zoneMembers().length === 3))).toBe(true);
	}, testTimeoutMs);

	test('hosts that are cut off lose their slots, become sole members after a delay, and agree again after the cut', async () => {
		await startThree();
		for (const {relay} of hosts) {
			relay.cut();
		}

		expect(await until(() => hosts.every(host => !host.membership.mayHoldSlots()))).toBe(true);
		expect(await until(() => hosts.every(({membership}) => membership.zoneMembers().length === 1))).toBe(true);
		for (const {relay} of hosts) {
			relay.heal();
		}

		expect(await until(() => hosts.every(({membership}) => membership.zoneMembers().length === 3))).toBe(true);
	}, testTimeoutMs);
});
