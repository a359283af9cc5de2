/** Tests each mechanism against the failure that it prevents, and that the failure occurs without the mechanism. */
import {afterEach, expect, test} from '@jest/globals';
import {createCommand, sampleCommand} from '../__fixtures__/declarations.js';
import {FakeStream} from '../__fixtures__/fake-stream.js';
import {createFollowers, testDeadline} from '../__fixtures__/test-follower.js';
import {
	readQuorum, type Change, createSnapshot, type Follower, type FollowerOptions, writeQuorum, type PeerState, submitCommand,
} from '../index.js';

const shortWaitMs = 400;
const quota: Change = {kind: 'team', team: 'day-a', maxTasksInFlight: 7};
const {follow, stopAll} = createFollowers();

afterEach(stopAll);

const describeState = (hostId: string, {held, isProven}: Follower): PeerState => ({
	hostId, zone: 'a', isProven, state: held,
});

/** Sends the records of a version to another follower, as the hosts of a zone do before the version comes into force. */
const replicateTo = (target: Follower): FollowerOptions['replicateToZone'] => async (state, deadline, records) => {
	await target.hold(state.configuration.offset, records, deadline);
};

/** One host puts a version in force and dies; then the log fails and a new host fetches the state of the surviving one. */
const replaceDuringOutage = async (options: {isReplicating: boolean; freshnessProof?: () => boolean}) => {
	const stream = new FakeStream();
	await stream.append(sampleCommand);
	const {follower: survivor} = follow(stream);
	await survivor.waitForVersion(1, testDeadline());
	stream.visibleBefore = 1;
	await stream.append(createCommand('c1', 1, quota));
	const fresh = new FakeStream();
	fresh.records = stream.records;
	const {follower: replaced} = follow(fresh, options.isReplicating ? {replicateToZone: replicateTo(survivor)} : {});
	await replaced.waitForVersion(2, testDeadline());
	replaced.stop();
	stream.isUnavailable = true;
	const {follower: replacement} = follow(stream, {
		zoneSize: () => 2,
		fetchFromPeers: async () => [describeState('rest', survivor)],
		...(options.freshnessProof && {freshnessProof: options.freshnessProof}),
	});
	await replacement.waitForVersion(1, testDeadline());
	return {before: replaced.inForce?.version, after: replacement.inForce?.version};
};

test('a version in force on a host that died is in force on its replacement during a log outage', async () => {
	expect(await replaceDuringOutage({isReplicating: true})).toEqual({before: 2, after: 2});
	expect(await replaceDuringOutage({isReplicating: false})).toEqual({before: 2, after: 1});
});

test('a host that starts during a log outage and gets no reply from peers has no version in force', async () => {
	const stream = new FakeStream();
	stream.isUnavailable = true;
	const {follower: careful} = follow(stream);
	const {follower: careless} = follow(stream, {freshnessProof: () => true});
	expect(await careful.waitForVersion(0, Date.now() + shortWaitMs)).toBe(false);
	expect(careless.inForce?.version).toBe(0);
});

test('a read quorum intersects every write quorum, even when some holders restarted', () => {
	for (let zoneSize = 1; zoneSize <= 40; zoneSize += 1) {
		for (let restarted = 1; restarted <= writeQuorum(zoneSize); restarted += 1) {
			const candidates = zoneSize - restarted;
			const holders = writeQuorum(zoneSize) - restarted;
			const canAnswer = candidates >= readQuorum(zoneSize);
			expect(!canAnswer || readQuorum(zoneSize) + holders > candidates).toBe(true);
		}
	}
});

test('a command comes into force on a host that was notified of its offset, while reads of the log lag', async () => {
	const stream = new FakeStream();
	const {follower: author, submit} = follow(stream);
	const {follower: notified} = follow(stream, {fetchFromPeers: async () => [describeState('author', author)]});
	const {follower: unnotified} = follow(stream);
	await Promise.all([notified, unnotified].map(async follower => follower.waitForVersion(0, testDeadline())));
	stream.visibleBefore = 0;
	const submission = await submitCommand(submit, sampleCommand, testDeadline());
	expect(submission).toMatchObject({outcome: 'accepted'});
	notified.handleAnnouncedOffset(0);
	expect(await notified.waitForVersion(1, testDeadline())).toBe(true);
	expect(unnotified.inForce?.version).toBe(0);
	stream.visibleBefore = Number.POSITIVE_INFINITY;
	expect(await unnotified.waitForVersion(1, testDeadline())).toBe(true);
});

test('a host sends the records since the version in force to its zone, without the text of snapshots', async () => {
	const stream = new FakeStream();
	const offered: number[][] = [];
	const {follower} = follow(stream, {
		async replicateToZone(_state, _deadline, records) {
			offered.push(records.map(({offset}) => offset));
			expect(JSON.stringify(records)).not.toContain('snapshotId');
		},
	});
	await follower.waitForVersion(0, testDeadline());
	await stream.append(sampleCommand);
	await follower.waitForVersion(1, testDeadline());
	await stream.append(createSnapshot(follower.held)[0]);
	await stream.append(createCommand('c1', 1, quota));
	await follower.waitForVersion(2, testDeadline());
	expect(offered).toEqual([[], [0], [1, 2]]);
});

test('a dropped append gets a verdict when it is repeated', async () => {
	const stream = new FakeStream();
	const {submit} = follow(stream);
	stream.droppedAppends = 1;
	const once = await submitCommand({...submit, canRetryAppend: () => false}, sampleCommand, Date.now() + shortWaitMs);
	expect(once.outcome).toBe('unknown');
	stream.droppedAppends = 1;
	const repeated = await submitCommand(submit, sampleCommand, testDeadline());
	expect(repeated.outcome).toBe('accepted');
});

test('followers keep their version in force during an outage and catch up afterwards', async () => {
	const stream = new FakeStream();
	const {follower, submit} = follow(stream);
	await submitCommand(submit, sampleCommand, testDeadline());
	stream.isUnavailable = true;
	expect(await follower.waitForVersion(2, Date.now() + shortWaitMs)).toBe(false);
	expect(follower.inForce?.version).toBe(1);
	expect(follower.lastFailure?.code).toBe('log-unavailable');
	stream.isUnavailable = false;
	await stream.append(createCommand('c1', 1, quota));
	expect(await follower.waitForVersion(2, testDeadline())).toBe(true);
});

test('a host that lacks dropped records applies the state of a peer when the log holds no snapshot', async () => {
	const stream = new FakeStream();
	await stream.append(sampleCommand);
	const {follower: peer} = follow(stream);
	await peer.waitForVersion(1, testDeadline());
	await stream.append(createCommand('c1', 1, quota));
	await peer.waitForVersion(2, testDeadline());
	stream.dropBelow(2);
	const {follower: alone} = follow(stream);
	const {follower: helped} = follow(stream, {fetchFromPeers: async () => [describeState('peer', peer)]});
	expect(await helped.waitForVersion(2, testDeadline())).toBe(true);
	expect(alone.inForce).toBeUndefined();
});
