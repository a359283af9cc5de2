import {EventEmitter} from 'node:events';
import {describe, expect, test} from '@jest/globals';
import {
	type Acknowledgement, type HostRecord, type HostStatus, type PeerReply, type PeerRequest,
} from '../messages.js';
import {parsePeerReply} from '../message-schemas.js';
import {PeerServer, type PeerServerOptions} from '../peer-server.js';
import {type ReplyStream} from '../peer-service.js';
import {silenceTimeoutMs} from '../timing.js';

const host: HostRecord = {
	name: 'b', zone: 'y', address: '127.0.0.1:1', bornAt: 1, cpuShare: 1,
};

const slowIntervalMs = 600;

const jobLeaseMs = 1300;

const status: HostStatus = {
	claims: [], cellCount: 1, isLeaving: false, declarationsVersion: 1, nextInMs: slowIntervalMs,
};

/** A stream of another host whose replies are recorded with their times. */
// eslint-disable-next-line unicorn/prefer-event-target -- streams are event emitters
class RecordedStream extends EventEmitter {
	readonly replies: Array<{at: number; reply: PeerReply}> = [];
	private readonly now: () => number;

	constructor(now: () => number) {
		super();
		this.now = now;
	}

	get writable(): boolean {
		return true;
	}

	write(reply: PeerReply): void {
		this.replies.push({at: this.now(), reply});
	}

	request(request: PeerRequest & Acknowledgement): void {
		this.emit('data', request);
	}
}

const submit: PeerRequest = {
	type: 'submit',
	job: {
		id: 'j', cell: 'y/1 of 1', payload: '', route: 'r', upstream: 'u', priority: 0, maxAttempts: 1, objectiveInMs: 1, deadlineInMs: 1, submission: 0, mayHaveRun: false, steps: [{
			count: 1, millicores: 1, memoryMb: 1, accelerators: 0, estimateMs: 1, dependsOn: [],
		}],
	},
};

type Submission = Parameters<PeerServerOptions['submit']>[1];

/** A server with one stream, on a clock that the test sets. */
const createServer = (options: Partial<PeerServerOptions> = {}) => {
	let now = 0;
	const submissions: Submission[] = [];
	const server = new PeerServer({
		now: () => now,
		elapsed: () => now,
		jobLeaseMs: () => jobLeaseMs,
		report() {
			// Not of interest.
		},
		initialReplies: () => [{
			type: 'hello', host, status, hosts: [],
		}],
		localStatus: () => status,
		nextInMs: () => slowIntervalMs,
		onHost() {
			// Not of interest.
		},
		isDispatcher: () => false,
		jobsOfCell: () => undefined,
		onAnswer() {
			// Not of interest.
		},
		onLeaseExtended() {
			// Not of interest.
		},
		submit(_, callbacks) {
			submissions.push(callbacks);
			return {
				cancel() {
					// Not of interest.
				},
				drop() {
					// Not of interest.
				},
			};
		},
		cancelJob: async () => ({finding: 'unknown', isComplete: true}),
		...options,
	});
	const stream = new RecordedStream(() => now);
	// The server uses only these parts of a stream.
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
	server.accept(stream as unknown as ReplyStream);
	stream.request({type: 'hello', host, status});
	return {
		server,
		stream,
		submissions,
		setTime(time: number) {
			now = time;
		},
	};
};

test('the other host is never left without a message for longer than its silence timeout, before, during and after a job', () => {
	const {
		server, stream, submissions, setTime,
	} = createServer();
	let now = 0;
	const tickMs = 200;
	for (let tick = 1; tick <= 40; tick += 1) {
		now = (tick * tickMs) + (tick % 3);
		setTime(now);
		if (tick === 10) {
			stream.request(submit);
		} else if (tick === 15) {
			submissions[0]!.settle({kind: 'completed'});
		}

		server.sendStatus(false);
	}

	let announcedMs = slowIntervalMs;
	for (const [index, {at, reply}] of stream.replies.entries()) {
		if (reply.type === 'status') {
			announcedMs = reply.status.nextInMs;
		}

		const nextAt = stream.replies[index + 1]?.at ?? now;
		expect(nextAt - at).toBeLessThan(silenceTimeoutMs(announcedMs));
	}

	const sentBetween = (from: number, to: number) => stream.replies.filter(({at}) => at > from * tickMs && at <= to * tickMs).length;
	expect(sentBetween(11, 15)).toBeGreaterThanOrEqual(4);
	expect(sentBetween(20, 40)).toBeLessThanOrEqual(8);
});

describe('the lease on the jobs of a stream', () => {
	// A dispatcher that was paused started jobs from its sockets, which had been sent to another cell meanwhile.
	test('has ended when a submission is read that was sent before a pause of this host', () => {
		let extensions = 0;
		const {stream, submissions, setTime} = createServer({
			onLeaseExtended() {
				extensions += 1;
			},
		});
		setTime(2100);
		stream.request({...submit, acknowledgedSentAt: 0});
		expect(submissions[0]!.leaseEndsAt()).toBeLessThan(2100);
		expect(stream.replies.at(-1)?.reply).toMatchObject({type: 'status', isReplyWanted: true});
		stream.request({type: 'status', status, acknowledgedSentAt: 2100});
		expect(submissions[0]!.leaseEndsAt()).toBeGreaterThan(2100 + jobLeaseMs - 100);
		expect(extensions).toBe(1);
	});

	test('ends before the other host may submit the jobs elsewhere, however late its messages are read', () => {
		const {stream, submissions, setTime} = createServer();
		stream.request({...submit, acknowledgedSentAt: 0});
		for (const [time, acknowledgedSentAt] of [[200, 150], [900, 150], [1400, 200]] as const) {
			setTime(time);
			stream.request({type: 'status', status, acknowledgedSentAt});
			expect(submissions[0]!.leaseEndsAt()).toBeLessThan(acknowledgedSentAt + jobLeaseMs);
		}
	});
});

describe('a new claim that asks for the jobs of its cell', () => {
	const asking = (token: number, asksForJobs?: boolean): PeerRequest => ({
		type: 'status', status: {
			...status, claims: [{
				cell: 1, token, freeTasks: 0, ...(asksForJobs !== undefined && {asksForJobs}),
			}], cellCount: 2,
		},
	});

	test('is answered once, as soon as all runs are known here', () => {
		const asked: string[] = [];
		const jobs = [{cell: 'x/1 of 1', ids: ['j']}];
		let isKnown = false;
		const {server, stream} = createServer({
			jobsOfCell(cell) {
				asked.push(cell);
				return isKnown ? jobs : undefined;
			},
		});
		const answers = () => stream.replies.flatMap(({reply}) => reply.type === 'jobs-of-cell' ? [parsePeerReply(reply)] : []);
		stream.request(asking(7, true));
		expect(answers()).toEqual([]);
		isKnown = true;
		server.tick();
		stream.request(asking(7, true));
		server.tick();
		expect(answers()).toEqual([{type: 'jobs-of-cell', claim: 7, jobs}]);
		expect(new Set(asked)).toEqual(new Set(['y/2 of 2']));
		stream.request(asking(8, true));
		expect(answers()).toHaveLength(2);
	});

	// An earlier build closes the stream when it receives a type of message that it doesn't know.
	test('is the only one that is answered', () => {
		const {server, stream} = createServer({jobsOfCell: () => []});
		stream.request(asking(7));
		stream.request(asking(8, false));
		server.tick();
		expect(stream.replies.filter(({reply}) => reply.type === 'jobs-of-cell')).toEqual([]);
	});
});
