/* eslint-disable no-await-in-loop -- faults are sequential */
import {
	describe, expect, test,
} from '@jest/globals';
import * as fc from 'fast-check';
import {createFakeClock, type FakeClock} from '../__fixtures__/fake-clock.js';
import {createNetwork, type Network, type Node} from '../__fixtures__/network.js';
import {chooseRepresentatives, defaultTiming, memberState} from '../index.js';

const zones = ['a1', 'a2', 'b1'];
const hostsPerZone = 3;
const startMs = 4000;
const settleMs = defaultTiming.deadTimeoutMs;
const ids = zones.flatMap(zone => Array.from({length: hostsPerZone}, (_, index) => `${zone}h${index}`));
const runs = 12;
const propertySeed = 20_261_204;

const hostId = fc.constantFrom(...ids);
const fault = fc.oneof(
	fc.record({kind: fc.constant('kill' as const), id: hostId}),
	fc.record({kind: fc.constant('restart' as const), id: hostId}),
	fc.record({kind: fc.constant('pause' as const), id: hostId}),
	fc.record({kind: fc.constant('cut one way' as const), id: hostId, to: hostId}),
	fc.record({kind: fc.constant('cut zone' as const), id: hostId}),
);
type Fault = {kind: 'kill' | 'restart' | 'pause' | 'cut one way' | 'cut zone'; id: string; to?: string};

const zoneOf = (id: string) => id.slice(0, 2);

const inject = async (network: Network, {kind, id, to}: Fault) => {
	const node = network.nodes.get(id);
	switch (kind) {
		case 'kill': {
			void network.kill(id);
			break;
		}

		case 'restart': {
			void network.kill(id);
			network.start(id, zoneOf(id));
			break;
		}

		case 'pause': {
			if (node) {
				network.pause(node);
			}

			break;
		}

		case 'cut one way': {
			network.cutOneWay(id, to ?? id);
			break;
		}

		case 'cut zone': {
			const inside = ids.filter(each => zoneOf(each) === zoneOf(id));
			network.cut(inside, ids.filter(each => !inside.includes(each)));
			break;
		}
	}
};

const repair = (network: Network) => {
	network.heal();
	for (const node of network.nodes.values()) {
		network.resume(node);
	}
};

/** Injects faults, repairs them, waits until the views settle and runs the check. Stops every host at the end. */
const runFaults = async (faults: readonly Fault[], stepMs: number, check: (network: Network, clock: FakeClock) => Promise<void> | void) => {
	const clock = createFakeClock();
	const network = createNetwork({clock});
	for (const id of ids) {
		network.start(id, zoneOf(id));
	}

	await clock.advance(startMs);
	for (const each of faults) {
		await inject(network, each);
		await clock.advance(stepMs);
	}

	repair(network);
	await clock.advance(settleMs);
	try {
		await check(network, clock);
	} finally {
		const closing = network.close();
		await clock.advance(settleMs);
		await closing;
	}
};

const faultList = fc.array(fault, {minLength: 1, maxLength: 4});
const stepLength = fc.integer({min: 100, max: 4000});
const settings = {numRuns: runs, seed: propertySeed};

const expectRunningHostsAlive = (network: Network) => {
	const running = [...network.nodes.values()];
	for (const viewer of running) {
		const seen = viewer.membership.members().filter(({state}) => state === memberState.alive);
		const expected = running.filter(node => node !== viewer).map(({host}) => host.incarnation);
		expect(seen.map(({host}) => host.incarnation).toSorted()).toEqual(expected.toSorted());
	}
};

const expectAgreement = (network: Network) => {
	for (const {host, membership} of network.nodes.values()) {
		expect(membership.zoneMembers().map(({id}) => id)).toEqual(network.idsIn(host.zone).toSorted());
	}
};

const holdsSlot = ({host, membership}: Node): boolean => {
	const zoneMemberIds = membership.zoneMembers().map(({id}) => id);
	return zoneMemberIds.includes(host.id) && chooseRepresentatives('slot-1', zoneMemberIds)[0] === host.id;
};

const expectOneHolder = (network: Network, zone: string) => {
	const holders = [...network.nodes.values()].filter(node => node.host.zone === zone && holdsSlot(node));
	expect(holders).toHaveLength(1);
};

describe('after any faults and their repair', () => {
	test('every host considers exactly the running hosts alive, in their latest incarnation', async () => {
		await fc.assert(fc.asyncProperty(faultList, stepLength, async (faults, stepMs) => {
			await runFaults(faults, stepMs, expectRunningHostsAlive);
		}), settings);
	});

	test('the hosts of a zone agree on its members, and each includes itself', async () => {
		await fc.assert(fc.asyncProperty(faultList, stepLength, async (faults, stepMs) => {
			await runFaults(faults, stepMs, expectAgreement);
		}), settings);
	});
});

describe('while a host is paused or dead', () => {
	test('a slot has exactly one holder once the others suspect that host', async () => {
		await fc.assert(fc.asyncProperty(fc.constantFrom('pause' as const, 'kill' as const), hostId, async (kind, id) => {
			await runFaults([], 0, async (network, clock) => {
				await inject(network, {kind, id});
				const {suspicionTimeoutMs, heartbeatIntervalMs, refreshIntervalMs} = defaultTiming;
				await clock.advance(suspicionTimeoutMs + heartbeatIntervalMs + refreshIntervalMs);
				expectOneHolder(network, zoneOf(id));
				repair(network);
			});
		}), settings);
	});
});
