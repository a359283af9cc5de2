import {describe, expect, test} from '@jest/globals';
import {outcomeKind, type CrashRecord, type JobRequest} from 'chivestream-dispatch';
import {jobRequest} from '../../../chivestream-dispatch/src/__fixtures__/recorded-dispatcher.js';
import {
	fromJobMessage, runJob, toJobMessage, type DispatcherHandle, type JobClientOptions,
} from '../job-client.js';
import {parsePeerReply, parsePeerRequest} from '../message-schemas.js';
import {type RemoteOutcome} from '../peer-link.js';

const job: JobRequest = {
	id: '00000000000000aa',
	payload: '',
	steps: [],
	route: 'r',
	upstream: 'desk',
	priority: 0,
	maxAttempts: 1,
	objectiveDeadline: 500,
	deadline: 5000,
	submission: 0,
	mayHaveRun: false,
};

type FakeDispatcher = Partial<DispatcherHandle> & {
	answers: RemoteOutcome[];
	/** Crashes that the dispatcher reports before its first answer, by the name of the task. */
	crashes?: Record<string, CrashRecord>;
};

/** Options of a job client whose clock advances to each deadline that it waits for, and dispatchers that answer from a list. */
const createClient = (fakes: FakeDispatcher[]) => {
	let time = 0;
	const submitted: Array<{name: string; at: number; job: JobRequest}> = [];
	const toHandle = ({answers, crashes = {}, ...fake}: FakeDispatcher): DispatcherHandle => ({
		name: 'd',
		cell: 'z/1 of 1',
		claim: 1,
		submit(request, {settle, onTaskCrashed}) {
			submitted.push({name: fake.name ?? 'd', at: time, job: request});
			for (const [task, record] of Object.entries(crashes)) {
				onTaskCrashed(task, record);
			}

			settle(answers.shift() ?? {kind: outcomeKind.completed});
		},
		cancel() {
			// No test cancels a job.
		},
		...fake,
	});
	const handles = fakes.map(fake => toHandle(fake));
	const options: JobClientOptions = {
		now: () => time,
		report() {
			// Tests check only what is submitted.
		},
		async untilAwake() {
			// The process is never paused.
		},
		releasedRunsMs: () => 1090,
		dispatcherOfCell: cell => handles.find(handle => handle.cell === cell),
		dispatcherForJob: () => handles[0],
		async untilChange(deadline) {
			time = Math.max(time + 1, deadline);
		},
	};
	return {options, submitted, handles};
};

