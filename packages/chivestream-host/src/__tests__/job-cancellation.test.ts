import {describe, expect, test} from '@jest/globals';
import {outcomeKind, type JobRequest, type Outcome} from 'chivestream-dispatch';
import {CallerJobs} from '../caller-jobs.js';
import {cancelFinding, CancelledJobs, type CancelFinding} from '../cancelled-jobs.js';
import {
	cancelResult, JobCancellation, type CancelAnswer, type CancelPeer, type JobCancellationOptions,
} from '../job-cancellation.js';
import {Questions} from '../questions.js';

const {unknown, held, stopped} = cancelFinding;
const id = '00000000000000aa';

type AskedPeer = CancelPeer & {questions: Array<{id: string; asksHosts: boolean}>};

/** A host that gives these answers, one for each question; `undefined` stands for none. */
const createPeer = (answers: Array<CancelFinding | undefined>, isOverdue = false): AskedPeer => {
	const questions: AskedPeer['questions'] = [];
	return {
		isOverdue,
		questions,
		async cancelJob(job, asksHosts) {
			questions.push({id: job, asksHosts});
			const finding = answers.shift();
			return finding === undefined ? undefined : {finding, isComplete: true};
		},
	};
};

const createCancellation = (changes: Partial<JobCancellationOptions> = {}) => {
	const cancelledJobs = new CancelledJobs(() => 0);
	const cancellation = new JobCancellation({
		now: () => 0,
		report() {
			// Tests check answers, not log events.
		},
		cancelledJobs,
		stopJob: () => false,
		endJob: () => false,
		linkedHosts: () => [],
		attachedHosts: () => [],
		hasAllDispatchers: () => true,
		...changes,
	});
	return {cancellation, cancelledJobs};
};

describe('a caller that cancels a job is told that', () => {
	test.each<[string, Array<CancelFinding | undefined>, Array<CancelFinding | undefined>, string]>([
		['it is cancelled if a dispatcher had it, whether or not the others answer', [undefined], [stopped], cancelResult.cancelled],
		['it is cancelled if only a host held it and all have answered', [unknown], [held], cancelResult.cancelled],
		['it is not settled if only a host held it and another has not answered', [undefined], [held], cancelResult.unsettled],
		['it is not settled if nobody had it and one has not answered', [undefined], [unknown], cancelResult.unsettled],
		['no host knows it if all have answered so twice', [unknown, unknown], [unknown, unknown], cancelResult.unknown],
		['it is not settled if a host does not answer the second question', [unknown, undefined], [unknown, unknown], cancelResult.unsettled],
		['it is cancelled if one is found only by the second question', [unknown, held], [unknown, unknown], cancelResult.cancelled],
	])('%s', async (_, first, second, expected) => {
		const peers = [createPeer(first), createPeer(second)];
		const {cancellation} = createCancellation({linkedHosts: () => peers});
		expect(await cancellation.cancel(id)).toBe(expected);
	});

	test('it is cancelled if a dispatcher of this host had it, and the other hosts are told as well', async () => {
		const peer = createPeer([unknown]);
		const {cancellation} = createCancellation({stopJob: () => true, linkedHosts: () => [peer]});
		expect(await cancellation.cancel(id)).toBe(cancelResult.cancelled);
		expect(peer.questions).toEqual([{id, asksHosts: false}]);
	});

	test('it is cancelled if a host that is attached to this one held it', async () => {
		const peer = createPeer([held]);
		const {cancellation} = createCancellation({attachedHosts: () => [peer]});
		expect(await cancellation.cancel(id)).toBe(cancelResult.cancelled);
	});

	test('it is not settled while a cell of the zone has no dispatcher that could be asked', async () => {
		const {cancellation} = createCancellation({hasAllDispatchers: () => false});
		expect(await cancellation.cancel(id)).toBe(cancelResult.unsettled);
	});

	test('no host knows it if one that is overdue does not answer again, though that one is asked', async () => {
		const peer = createPeer([undefined], true);
		const {cancellation} = createCancellation({attachedHosts: () => [peer]});
		expect(await cancellation.cancel(id)).toBe(cancelResult.unknown);
		expect(peer.questions).toHaveLength(1);
	});

	test('it is cancelled when asked again after a host had not answered', async () => {
		const peer = createPeer([undefined, unknown]);
		const heldJobs = new Set([id]);
		const {cancellation} = createCancellation({endJob: job => heldJobs.delete(job), linkedHosts: () => [peer]});
		expect(await cancellation.cancel(id)).toBe(cancelResult.unsettled);
		expect(await cancellation.cancel(id)).toBe(cancelResult.cancelled);
	});
});

describe('a host that is asked to cancel a job', () => {
	test('stops it before it ends it for its own callers, and remembers it', async () => {
		const calls: string[] = [];
		const {cancellation, cancelledJobs} = createCancellation({
			stopJob() {
				calls.push('stop');
				return true;
			},
			endJob() {
				calls.push('end');
				return true;
			},
		});
		expect(await cancellation.handleRequest(id, false)).toEqual({finding: stopped, isComplete: true});
		expect(calls).toEqual(['stop', 'end']);
		expect(cancelledJobs.finding(id)).toBe(stopped);
	});

	test('asks the hosts attached to it only if it is told to and does not know the job itself', async () => {
		const peer = createPeer([held]);
		let isKnown = true;
		const {cancellation} = createCancellation({stopJob: () => isKnown, attachedHosts: () => [peer]});
		await cancellation.handleRequest('b', true);
		isKnown = false;
		await cancellation.handleRequest(id, false);
		expect(peer.questions).toEqual([]);
		expect(await cancellation.handleRequest(id, true)).toEqual({finding: held, isComplete: true});
	});

	test('says so if one of these has not answered', async () => {
		const {cancellation} = createCancellation({attachedHosts: () => [createPeer([undefined]), createPeer([unknown])]});
		expect(await cancellation.handleRequest(id, true)).toEqual({finding: unknown, isComplete: false});
	});
});

