import {expect, test} from '@jest/globals';
import {type JobRequest, type Submission} from 'chivestream-dispatch';
import {type DispatchService} from '../dispatch-service.js';
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

const jobLeaseMs = 1300;

const create = () => {
	const home = record('home', 'z');
	const state = {now: 0, leaseEndsAt: jobLeaseMs, isHomeLinked: true};
	const services = new Map<number, DispatchService>();
	const table = new DispatcherTable({
		self: record('self', 'z'),
		now: () => state.now,
		choices: () => [{kind: 'follow', record: home}],
		services: () => services,
		link: () => state.isHomeLinked ? linkTo(home) : undefined,
		otherZoneDispatchers: () => [linkTo(record('other', 'y'))],
		callerLeaseEndsAt: () => state.leaseEndsAt,
		jobLeaseMs: () => jobLeaseMs,
	});
	return {state, services, table};
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

// The end of the caller's connection waited on the full link of its host: the copy of the job, 1.3 s later, ran elsewhere beside the first one.
test('a job of a caller of the dispatcher has the lease of its callers, and minions are asked for an answer if that is short', () => {
	const {state, services, table} = create();
	const submitters: Array<Pick<Submission, 'leaseEndsAt'>> = [];
	let asked = 0;
	// The table uses only these parts of a service and of a job.
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
	services.set(0, {
		token: 7,
		askIdleMinions() {
			asked += 1;
		},
		dispatcher: {
			submit(_job: unknown, _settle: unknown, _onTaskCrashed: unknown, submitter: Pick<Submission, 'leaseEndsAt'>) {
				submitters.push(submitter);
			},
		},
	} as unknown as DispatchService);
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion, @typescript-eslint/consistent-type-assertions
	const job = {id: '00000000000000aa'} as JobRequest;
	const submit = () => {
		table.forJob(job.id)?.submit(job, {
			settle() {
				// It has no outcome.
			},
			onTaskCrashed() {
				// Nothing runs.
			},
		});
	};

	state.now = hostTiming.jobLeaseRenewalMs;
	submit();
	expect(asked).toBe(0);
	const leaseEnds = () => submitters.map(({leaseEndsAt}) => leaseEndsAt());
	expect(leaseEnds()).toEqual([jobLeaseMs]);
	state.now += 1;
	submit();
	expect(asked).toBe(1);
	state.leaseEndsAt += 100;
	expect(leaseEnds()).toEqual([jobLeaseMs + 100, jobLeaseMs + 100]);
});
