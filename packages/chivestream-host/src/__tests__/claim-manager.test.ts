import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, jest, test,
} from '@jest/globals';
import {Checker, startMinionStandIn, type MinionStandIn} from 'chivestream-site-stand-ins';
import {type Outcome} from 'chivestream-dispatch';
import {decodeMinionEntry} from 'chivestream-platform';
import {request} from 'undici';
import {ClaimManager, type ClaimManagerOptions} from '../claim-manager.js';

let minion: MinionStandIn | undefined;
let claimManager: ClaimManager | undefined;

afterEach(async () => {
	claimManager?.releaseAll('the test has ended');
	await minion?.close();
	[claimManager, minion] = [undefined, undefined];
});

/** A claim manager of a host that has started at time 0 and knows no other host. */
const create = (changes: Partial<ClaimManagerOptions>): ClaimManager => {
	claimManager = new ClaimManager({
		self: {
			name: 'a', zone: 'z', address: '127.0.0.1:1', bornAt: 1, cpuShare: 1,
		},
		bounds: () => ({leaseMs: 1000, farFactor: 1}),
		now: () => 0,
		recentDelayMs: () => 0,
		report() {
			// Not of interest.
		},
		isLeaving: () => false,
		candidates: () => [],
		zoneSize: () => 1,
		canReachStore: () => true,
		hostsKnownAt: () => undefined,
		isZoneDiscovered: () => false,
		isRegistryComplete: () => true,
		knowsMinionsOfClaim: () => true,
		minions: () => [],
		unregisteredMinions: () => [],
		areMinionsCurrent: () => true,
		cellsOfOtherHosts: () => [],
		followMinions() {
			// The minions are fixed.
		},
		onAnswer() {
			// Not of interest.
		},
		onClaimChange() {
			// No other host is told.
		},
		onClaimLost() {
			claimManager?.evaluate();
		},
		...changes,
	});
	return claimManager;
};

describe('a host that has just started', () => {
	const claimsAt = (time: number, hostsKnownAt: number | undefined): boolean => {
		let now = 0;
		const manager = create({now: () => now, hostsKnownAt: () => hostsKnownAt});
		now = time;
		manager.evaluate();
		return manager.services.size > 0;
	};

	test('claims nothing before it has read the list of hosts, as on a small host that is slow to start', () => {
		expect(claimsAt(800, undefined)).toBe(false);
		expect(claimsAt(3600, undefined)).toBe(false);
	});

	test('claims without the list once the store has not answered for some seconds', () => {
		expect(claimsAt(3800, undefined)).toBe(true);
	});

	test('takes another token than one that starts and claims in the same milliseconds', () => {
		const time = jest.spyOn(Date, 'now').mockReturnValue(Date.UTC(2026, 0, 1));
		const tokens = ['a', 'b'].map(name => {
			let now = 0;
			const manager = create({
				self: {
					name, zone: 'z', address: '127.0.0.1:1', bornAt: 1, cpuShare: 1,
				},
				now: () => now,
			});
			now = 3800;
			manager.evaluate();
			return manager.claims()[0]?.token;
		});
		time.mockRestore();
		expect(tokens[0]).toBeGreaterThan(0);
		expect(tokens[0]).not.toBe(tokens[1]);
	});

	test('gives the hosts of the list time to answer', () => {
		expect(claimsAt(1800, 1200)).toBe(false);
		expect(claimsAt(2000, 1200)).toBe(true);
	});
});

describe('two hosts that don\'t know of each other', () => {
	test('don\'t take the minions from each other without end', async () => {
		minion = await startMinionStandIn({
			id: 'i-1', zone: 'z', upstream: 'desk', checker: new Checker(), capacity: 32_000, leaseMs: 1000, workMs: () => 0,
		});
		const record = decodeMinionEntry('i-1', new TextEncoder().encode(minion.createRegistryEntry()))!;
		const {body} = await request(`http://${minion.address}/api/hold`, {
			method: 'POST', headers: {'chivestream-expected-instance': 'i-1'}, body: `{"fencing_token":${Number.MAX_SAFE_INTEGER},"ack_cursor":0}`,
		});
		await body.dump();
		let claims = 0;
		const manager = create({
			now: () => performance.now() + 5000,
			minions: () => [record],
			isZoneDiscovered: () => true,
			onClaimChange() {
				claims += manager.services.size;
			},
		});
		const end = performance.now() + 1500;
		while (performance.now() < end) {
			manager.evaluate();
			// eslint-disable-next-line no-await-in-loop -- the period of a host's evaluation
			await new Promise(resolve => {
				setTimeout(resolve, 50);
			});
		}

		expect(claims).toBeGreaterThan(1);
		expect(claims).toBeLessThan(6);
	});
});

describe('a host that claims with minions as it knew them before', () => {
	test('starts no task before it knows them as they are now', async () => {
		const checker = new Checker();
		minion = await startMinionStandIn({
			id: 'i-1', zone: 'z', upstream: 'desk', checker, capacity: 32_000, leaseMs: 1000, workMs: () => 20,
		});
		const readRecord = () => decodeMinionEntry('i-1', new TextEncoder().encode(minion!.createRegistryEntry()))!;
		const outdated = readRecord();
		let areMinionsCurrent = true;
		const manager = create({
			now: () => performance.now() + 5000,
			minions: () => [outdated],
			isZoneDiscovered: () => true,
			areMinionsCurrent: () => areMinionsCurrent,
			followMinions() {
				areMinionsCurrent = false;
			},
		});
		manager.evaluate();
		const {dispatcher} = manager.services.get(0)!;
		const id = '0000000000000001';
		checker.recordJob(id, 14_000);
		const outcome = new Promise<Outcome>(resolve => {
			dispatcher.submit({
				id,
				payload: 'x',
				steps: [{
					count: 2, millicores: 14_000, memoryMb: 64, accelerators: 0, estimateMs: 20, dependsOn: [],
				}],
				route: 'r0',
				upstream: 'desk',
				priority: 0,
				maxAttempts: 3,
				objectiveDeadline: performance.now() + 15_000,
				deadline: performance.now() + 15_000,
				submission: 0,
				mayHaveRun: false,
			}, resolve);
		});
		await sleep(100);
		manager.tick();
		expect(checker.starts).toBe(0);
		minion.setCapacity(20_000);
		minion.setCheckedCapacity(20_000);
		manager.setMinions([readRecord()]);
		expect(await outcome).toEqual({kind: 'completed'});
		expect(checker.starts).toBe(2);
		expect(checker.violations).toEqual([]);
	});
});