describe('a job of a caller', () => {
	test('is not resubmitted under a released claim, and is abandoned if no other claim follows', async () => {
		const client = createClient([{answers: [{kind: outcomeKind.released, doneTasks: []}]}]);
		const outcome = await runJob(client.options, job).outcome;
		expect(outcome.kind).toBe(outcomeKind.abandoned);
		expect(client.submitted).toHaveLength(1);
	});

	test('is resubmitted at once under the next claim of the cell, with its completed tasks', async () => {
		const client = createClient([{answers: [{kind: outcomeKind.released, doneTasks: ['t']}]}]);
		client.options.untilChange = async () => {
			client.handles[0]!.claim = 2;
		};

		expect(await runJob(client.options, job).outcome).toEqual({kind: outcomeKind.completed});
		expect(client.submitted[1]).toMatchObject({at: 0, job: {submission: 1, mayHaveRun: true, doneTasks: ['t']}});
	});

	test('is resubmitted to another cell only when nothing of the lost dispatcher can still run', async () => {
		const client = createClient([{name: 'd1', cell: 'y/1 of 1', answers: [{kind: 'lost', leaseEndsAt: 1300}]}, {name: 'd2', cell: 'z/1 of 1', answers: []}]);
		const first = client.handles[0]!;
		client.options.dispatcherOfCell = () => undefined;
		client.options.dispatcherForJob = () => client.submitted.length === 0 ? first : client.handles[1];
		expect(await runJob(client.options, job).outcome).toEqual({kind: outcomeKind.completed});
		expect(client.submitted.map(({name, at}) => [name, at])).toEqual([['d1', 0], ['d2', 1300]]);
	});

	test('is resubmitted to another cell after its release once the runs have ended, and at once if there are none', async () => {
		for (const [minionsByTask, at] of [[{t: ['m']}, 1090], [undefined, 1090], [{}, 0]] as const) {
			const answers: RemoteOutcome[] = [{kind: outcomeKind.released, doneTasks: [], ...(minionsByTask !== undefined && {minionsByTask: {...minionsByTask}})}];
			const client = createClient([{name: 'd1', cell: 'y/1 of 1', answers}, {
				name: 'd2', cell: 'z/1 of 1', claim: 2, answers: [],
			}]);
			const first = client.handles[0]!;
			client.options.dispatcherOfCell = () => undefined;
			client.options.dispatcherForJob = () => client.submitted.length === 0 ? first : client.handles[1];
			// eslint-disable-next-line no-await-in-loop -- the cases are independent
			expect(await runJob(client.options, job).outcome).toEqual({kind: outcomeKind.completed});
			expect(client.submitted.map(submission => [submission.name, submission.at])).toEqual([['d1', 0], ['d2', at]]);
		}
	});

	test('names its lost and its released submissions to the next dispatcher, until their runs have ended', async () => {
		const released: RemoteOutcome = {kind: outcomeKind.released, doneTasks: [], minionsByTask: {t: ['m']}};
		const client = createClient([{answers: [{kind: 'lost', leaseEndsAt: 50}, released]}]);
		client.options.untilChange = async () => {
			client.handles[0]!.claim = 2;
		};

		expect(await runJob(client.options, job).outcome).toEqual({kind: outcomeKind.completed});
		expect(client.submitted.map(submission => submission.job.previousSubmissions)).toEqual([
			[], [{claim: 1, leaseEndsAt: 50}], [{claim: 1, leaseEndsAt: 50}, {claim: 1, leaseEndsAt: 1090, minionsByTask: {t: ['m']}}],
		]);
	});

	test('leaves a log line with cell, claim and lease for each submission that ended without an outcome', async () => {
		const released: RemoteOutcome = {kind: outcomeKind.released, doneTasks: ['t1'], minionsByTask: {t: ['m']}};
		const client = createClient([{answers: [{kind: 'lost', leaseEndsAt: 50}, released]}]);
		const lines: Array<Record<string, unknown>> = [];
		client.options.report = (event, fields) => {
			lines.push({event, ...fields});
		};

		client.options.untilChange = async () => {
			client.handles[0]!.claim = 2;
		};

		await runJob(client.options, job).outcome;
		const submission = {
			job: job.id, dispatcher: 'd', cell: 'z/1 of 1', claim: 1,
		};
		expect(lines).toEqual([
			{
				event: 'dispatcher-lost', ...submission, submission: 0, leaseEndsInMs: 50,
			},
			{
				event: 'job-released', ...submission, submission: 1, done: 1, minionsByTask: {t: ['m']},
			},
		]);
	});

	test('is not submitted again after its deadline, when its caller may have sent it elsewhere', async () => {
		const client = createClient([{answers: [{kind: 'lost', leaseEndsAt: 0}]}]);
		client.options.now = () => client.submitted.length === 0 ? 0 : job.deadline;
		const outcome = await runJob(client.options, job).outcome;
		expect(outcome.kind).toBe(outcomeKind.abandoned);
		expect(client.submitted).toHaveLength(1);
	});

	test('goes to the next dispatcher with the crashes that the lost one had reported', async () => {
		const crashes = {
			t: {
				incarnations: ['m@1'], wasAlone: true, isSuspect: true, isOnlySuspect: false,
			},
		};
		const client = createClient([{answers: [{kind: 'lost', leaseEndsAt: 1300}], crashes}]);
		expect(await runJob(client.options, job).outcome).toEqual({kind: outcomeKind.completed});
		expect(client.submitted.map(submission => submission.job.crashes)).toEqual([undefined, crashes]);
	});

	test('goes to the next dispatcher with the crashes of its release', async () => {
		const crashes = {
			t: {
				incarnations: ['m@1'], wasAlone: true, isSuspect: true, isOnlySuspect: false,
			},
		};
		const client = createClient([{answers: [{kind: outcomeKind.released, doneTasks: [], crashes}]}]);
		client.options.untilChange = async () => {
			client.handles[0]!.claim = 2;
		};

		expect(await runJob(client.options, job).outcome).toEqual({kind: outcomeKind.completed});
		expect(client.submitted[1]?.job.crashes).toEqual(crashes);
	});

	test('is refused with a retry delay if no dispatcher was ever reachable', async () => {
		const client = createClient([]);
		expect(await runJob(client.options, job).outcome).toMatchObject({kind: outcomeKind.refused, retryAfterMs: 1000});
	});

	test('is submitted to the cell to which it is redirected', async () => {
		const client = createClient([{name: 'd1', cell: 'y/1 of 1', answers: [{kind: outcomeKind.redirected, cell: 'z/1 of 1'}]}, {name: 'd2', cell: 'z/1 of 1', answers: []}]);
		expect(await runJob(client.options, job).outcome).toEqual({kind: outcomeKind.completed});
		expect(client.submitted.map(({name}) => name)).toEqual(['d1', 'd2']);
		expect(client.submitted[1]?.job).toMatchObject({submission: 1, mayHaveRun: false});
	});

	// If the host that redirected the job is lost, the next dispatcher of that cell asks for it.
	test('names the cell in which it belongs to the dispatcher of another cell, also over the link', async () => {
		const [home, first, second] = ['x/1 of 1', 'y/1 of 1', 'z/1 of 1'];
		const redirected = (cell: string): RemoteOutcome => ({kind: outcomeKind.redirected, cell});
		const client = createClient([{cell: home, answers: [redirected(first)]}, {cell: first, answers: [redirected(second)]}, {cell: second, answers: [redirected(home)]}]);
		expect(await runJob(client.options, job).outcome).toEqual({kind: outcomeKind.completed});
		const received = client.submitted.map(({job: sent}) => fromJobMessage(toJobMessage(sent, {cell: 'c', claim: 1}, 0), 0));
		expect(received.map(({homeCell}) => homeCell)).toEqual([undefined, home, home, undefined]);
	});

	test('says so to the next dispatcher if the lost one was new and may not have known that it was a copy, also over the link', async () => {
		const lost: RemoteOutcome = {kind: 'lost', leaseEndsAt: 50};
		const cases: Array<{dispatcher: FakeDispatcher; expected: Array<boolean | undefined>}> = [
			{dispatcher: {asksForJobs: true, answers: [lost]}, expected: [undefined, true]},
			{dispatcher: {answers: [lost]}, expected: [undefined, true]},
			{dispatcher: {asksForJobs: false, answers: [lost]}, expected: [undefined, false]},
			{
				dispatcher: {asksForJobs: true, answers: [{kind: outcomeKind.released, doneTasks: [], hasUnknownHistory: true}, lost]},
				expected: [undefined, true, true],
			},
			{dispatcher: {asksForJobs: true, answers: [{kind: outcomeKind.released, doneTasks: []}, lost]}, expected: [undefined, false, false]},
		];
		for (const {dispatcher, expected} of cases) {
			const client = createClient([dispatcher]);
			client.options.untilChange = async () => {
				client.handles[0]!.claim = 2;
			};

			// eslint-disable-next-line no-await-in-loop -- the cases are independent
			expect(await runJob(client.options, job).outcome).toEqual({kind: outcomeKind.completed});
			const received = client.submitted.map(({job: sent}) => fromJobMessage(toJobMessage(sent, {cell: 'c', claim: 1}, 0), 0));
			expect(received.map(({hasUnknownHistory}) => hasUnknownHistory)).toEqual(expected);
		}
	});

	test('keeps what is said of its history in the messages between hosts', () => {
		const {steps} = jobRequest(job.id);
		const message = {type: 'submit', job: toJobMessage({...job, steps, hasUnknownHistory: true}, {cell: 'c', claim: 1}, 0)};
		expect(parsePeerRequest(message)).toEqual(message);
		const reply = {
			type: 'settled', id: job.id, submission: 0, outcome: {kind: outcomeKind.released, doneTasks: [], hasUnknownHistory: true},
		};
		expect(parsePeerReply(reply)).toEqual(reply);
	});

	test('names the cell in which it belongs if it went to another one for want of a dispatcher', async () => {
		const client = createClient([{cell: 'y/1 of 1', homeCell: 'z/1 of 1', answers: []}]);
		expect(await runJob(client.options, job).outcome).toEqual({kind: outcomeKind.completed});
		expect(client.submitted[0]?.job.homeCell).toBe('z/1 of 1');
	});
});
