import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, describe, expect, jest, test,
} from '@jest/globals';
import {Checker, startMinionStandIn, type MinionStandIn} from 'chivestream-site-stand-ins';
import {type MinionRecord, type Outcome} from 'chivestream-dispatch';
import {decodeMinionEntry} from 'chivestream-platform';
import {request} from 'undici';
import {ClaimManager, type ClaimManagerOptions} from '../claim-manager.js';
import {reachability, type Candidate} from '../election.js';
import {type HostRecord} from '../messages.js';

let minion: MinionStandIn | undefined;
let claimManager: ClaimManager | undefined;

afterEach(async () => {
	claimManager?.releaseAll('the test has ended');
	await minion?.close();
	[claimManager, minion] = [undefined, undefined];
});

/** Options of a host that has started at time 0 and knows no other host. */
const defaultOptions: ClaimManagerOptions = {
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
	zoneHosts: () => [],
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
};

const create = (changes: Partial<ClaimManagerOptions>): ClaimManager => {
	claimManager = new ClaimManager({...defaultOptions, ...changes});
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

describe('the division of a zone', () => {
	const discoveredAt = 3000;

	const createHost = (name: string, cpuShare: number): HostRecord => ({
		name, zone: 'z', address: '127.0.0.1:1', bornAt: 1, cpuShare,
	});

	const smallHosts = ['a', 'b', 'c', 'd', 'e'].map(name => createHost(name, 0.0625));
	const largeHost = createHost('l', 1);

	const minions = Array.from({length: 34}, (_, index): MinionRecord => ({
		id: `i-${index}`, bornAt: 1, upstream: 'desk', address: '127.0.0.1:1', zone: 'z', isDraining: false, capacity: {millicores: 1, memoryMb: 1, accelerators: 0}, labels: [],
	}));

	/** Hosts of one zone that report their number of cells to each other. They are about to stop, so they claim nothing. */
	const createZone = (records: readonly HostRecord[]) => {
		const clock = {now: 0};
		const known = new Set(records);
		const managers = new Map<string, ClaimManager>();
		for (const self of records) {
			const others = () => [...known].filter(host => host !== self);
			managers.set(self.name, new ClaimManager({
				...defaultOptions,
				self,
				now: () => clock.now,
				isLeaving: () => true,
				hostsKnownAt: () => 500,
				minions: () => minions,
				zoneHosts: others,
				candidates: () => others().map((record): Candidate => ({
					record, claims: [], cellCount: managers.get(record.name)!.cellCount, isLeaving: true, reachability: reachability.alive,
				})),
			}));
		}

		const evaluate = (...names: string[]) => {
			for (const name of names) {
				managers.get(name)!.evaluate();
			}

			return names.map(name => managers.get(name)!.cellCount);
		};

		return {clock, known, evaluate};
	};

	test('follows from what its hosts can carry, and all of them come to the same one', () => {
		const {clock, evaluate} = createZone(smallHosts);
		clock.now = discoveredAt;
		expect(evaluate('c', 'a', 'e', 'd', 'b')).toEqual([4, 4, 4, 4, 4]);
	});

	test('waits until the hosts that have started together are known', () => {
		const {clock, known, evaluate} = createZone([...smallHosts, largeHost]);
		known.delete(largeHost);
		clock.now = 600;
		expect(evaluate('a', 'b')).toEqual([1, 1]);
		known.add(largeHost);
		clock.now = discoveredAt;
		expect(evaluate('a', 'b', 'c', 'd', 'e', 'l')).toEqual([1, 1, 1, 1, 1, 1]);
	});

	test('comes when the large host that dispatched is gone, and stays when it comes back', () => {
		const {clock, known, evaluate} = createZone([...smallHosts, largeHost]);
		clock.now = discoveredAt;
		expect(evaluate('a', 'l')).toEqual([1, 1]);
		known.delete(largeHost);
		expect(evaluate('a', 'b')).toEqual([4, 4]);
		known.add(largeHost);
		expect(evaluate('l', 'a', 'c')).toEqual([4, 4, 4]);
	});

	test('is the finest that a host reports, also by one that knows other hosts or an earlier build', () => {
		const {clock, evaluate, known} = createZone([...smallHosts, largeHost]);
		clock.now = discoveredAt;
		known.delete(largeHost);
		expect(evaluate('a')).toEqual([4]);
		known.add(largeHost);
		expect(evaluate('l', 'a')).toEqual([4, 4]);
		for (const name of smallHosts.slice(1)) {
			known.delete(name);
		}

		expect(evaluate('l', 'a')).toEqual([4, 4]);
	});
});
