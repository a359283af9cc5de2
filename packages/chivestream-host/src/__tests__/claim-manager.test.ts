import {
	afterEach, describe, expect, test,
} from '@jest/globals';
import {Checker, startMinionStandIn, type MinionStandIn} from 'chivestream-site-stand-ins';
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
		cellsOfOtherHosts: () => [],
		followMinions() {
			// The minions are fixed.
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
