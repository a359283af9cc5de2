import {expect, test} from '@jest/globals';
import {DispatcherTable} from '../dispatcher-table.js';
import {type HostRecord, type HostStatus} from '../messages.js';
import {type PeerLink} from '../peer-link.js';
import {hostTiming} from '../timing.js';

const record = (name: string, zone: string): HostRecord => ({
	name, zone, address: '127.0.0.1:1', bornAt: 1, cpuShare: 1,
});

const status: HostStatus = {
	claims: [{cell: 0, token: 7, freeTasks: 1}], cellCount: 1, isLeaving: false, declarationsVersion: 1, nextInMs: 200,
};

// The table uses only these parts of a link.
// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion, @typescript-eslint/consistent-type-assertions
const linkTo = (host: HostRecord) => ({record: host, status}) as PeerLink;

const create = () => {
	const home = record('home', 'z');
	const state = {now: 0, isHomeLinked: true};
	const table = new DispatcherTable({
		self: record('self', 'z'),
		now: () => state.now,
		choices: () => [{kind: 'follow', record: home}],
		services: () => new Map(),
		link: () => state.isHomeLinked ? linkTo(home) : undefined,
		otherZoneDispatchers: () => [linkTo(record('other', 'y'))],
		callerLeaseEndsAt: () => Infinity,
	});
	return {state, table};
};

// The caller's connection and the link between two hosts were reset at once: the copy of a job went to another zone.
test('a job waits for the dispatcher of its cell while its link is broken, and then goes to another zone', () => {
	const {state, table} = create();
	table.recordReachable();
	expect(table.forJob('00000000000000aa')?.name).toBe('home');
	state.isHomeLinked = false;
	state.now = hostTiming.homeDispatcherWaitMs - 1;
	table.recordReachable();
	expect(table.forJob('00000000000000aa')).toBeUndefined();
	expect(table.hasAny()).toBe(true);
	state.now += 1;
	expect(table.forJob('00000000000000aa')?.name).toBe('other');
	state.isHomeLinked = true;
	expect(table.forJob('00000000000000aa')?.name).toBe('home');
});

// The first copy of the job ran in its cell, whose dispatcher was killed; the second one was sent to another zone at once by a host that had
// just started and knew no dispatcher of its own zone yet.
test('a host that has just started waits for the dispatcher of its zone as if it had been reachable, and then sends jobs to another zone', () => {
	const {state, table} = create();
	state.isHomeLinked = false;
	expect(table.forJob('00000000000000aa')).toBeUndefined();
	state.now = hostTiming.homeDispatcherWaitMs - 1;
	expect(table.forJob('00000000000000aa')).toBeUndefined();
	expect(table.hasAny()).toBe(true);
	state.now += 1;
	expect(table.forJob('00000000000000aa')?.name).toBe('other');
});

test('a job that goes to another zone names the cell in which it belongs', () => {
	const {state, table} = create();
	expect(table.forJob('00000000000000aa')?.homeCell).toBeUndefined();
	state.isHomeLinked = false;
	state.now = hostTiming.homeDispatcherWaitMs;
	expect(table.forJob('00000000000000aa')).toMatchObject({cell: 'y/1 of 1', homeCell: 'z/1 of 1'});
});