describe('cancelled jobs are remembered', () => {
	test('for thirty seconds after the last request', () => {
		let time = 0;
		const jobs = new CancelledJobs(() => time);
		jobs.record(id, unknown);
		time = 20_000;
		jobs.record(id, unknown);
		time = 49_999;
		expect(jobs.has(id)).toBe(true);
		time = 50_000;
		expect(jobs.has(id)).toBe(false);
	});

	test('with the finding that says most', () => {
		const jobs = new CancelledJobs(() => 0);
		jobs.record(id, held);
		jobs.record(id, stopped);
		jobs.record(id, unknown);
		expect(jobs.finding(id)).toBe(stopped);
		expect(jobs.finding('b')).toBeUndefined();
	});

	test('up to a number, the latest ones', () => {
		const jobs = new CancelledJobs(() => 0);
		const ids = Array.from({length: 6000}, (_, index) => `j${index}`);
		for (const job of ids) {
			jobs.record(job, unknown);
		}

		expect(ids.filter(job => jobs.has(job))).toEqual(ids.slice(1000));
	});
});

describe('a question to another host', () => {
	test('gets the answer with its number, and none once the stream has ended', async () => {
		const questions = new Questions<CancelAnswer>();
		const numbers: number[] = [];
		const answers = [1, 2, 3].map(async () => questions.ask(number => {
			numbers.push(number);
		}, 60_000));
		questions.answer(numbers[1]!, {finding: held, isComplete: true});
		questions.answer(numbers[0]!, {finding: stopped, isComplete: true});
		questions.abandon();
		const received = await Promise.all(answers);
		expect(received.map(answer => answer?.finding)).toEqual([stopped, held, undefined]);
	});

	test('without an answer in time makes the host overdue until its next answer', async () => {
		const questions = new Questions<CancelAnswer>();
		let late = 0;
		expect(await questions.ask(number => {
			late = number;
		}, 1)).toBeUndefined();
		expect(questions.isOverdue).toBe(true);
		questions.answer(late, {finding: unknown, isComplete: true});
		expect(questions.isOverdue).toBe(false);
	});
});

describe('a job of a caller', () => {
	const job: JobRequest = {
		id, payload: '', steps: [], route: 'r', upstream: 'u', priority: 0, maxAttempts: 1, objectiveDeadline: 1, deadline: 1, submission: 0, mayHaveRun: false,
	};

	const createJobs = () => {
		const settles: Array<(outcome: Outcome) => void> = [];
		let cancels = 0;
		const cancelledJobs = new CancelledJobs(() => 0);
		const callerJobs = new CallerJobs({
			cancelledJobs,
			runJob: () => ({
				outcome: new Promise(resolve => {
					settles.push(resolve);
				}),
				cancel() {
					cancels += 1;
				},
			}),
		});
		return {
			callerJobs, cancelledJobs, settles, cancels: () => cancels,
		};
	};

	test('ends at once as cancelled for all callers that have sent it when it is cancelled, and its submission is given up', async () => {
		const {callerJobs, cancels, settles} = createJobs();
		const pending = [callerJobs.run(job), callerJobs.run(job)];
		expect(callerJobs.end(id)).toBe(true);
		expect(await Promise.all(pending.map(async ({outcome}) => outcome))).toEqual([{kind: outcomeKind.cancelled}, {kind: outcomeKind.cancelled}]);
		expect(settles).toHaveLength(1);
		expect(cancels()).toBe(1);
	});

	// The caller's connection was reset while the request was on its way; the copy reached the same host.
	test('goes on until all callers that have sent it have left, and is submitted anew for the next one', async () => {
		const {callerJobs, cancels, settles} = createJobs();
		const [first, second] = [callerJobs.run(job), callerJobs.run(job)];
		first.cancel();
		first.cancel();
		expect(cancels()).toBe(0);
		second.cancel();
		expect(cancels()).toBe(1);
		const third = callerJobs.run(job);
		settles.at(-1)!({kind: outcomeKind.completed});
		expect(await third.outcome).toEqual({kind: outcomeKind.completed});
		expect(settles).toHaveLength(2);
	});

	test('is not held any more once it has an outcome', async () => {
		const {callerJobs, settles} = createJobs();
		const {outcome} = callerJobs.run(job);
		settles[0]!({kind: outcomeKind.completed});
		expect(await outcome).toEqual({kind: outcomeKind.completed});
		await new Promise(resolve => {
			setImmediate(resolve);
		});
		expect(callerJobs.has(id)).toBe(false);
		expect(callerJobs.end(id)).toBe(false);
	});

	test('is not submitted if it was cancelled before it came', async () => {
		const {callerJobs, cancelledJobs, settles} = createJobs();
		cancelledJobs.record(id, unknown);
		expect(await callerJobs.run(job).outcome).toEqual({kind: outcomeKind.cancelled});
		expect(settles).toEqual([]);
	});
});
