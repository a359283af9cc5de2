/** Tests followers over HTTP against the stand-in of the log, with each kind of outage. */
import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {type Log, createLog} from 'chivestream-log';
import {type LogFaults, type LogStandIn, startLogStandIn} from 'chivestream-stand-ins';
import {createCommand, sampleCommand} from '../__fixtures__/declarations.js';
import {createFollowers, testDeadline} from '../__fixtures__/test-follower.js';
import {type Change, createSnapshot, submitCommand} from '../index.js';

const quota: Change = {kind: 'team', team: 'day-a', maxTasksInFlight: 7};
const {follow, stopAll} = createFollowers();
let standIn: LogStandIn;
let log: Log;

beforeEach(async () => {
	standIn = await startLogStandIn();
	log = createLog({urls: [`http://${standIn.address}`], requestTimeoutMs: 200});
});

afterEach(async () => {
	stopAll();
	await log.close();
	await standIn.close();
});

test('a command whose reply is lost comes into force once, on every host', async () => {
	const stream = log.stream('configuration');
	const {submit} = follow(stream);
	const {follower: other} = follow(stream);
	standIn.setFaults({lostAnswers: 1});
	expect(await submitCommand(submit, sampleCommand, testDeadline())).toMatchObject({outcome: 'accepted', verdict: {version: 1}});
	expect(await other.waitForVersion(1, testDeadline())).toBe(true);
	expect(other.held.configuration.version).toBe(1);
});

const outages: Array<LogFaults['outage']> = ['503', 'hang', 'drop'];

test.each(outages)('a host keeps its version during an outage with %s and continues afterwards', async outage => {
	const stream = log.stream('configuration');
	const {follower, submit} = follow(stream);
	await submitCommand(submit, sampleCommand, testDeadline());
	standIn.setFaults({outage});
	const during = await submitCommand(submit, createCommand('c1', 1, quota), Date.now() + 500);
	expect(during.outcome).toBe('unknown');
	expect(follower.inForce?.version).toBe(1);
	standIn.setFaults({outage: 'none'});
	expect(await submitCommand(submit, createCommand('c1', 1, quota), testDeadline())).toMatchObject({outcome: 'accepted'});
	expect(await follower.waitForVersion(2, testDeadline())).toBe(true);
});

test('a host that lacks records dropped by retention continues from a snapshot that the log still retains', async () => {
	const stream = log.stream('configuration');
	const {follower, submit} = follow(stream);
	await submitCommand(submit, sampleCommand, testDeadline());
	standIn.setFaults({maxRecords: 1});
	standIn.append('configuration', createSnapshot(follower.held)[0]);
	expect(standIn.records('configuration').map(({offset}) => offset)).toEqual([1]);
	const {follower: late} = follow(stream);
	expect(await late.waitForVersion(1, testDeadline())).toBe(true);
});
