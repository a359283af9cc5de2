import {afterEach, expect, test} from '@jest/globals';
import {createCommand, sampleCommand} from '../__fixtures__/declarations.js';
import {FakeStream} from '../__fixtures__/fake-stream.js';
import {createFollowers, testDeadline} from '../__fixtures__/test-follower.js';
import {
	applyRecord, type Change, createSnapshot, initialState, type PeerState, type State, submitCommand,
} from '../index.js';

const quota: Change = {kind: 'team', team: 'day-a', maxTasksInFlight: 7};
const {follow, stopAll} = createFollowers();

afterEach(stopAll);

const stateAfter = (values: unknown[]): State => {
	let state = initialState;
	for (const [offset, value] of values.entries()) {
		state = applyRecord(state, {offset, at: 0, value});
	}

	return state;
};

const peer = (hostId: string, state: State, isProven = true): PeerState => ({
	hostId, zone: 'a', isProven, state,
});

test('a submitted command comes into force on every follower', async () => {
	const stream = new FakeStream();
	const first = follow(stream);
	const second = follow(stream);
	const submission = await submitCommand(first.submit, sampleCommand, testDeadline());
	expect(submission).toMatchObject({outcome: 'accepted', verdict: {version: 1}, currentVersion: 1});
	expect(await second.follower.waitForVersion(1, testDeadline())).toBe(true);
	expect(second.follower.inForce).toEqual(first.follower.held.configuration);
});

test('of two concurrent commands one is accepted and the verdict on the other has the version that superseded it', async () => {
	const stream = new FakeStream();
	const {submit} = follow(stream);
	await submitCommand(submit, sampleCommand, testDeadline());
	const submissions = await Promise.all([
		submitCommand(submit, createCommand('left', 1, quota, 'left'), testDeadline()),
		submitCommand(submit, createCommand('right', 1, {kind: 'drain', ids: ['m1']}, 'right'), testDeadline()),
	]);
	expect(submissions.map(({outcome}) => outcome).toSorted()).toEqual(['accepted', 'beaten']);
	expect(submissions.find(({outcome}) => outcome === 'beaten')).toMatchObject({verdict: {version: 2}});
});

test('an append without a reply gets its verdict by the command id, whether or not it took effect', async () => {
	const stream = new FakeStream();
	const {submit} = follow(stream);
	stream.lostAnswers = 1;
	expect(await submitCommand(submit, sampleCommand, testDeadline())).toMatchObject({outcome: 'accepted'});
	stream.droppedAppends = 1;
	expect(await submitCommand(submit, createCommand('c1', 1, quota), testDeadline())).toMatchObject({outcome: 'accepted'});
	expect(submit.follower.held.configuration.version).toBe(2);
});

test('a command submitted again has the same verdict; another command with its id is refused', async () => {
	const stream = new FakeStream();
	const {submit} = follow(stream);
	await submitCommand(submit, sampleCommand, testDeadline());
	const appends = stream.records.length;
	expect(await submitCommand(submit, sampleCommand, testDeadline())).toMatchObject({outcome: 'accepted', verdict: {version: 1}});
	const other = await submitCommand(submit, createCommand('c0', 1, quota), testDeadline());
	expect(other).toMatchObject({outcome: 'refused', failure: {code: 'key-reused'}});
	expect(stream.records).toHaveLength(appends);
});

test('without a verdict before the deadline the outcome is unknown', async () => {
	const stream = new FakeStream();
	stream.isUnavailable = true;
	const {submit} = follow(stream);
	const submission = await submitCommand(submit, sampleCommand, Date.now() + 100);
	expect(submission).toMatchObject({outcome: 'unknown', failure: {code: 'timed-out'}});
});

test('during a log outage a new host has a version in force only after a read quorum of its zone has sent its states', async () => {
	const stream = new FakeStream();
	stream.isUnavailable = true;
	const older = stateAfter([sampleCommand]);
	const newer = stateAfter([sampleCommand, createCommand('c1', 1, quota)]);
	const answers: PeerState[] = [peer('e1', older), peer('e2', newer, false)];
	const {follower} = follow(stream, {fetchFromPeers: async () => answers});
	expect(await follower.waitForVersion(0, Date.now() + 400)).toBe(false);
	answers[1] = peer('e2', newer);
	expect(await follower.waitForVersion(2, testDeadline())).toBe(true);
});

test('a reader that lacks records dropped by retention continues from a snapshot', async () => {
	const stream = new FakeStream();
	await stream.append(sampleCommand);
	await stream.append(createCommand('c1', 1, quota));
	const state = stateAfter(stream.records.map(({value}) => value));
	for (const part of createSnapshot(state, 200)) {
		// eslint-disable-next-line no-await-in-loop
		await stream.append(part);
	}

	await stream.append(createCommand('c2', 2, {kind: 'drain', ids: ['m1']}));
	stream.dropBelow(2);
	const {follower} = follow(stream);
	expect(await follower.waitForVersion(3, testDeadline())).toBe(true);
	expect(follower.held.configuration.declarations).toMatchObject({drains: ['m1'], teams: {'day-a': {maxTasksInFlight: 7}}});
});

test('records and states from peers never revert a version', async () => {
	const stream = new FakeStream();
	const {follower, seen} = follow(stream);
	await follower.waitForVersion(0, testDeadline());
	await stream.append(sampleCommand);
	await follower.waitForVersion(1, testDeadline());
	const ahead = {offset: 1, at: 0, value: createCommand('c1', 1, quota)};
	expect(follower.acceptRecords([ahead])).toBe(1);
	expect(follower.acceptState(stateAfter([sampleCommand]))).toBe(1);
	expect(follower.acceptRecords([{offset: 5, at: 0, value: sampleCommand}])).toBe(1);
	expect(await follower.waitForVersion(2, testDeadline())).toBe(true);
	expect(seen.map(({version}) => version)).toEqual([0, 1, 2]);
});

test('a version that another host of the zone has in force comes into force without waiting for confirmation', async () => {
	const stream = new FakeStream();
	const offered: number[] = [];
	const {submit, follower} = follow(stream, {
		async replicateToZone(state) {
			offered.push(state.configuration.version);
			return new Promise(() => {
				// No host of the zone replies.
			});
		},
	});
	void submitCommand(submit, sampleCommand, testDeadline());
	await follower.waitForOffset(0, testDeadline());
	expect(follower.inForce?.version).not.toBe(1);
	follower.recordZoneVersion(1);
	await new Promise(resolve => {
		setImmediate(resolve);
	});
	expect(offered).toContain(1);
	expect(follower.inForce?.version).toBe(1);
});
