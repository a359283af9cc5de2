import {expect, test} from '@jest/globals';
import {systemClock} from 'chivestream-core';
import {sampleCommand} from '../__fixtures__/declarations.js';
import {FakeStream} from '../__fixtures__/fake-stream.js';
import {testDeadline, startFollower} from '../__fixtures__/test-follower.js';
import {
	addSnapshotPart, applyRecord, createSnapshot, initialState, isSnapshotBehind, parseSnapshotPart, type PendingSnapshots, restoreSnapshot, runSnapshotWriter, snapshotWriterRank,
} from '../index.js';

const state = applyRecord(initialState, {offset: 0, at: 0, value: sampleCommand});

test('a snapshot is restored from all its parts in any order, with repeated parts', () => {
	const parts = createSnapshot(state, 100);
	expect(parts.length).toBeGreaterThan(3);
	let pending: PendingSnapshots = new Map();
	const [last, ...others] = [...parts, ...parts].toReversed();
	for (const part of [last, ...others]) {
		const value = parseSnapshotPart({offset: 9, at: 0, value: part});
		pending = value ? addSnapshotPart(pending, value) : pending;
	}

	expect(restoreSnapshot(pending, parts[0]?.snapshotId ?? '')).toEqual(state);
});

test('a snapshot with a missing or changed part is not restored', () => {
	const [first, ...others] = createSnapshot(state, 100);
	const {snapshotId, text} = first!;
	const withoutFirst = new Map([[snapshotId, others]]);
	const withChange = new Map([[snapshotId, [{...first!, text: text.replace('version', 'Version')}, ...others]]]);
	expect(restoreSnapshot(withoutFirst, snapshotId)).toBeUndefined();
	expect(restoreSnapshot(withChange, snapshotId)).toBeUndefined();
});

test('a snapshot is behind when it lies in the older half of the retained records, or more than 1000 records back', () => {
	const view = (first: number, next: number, covers: number) => ({first, next, snapshot: {covers, seenAt: 0}});
	expect(isSnapshotBehind(view(0, 900, 1))).toBe(false);
	expect(isSnapshotBehind(view(0, 1100, 1))).toBe(true);
	expect(isSnapshotBehind(view(100, 200, 149))).toBe(true);
	expect(isSnapshotBehind(view(100, 200, 151))).toBe(false);
});

test('each live host has a rank of its own', () => {
	const hosts = ['e1', 'e2', 'e3', 'e4'];
	expect(hosts.map(host => snapshotWriterRank(host, hosts)).toSorted((left, right) => left - right)).toEqual([0, 1, 2, 3]);
});

test('the host ranked first writes a snapshot from which a new reader continues', async () => {
	const stream = new FakeStream();
	await stream.append(sampleCommand);
	const {follower} = startFollower(stream);
	const stopping = new AbortController();
	const writing = runSnapshotWriter({
		stream, follower, clock: systemClock, hostId: 'e1', liveHosts: () => ['e1'], intervalMs: 100,
	}, stopping.signal);
	await follower.waitForOffset(1, testDeadline());
	stopping.abort();
	await writing;
	follower.stop();
	stream.dropBelow(1);
	const {follower: late} = startFollower(stream);
	expect(await late.waitForVersion(1, testDeadline())).toBe(true);
	late.stop();
});
