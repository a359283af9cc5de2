/** Each mechanism against the failure it is meant for: with it the promise holds, without it the test sees it broken. */
import {afterEach, expect, test} from '@jest/globals';
import {createCommand, sampleCommand} from '../__fixtures__/declarations.js';
import {FakeStream} from '../__fixtures__/fake-stream.js';
import {createFollowers, soon} from '../__fixtures__/test-follower.js';
import {
	answersNeeded, type Change, createSnapshot, type Follower, type FollowerOptions, holdersNeeded, type PeerState, submitCommand,
} from '../index.js';

const shortWaitMs = 400;
const quota: Change = {kind: 'team', team: 'day-a', maxTasksInFlight: 7};
const {follow, stopAll} = createFollowers();

afterEach(stopAll);

const describeState = (hostId: string, {held, isProven}: Follower): PeerState => ({
	hostId, zone: 'a', isProven, state: held,
});

/** Offers the records of a version to another follower, as hosts of a zone do before the version comes into force. */
const offerTo = (target: Follower): FollowerOptions['confirmHeld'] => async (state, deadline, records) => {
	await target.hold(state.configuration.offset, records, deadline);
};

/** One host reads a version and dies; then the log fails and a new host asks the rest of the zone. */
const replaceDuringOutage = async (options: {isConfirming: boolean; proof?: () => boolean}) => {
	const stream = new FakeStream();
	await stream.append(sampleCommand);
	const {follower: rest} = follow(stream);
	await rest.waitForVersion(1, soon());
	stream.hiddenFrom = 1;
	await stream.append(createCommand('c1', 1, quota));
	const fresh = new FakeStream();
	fresh.records = stream.records;
	const {follower: dying} = follow(fresh, options.isConfirming ? {confirmHeld: offerTo(rest)} : {});
	await dying.waitForVersion(2, soon());
	dying.stop();
	stream.isOut = true;
	const {follower: late} = follow(stream, {
		zoneSize: () => 2,
		fetchFromPeers: async () => [describeState('rest', rest)],
		...(options.proof && {proof: options.proof}),
	});
	await late.waitForVersion(1, soon());
	return {before: dying.inForce?.version, after: late.inForce?.version};
};

test('a version in force on a host that died is in force on its replacement during a log outage', async () => {
	expect(await replaceDuringOutage({isConfirming: true})).toEqual({before: 2, after: 2});
	expect(await replaceDuringOutage({isConfirming: false})).toEqual({before: 2, after: 1});
});

test('a host that started in an outage and hears nobody serves nothing', async () => {
	const stream = new FakeStream();
	stream.isOut = true;
	const {follower: careful} = follow(stream);
	const {follower: careless} = follow(stream, {proof: () => true});
	expect(await careful.waitForVersion(0, Date.now() + shortWaitMs)).toBe(false);
	expect(careless.inForce?.version).toBe(0);
});

test('answers needed at a start meet every set of holders, even when some of those restarted', () => {
	for (let zoneSize = 1; zoneSize <= 40; zoneSize += 1) {
		for (let restarted = 1; restarted <= holdersNeeded(zoneSize); restarted += 1) {
			const candidates = zoneSize - restarted;
			const holders = holdersNeeded(zoneSize) - restarted;
			const canAnswer = candidates >= answersNeeded(zoneSize);
			expect(!canAnswer || answersNeeded(zoneSize) + holders > candidates).toBe(true);
		}
	}
});

test('a command is in force at once on a host that was told of it, while the log lags', async () => {
	const stream = new FakeStream();
	const {follower: author, submit} = follow(stream);
	const {follower: told} = follow(stream, {fetchFromPeers: async () => [describeState('author', author)]});
	const {follower: untold} = follow(stream);
	await Promise.all([told, untold].map(async follower => follower.waitForVersion(0, soon())));
	stream.hiddenFrom = 0;
	const submission = await submitCommand(submit, sampleCommand, soon());
	expect(submission).toMatchObject({outcome: 'accepted'});
	told.notice(0);
	expect(await told.waitForVersion(1, soon())).toBe(true);
	expect(untold.inForce?.version).toBe(0);
	stream.hiddenFrom = Number.POSITIVE_INFINITY;
	expect(await untold.waitForVersion(1, soon())).toBe(true);
});

test('a host offers the records since the version in force, without the text of snapshots', async () => {
	const stream = new FakeStream();
	const offered: number[][] = [];
	const {follower} = follow(stream, {
		async confirmHeld(_state, _deadline, records) {
			offered.push(records.map(({offset}) => offset));
			expect(JSON.stringify(records)).not.toContain('snapshotId');
		},
	});
	await follower.waitForVersion(0, soon());
	await stream.append(sampleCommand);
	await follower.waitForVersion(1, soon());
	await stream.append(createSnapshot(follower.held)[0]);
	await stream.append(createCommand('c1', 1, quota));
	await follower.waitForVersion(2, soon());
	expect(offered).toEqual([[], [0], [1, 2]]);
});

test('an append that was lost on its way is settled by repeating it', async () => {
	const stream = new FakeStream();
	const {submit} = follow(stream);
	stream.lostAppends = 1;
	const once = await submitCommand({...submit, canRepeat: () => false}, sampleCommand, Date.now() + shortWaitMs);
	expect(once.outcome).toBe('unknown');
	stream.lostAppends = 1;
	const repeated = await submitCommand(submit, sampleCommand, soon());
	expect(repeated.outcome).toBe('accepted');
});

test('followers go on serving through an outage and catch up after it', async () => {
	const stream = new FakeStream();
	const {follower, submit} = follow(stream);
	await submitCommand(submit, sampleCommand, soon());
	stream.isOut = true;
	expect(await follower.waitForVersion(2, Date.now() + shortWaitMs)).toBe(false);
	expect(follower.inForce?.version).toBe(1);
	expect(follower.lastFailure?.code).toBe('log-unavailable');
	stream.isOut = false;
	await stream.append(createCommand('c1', 1, quota));
	expect(await follower.waitForVersion(2, soon())).toBe(true);
});

test('a host that retention has passed takes the state of a peer when the log holds no snapshot', async () => {
	const stream = new FakeStream();
	await stream.append(sampleCommand);
	const {follower: peer} = follow(stream);
	await peer.waitForVersion(1, soon());
	await stream.append(createCommand('c1', 1, quota));
	await peer.waitForVersion(2, soon());
	stream.dropBelow(2);
	const {follower: alone} = follow(stream);
	const {follower: helped} = follow(stream, {fetchFromPeers: async () => [describeState('peer', peer)]});
	expect(await helped.waitForVersion(2, soon())).toBe(true);
	expect(alone.inForce).toBeUndefined();
});
