import {describe, expect, test} from '@jest/globals';
import {Failure, failureCode} from 'chivestream-core';
import {type MinionRecord} from 'chivestream-dispatch';
import {type StoreClient, type TopicSnapshot} from 'chivestream-platform';
import {Err, Ok} from 'ts-results-es';
import {until} from '../__fixtures__/site.js';
import {MinionFollower} from '../minion-follower.js';

const entry = (cpu: number) => new TextEncoder().encode('{"service": "desk", "address": "127.0.0.1:1", "zone": "z", "version": "v1", "slots": 8, '
	+ `"state": "ready", "cold_left_ms": 0, "capacity": {"cpu": ${cpu}, "mem_mb": 64, "gpu": 0}, "labels": ["a"], "clock_ms": 1, "born": 1, "sequence": 1}`);

/** A follower of a store that can turn it away. The store counts its snapshots and reports no changes, and its clock is set by the test. */
const create = (cpuById: Record<string, number>) => {
	const state = {
		isServed: true, now: 10_000, snapshots: 0, reads: 0, changes: 0,
	};
	const turnedAway = () => new Err(new Failure(failureCode.logUnavailable, 'unexpected status 503', {step: 'read', peer: 'store'}));
	const store: StoreClient = {
		async readSnapshot() {
			if (!state.isServed) {
				return turnedAway();
			}

			state.snapshots += 1;
			return new Ok<TopicSnapshot>({records: Object.entries(cpuById).map(([key, cpu]) => ({key, value: entry(cpu)})), end: 1});
		},
		readChanges: async () => state.isServed ? new Ok({records: [], end: 1}) : turnedAway(),
		writeRecord: async () => new Ok(undefined),
		close: async () => undefined,
	};
	const follower = new MinionFollower({
		store,
		report() {
			// Not of interest.
		},
		lastStoreFailureAt: () => Number.NEGATIVE_INFINITY,
		now: () => state.now,
		onChange() {
			state.changes += 1;
		},
		onRead() {
			state.reads += 1;
		},
	});
	return {state, follower};
};

const cpuOf = ({table}: MinionFollower, id: string): number | undefined => table.get(id)?.capacity.millicores;

/** The record of a minion as another host has read it. */
const withCpu = (record: MinionRecord, millicores: number): MinionRecord => ({...record, capacity: {...record.capacity, millicores}});

describe('the table of minions', () => {
	test('is not current before the first read has ended, unless no host reaches the store', async () => {
		const {state, follower} = create({one: 64_000});
		const controller = new AbortController();
		const ended = follower.follow(controller.signal, true);
		expect(follower.isCurrent()).toBe(false);
		await until(() => state.reads > 0);
		expect(follower.isCurrent()).toBe(true);
		expect(state.changes).toBe(2);
		controller.abort();
		await ended;
		const next = new AbortController();
		const endedAgain = follower.follow(next.signal, false);
		expect(follower.isCurrent()).toBe(true);
		next.abort();
		await endedAgain;
	});

	test('is current once it couldn\'t be read for a while', async () => {
		const {state, follower} = create({one: 64_000});
		state.isServed = false;
		const controller = new AbortController();
		const ended = follower.follow(controller.signal, true);
		await until(() => !follower.reachesStore());
		expect(follower.isCurrent()).toBe(false);
		state.now += 1000;
		await until(() => follower.isCurrent());
		expect(state.changes).toBe(1);
		expect(state.reads).toBe(0);
		expect(follower.isTableNeeded()).toBe(true);
		controller.abort();
		await ended;
	});

	test('is current once another host has sent it', async () => {
		const {state, follower} = create({one: 64_000});
		state.isServed = false;
		const controller = new AbortController();
		const ended = follower.follow(controller.signal, true);
		follower.mergeZone('z', []);
		expect(follower.isCurrent()).toBe(true);
		expect(state.changes).toBe(1);
		controller.abort();
		await ended;
	});

	test('takes over what another host has read, and is read in full once the store answers again', async () => {
		const cpuById: Record<string, number> = {one: 64_000, two: 64_000};
		const {state, follower} = create(cpuById);
		const controller = new AbortController();
		const ended = follower.follow(controller.signal, true);
		await until(() => state.reads > 0);
		state.isServed = false;
		await until(() => !follower.reachesStore());
		const one = follower.table.get('one')!;
		const two = follower.table.get('two')!;
		follower.mergeZone('z', [withCpu(one, 32_000), two]);
		expect(cpuOf(follower, 'one')).toBe(32_000);
		cpuById.one = 48_000;
		state.isServed = true;
		await until(() => state.snapshots > 1);
		expect(cpuOf(follower, 'one')).toBe(48_000);
		controller.abort();
		await ended;
	});

	// A session with an earlier address takes the answer of another minion there for the end of the one that runs.
	test('keeps the entry of the latest incarnation when another host has read an earlier one', async () => {
		const {state, follower} = create({one: 64_000});
		const controller = new AbortController();
		const ended = follower.follow(controller.signal, true);
		await until(() => state.reads > 0);
		const earlier = follower.table.get('one')!;
		const latest: MinionRecord = {...earlier, bornAt: earlier.bornAt + 1, address: '127.0.0.1:2'};
		state.isServed = false;
		await until(() => !follower.reachesStore());
		follower.mergeZone('z', [latest]);
		follower.mergeZone('z', [earlier]);
		expect(follower.table.get('one')).toEqual(latest);
		follower.replace([earlier]);
		expect(follower.table.get('one')).toEqual(latest);
		follower.replace([]);
		expect(follower.table.size).toBe(0);
		controller.abort();
		await ended;
	});

	test('keeps a minion for a while that another host hasn\'t found, and those of other zones', async () => {
		const {state, follower} = create({one: 64_000, two: 64_000});
		const controller = new AbortController();
		const ended = follower.follow(controller.signal, true);
		await until(() => state.reads > 0);
		state.isServed = false;
		await until(() => !follower.reachesStore());
		const one = follower.table.get('one')!;
		follower.mergeZone('y', []);
		follower.mergeZone('z', [one]);
		expect([...follower.table.keys()]).toEqual(['one', 'two']);
		state.now += 5000;
		await until(() => follower.table.size === 1);
		expect(cpuOf(follower, 'one')).toBe(64_000);
		controller.abort();
		await ended;
	});
});
