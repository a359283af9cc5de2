/** Followers over HTTP against the stand-in of the log, through its kinds of outage. */
import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {type Log, createLog} from 'chivestream-log';
import {type LogFaults, type LogStandIn, startLogStandIn} from 'chivestream-stand-ins';
import {createCommand, sampleCommand} from '../__fixtures__/declarations.js';
import {createFollowers, soon} from '../__fixtures__/test-follower.js';
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

test('a command whose answer is lost comes into force once, on every host', async () => {
	const stream = log.stream('configuration');
	const {submit} = follow(stream);
	const {follower: other} = follow(stream);
	standIn.setFaults({lostAnswers: 1});
	expect(await submitCommand(submit, sampleCommand, soon())).toMatchObject({outcome: 'accepted', verdict: {version: 1}});
	expect(await other.waitForVersion(1, soon())).toBe(true);
	expect(other.held.configuration.version).toBe(1);
});

const outages: Array<LogFaults['outage']> = ['503', 'hang', 'drop'];

test.each(outages)('through an outage with %s a host keeps its version and follows on afterwards', async outage => {
	const stream = log.stream('configuration');
	const {follower, submit} = follow(stream);
	await submitCommand(submit, sampleCommand, soon());
	standIn.setFaults({outage});
	const during = await submitCommand(submit, createCommand('c1', 1, quota), Date.now() + 500);
	expect(during.outcome).toBe('unknown');
	expect(follower.inForce?.version).toBe(1);
	standIn.setFaults({outage: 'none'});
	expect(await submitCommand(submit, createCommand('c1', 1, quota), soon())).toMatchObject({outcome: 'accepted'});
	expect(await follower.waitForVersion(2, soon())).toBe(true);
});

test('a host that retention has passed goes on from a snapshot that its log still holds', async () => {
	const stream = log.stream('configuration');
	const {follower, submit} = follow(stream);
	await submitCommand(submit, sampleCommand, soon());
	standIn.setFaults({maxRecords: 1});
	standIn.append('configuration', createSnapshot(follower.held)[0]);
	expect(standIn.records('configuration').map(({offset}) => offset)).toEqual([1]);
	const {follower: late} = follow(stream);
	expect(await late.waitForVersion(1, soon())).toBe(true);
});
