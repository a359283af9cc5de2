import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, expect, test,
} from '@jest/globals';
import {createRandom} from 'chivestream-core';
import {
	crashEvidence, Dispatcher, leaseLengths, runState, type JobRequest,
} from 'chivestream-dispatch';
import {decodeMinionEntry} from 'chivestream-platform';
import {
	availability, Checker, startMinionStandIn, type MinionStandIn,
} from 'chivestream-site-stand-ins';
import {until} from '../__fixtures__/site.js';
import {runMinionSession} from '../minion-session.js';

const leaseMs = 1000;
const token = 64;

let minion: MinionStandIn | undefined;
let controller: AbortController;

const startMinion = async (id: string, at?: {ip: string; port: number}, workMs = 10_000, now = () => performance.now()) => startMinionStandIn({
	id, zone: 'z', upstream: 'desk', checker: new Checker(), capacity: 32_000, leaseMs, now, workMs: () => workMs, ...(at !== undefined && {at}),
});

/** A job of one task, which takes as long as the stand-in minion runs tasks. */
const createJob = (id = '00000000000000aa'): JobRequest => ({
	id,
	payload: 'x',
	steps: [{
		count: 1, millicores: 14_000, memoryMb: 64, accelerators: 0, estimateMs: 10_000, dependsOn: [],
	}],
	route: 'r',
	upstream: 'desk',
	priority: 0,
	maxAttempts: 3,
	objectiveDeadline: performance.now() + 60_000,
	deadline: performance.now() + 60_000,
	submission: 0,
	mayHaveRun: false,
});

/** Starts a session with the minion; its dispatcher sends start requests over the session. */
const startSession = (standIn: MinionStandIn, claim = token, now = () => performance.now(), longestLeaseMs = leaseMs) => {
	const events: Array<{event: string; fields: Record<string, unknown>}> = [];
	const starts: string[] = [];
	const answersSentAt: number[] = [];
	const dispatcher: Dispatcher = new Dispatcher({
		now,
		random: createRandom(1),
		requestStart(run, task) {
			starts.push(run.task);
			session.start(run, task);
		},
		requestStop(run) {
			session.stop(run);
		},
		report(event, fields) {
			events.push({event, fields});
		},
		otherCells: () => [],
		claim,
		isRegistryComplete: () => true,
		knowsMinionsOfClaim: () => true,
	}, {leaseMs: longestLeaseMs, farFactor: 1});
	dispatcher.setMinions([decodeMinionEntry(standIn.id, Buffer.from(standIn.createRegistryEntry()))!]);
	const session = runMinionSession({
		minion: dispatcher.pool.minions.get(standIn.id)!,
		dispatcher,
		token: claim,
		now,
		recentDelayMs: () => 0,
		report() {
			// Not of interest.
		},
		onAnswer(sentAt) {
			answersSentAt.push(sentAt);
		},
		onFenced() {
			// No other dispatcher exists.
		},
		signal: controller.signal,
	});
	return {
		dispatcher, session, events, starts, answersSentAt,
	};
};

beforeEach(() => {
	controller = new AbortController();
});

afterEach(async () => {
	controller.abort();
	await minion?.close();
});

test('the runs of a restarted minion are reported only after it has received a token that fences off earlier start requests', async () => {
	minion = await startMinion('i-1');
	const {dispatcher} = startSession(minion);
	const highestTokens: number[] = [];
	const handleReport = dispatcher.handleReport.bind(dispatcher);
	dispatcher.handleReport = (...reported) => {
		highestTokens.push(minion!.highestToken());
		handleReport(...reported);
	};

	await until(() => highestTokens.length > 0);
	minion.crash();
	const reportsBefore = highestTokens.length;
	await until(() => highestTokens.length > reportsBefore);
	expect(highestTokens[reportsBefore]).toBe(token + 1);
});

test('a minion that was silent until its lease had expired has crashed under its runs if another one answers at its address', async () => {
	minion = await startMinion('i-1');
	const {dispatcher, events} = startSession(minion);
	await until(() => dispatcher.pool.minions.get('i-1')!.isSynced);
	dispatcher.submit(createJob(), () => undefined);
	await until(() => minion!.runningTasks().length > 0);
	minion.setAvailability(availability.silent);
	await until(() => dispatcher.pool.minions.get('i-1')!.runs.size === 0);
	const [ip = '', port] = minion.address.split(':');
	await minion.close();
	minion = await startMinion('i-2', {ip, port: Number(port)});
	await until(() => events.some(({event}) => event === 'minion-crashed'));
	expect(events.find(({event}) => event === 'minion-crashed')?.fields).toMatchObject({
		evidence: crashEvidence.replaced, runs: [{task: '00000000000000aa.0.0.0'}],
	});
});

// On a simulated clock, zone-decisions.test.ts has the rerun that follows.
test('a minion that stopped listening has crashed under its runs before its lease has expired', async () => {
	minion = await startMinion('i-1');
	const {dispatcher, events} = startSession(minion, token, undefined, 60_000);
	const known = dispatcher.pool.minions.get('i-1')!;
	await until(() => known.isSynced);
	dispatcher.submit(createJob(), () => undefined);
	await until(() => [...known.runs.values()].some(({state}) => state === runState.running));
	minion.crash();
	await minion.close();
	await until(() => known.runs.size === 0);
	expect(events.map(({event}) => event)).not.toContain('lease-expired');
	expect(events.find(({event}) => event === 'minion-crashed')?.fields).toMatchObject({
		evidence: crashEvidence.stoppedListening, runs: [{task: '00000000000000aa.0.0.0'}],
	});
});

test('another minion at the address of an entry that is older than the known incarnation shows no crash', async () => {
	minion = await startMinion('i-1');
	const {dispatcher, events} = startSession(minion);
	const known = dispatcher.pool.minions.get('i-1')!;
	await until(() => known.isSynced);
	dispatcher.submit(createJob(), () => undefined);
	await until(() => minion!.runningTasks().length > 0);
	known.record = {...known.record, bornAt: known.bornAt - 1000};
	const [ip = '', port] = minion.address.split(':');
	await minion.close();
	minion = await startMinion('i-2', {ip, port: Number(port)});
	await until(() => known.runs.size === 0);
	expect(events.map(({event}) => event)).not.toContain('minion-crashed');
	expect(events.map(({event}) => event)).toContain('lease-expired');
});

// The next dispatcher does not renew the lease, as no host has submitted the job to it yet.
test('a run of the previous dispatcher is not given up while its minion is silent and its lease has not expired', async () => {
	minion = await startMinion('i-1');
	const first = startSession(minion);
	await until(() => first.dispatcher.pool.minions.get('i-1')!.isSynced);
	first.dispatcher.submit(createJob(), () => undefined);
	await until(() => minion!.runningTasks().length > 0);
	first.dispatcher.release();
	controller.abort();
	controller = new AbortController();
	const {dispatcher} = startSession(minion, token + 64);
	const handleReport = dispatcher.handleReport.bind(dispatcher);
	dispatcher.handleReport = (...reported) => {
		minion!.setAvailability(availability.silent);
		handleReport(...reported);
	};

	let runningAtExpiry: number | undefined;
	const handleLeaseExpiry = dispatcher.handleLeaseExpiry.bind(dispatcher);
	dispatcher.handleLeaseExpiry = expired => {
		runningAtExpiry ??= minion!.runningTasks().length;
		handleLeaseExpiry(expired);
	};

	await until(() => runningAtExpiry !== undefined);
	expect(runningAtExpiry).toBe(0);
});

// The minion counts the length of such a lease from when it carries the request out.
test('a renewal without an answer that is carried out late does not let a run outlive the lease that its dispatcher counts on', async () => {
	minion = await startMinion('i-1');
	const {dispatcher} = startSession(minion);
	await until(() => dispatcher.pool.minions.get('i-1')!.isSynced);
	dispatcher.submit(createJob(), () => undefined);
	await until(() => minion!.runningTasks().length > 0);
	const carryOut = await minion.holdBackRenewal();
	const handleReport = dispatcher.handleReport.bind(dispatcher);
	let reports = 0;
	dispatcher.handleReport = (...reported) => {
		reports += 1;
		// The second one answers a further renewal.
		if (reports === 2) {
			minion!.setAvailability(availability.silent);
			setTimeout(carryOut, 400);
		}

		handleReport(...reported);
	};

	let runningAtExpiry: number | undefined;
	const handleLeaseExpiry = dispatcher.handleLeaseExpiry.bind(dispatcher);
	dispatcher.handleLeaseExpiry = expired => {
		runningAtExpiry ??= minion!.runningTasks().length;
		handleLeaseExpiry(expired);
	};

	await until(() => runningAtExpiry !== undefined);
	expect(runningAtExpiry).toBe(0);
});

// Its clock was taken to have run at full speed since its last answer.
test('a minion whose clock runs 2% slow is asked for no longer lease when its last answer is old', async () => {
	let passedMs = 0;
	const now = () => performance.now() + passedMs;
	minion = await startMinion('i-1', undefined, 10_000, () => 0.98 * now());
	const {dispatcher} = startSession(minion, token, now);
	await until(() => dispatcher.pool.minions.get('i-1')!.isSynced);
	passedMs = 10_000;
	dispatcher.submit(createJob(), () => undefined);
	await until(() => minion!.runningTasks().length > 0);
	// Both ends round the minion's clock.
	expect(minion.longestRequestedLeaseMs()).toBeLessThanOrEqual(leaseLengths(leaseMs).usualMs + 1);
});

test('the answer of an earlier incarnation counts for nothing once the registry shows the next one', async () => {
	minion = await startMinion('i-1');
	const {dispatcher, session} = startSession(minion);
	const known = dispatcher.pool.minions.get('i-1')!;
	await until(() => known.isSynced);
	const tokensAtReports: number[] = [];
	const handleReport = dispatcher.handleReport.bind(dispatcher);
	dispatcher.handleReport = (...reported) => {
		tokensAtReports.push(minion!.highestToken());
		handleReport(...reported);
	};

	// The minion restarts while its answer is on the way.
	minion.delayAnswers(100);
	session.wake();
	await sleep(30);
	minion.crash();
	dispatcher.setMinions([decodeMinionEntry('i-1', Buffer.from(minion.createRegistryEntry()))!]);
	expect(known.isSynced).toBe(false);
	await until(() => known.isSynced);
	expect(tokensAtReports[0]).toBeGreaterThan(token);
});

// A late start was carried out by the next incarnation, whose answers were lost.
test('a minion that has restarted receives a higher token although none of its answers arrives', async () => {
	minion = await startMinion('i-1');
	const {dispatcher} = startSession(minion);
	await until(() => dispatcher.pool.minions.get('i-1')!.isSynced);
	minion.delayAnswers(60_000);
	minion.crash();
	dispatcher.setMinions([decodeMinionEntry('i-1', Buffer.from(minion.createRegistryEntry()))!]);
	await until(() => minion!.highestToken() > 0);
	expect(minion.highestToken()).toBeGreaterThan(token);
});

// The end was acknowledged by the number of an end of the incarnation before, and the task started again.
test('a run that the next incarnation has carried out and ended before its first report is not started again', async () => {
	minion = await startMinion('i-1', undefined, 20);
	const {dispatcher, starts} = startSession(minion);
	const known = dispatcher.pool.minions.get('i-1')!;
	await until(() => known.isSynced);
	let completed = 0;
	const settle = () => {
		completed += 1;
	};

	dispatcher.submit(createJob('00000000000000a1'), settle);
	await until(() => completed === 1 && known.runs.size === 0);
	minion.delayStarts(1, () => 0);
	dispatcher.submit(createJob('00000000000000a2'), settle);
	await until(() => starts.length === 2);
	await sleep(20);
	minion.setAvailability(availability.silent);
	await sleep(480);
	minion.crash();
	minion.delayStarts(0, () => 1);
	await sleep(400);
	minion.setAvailability(availability.up);
	await until(() => minion!.highestToken() > token + 1);
	dispatcher.setMinions([decodeMinionEntry('i-1', Buffer.from(minion.createRegistryEntry()))!]);
	await until(() => completed === 2);
	expect(starts).toHaveLength(2);
});

test('a minion is polled again after the handling of one report has failed', async () => {
	minion = await startMinion('i-1');
	const {dispatcher} = startSession(minion);
	const handleReport = dispatcher.handleReport.bind(dispatcher);
	let reports = 0;
	dispatcher.handleReport = (...reported) => {
		reports += 1;
		if (reports === 1) {
			throw new Error('an odd report');
		}

		handleReport(...reported);
	};

	await until(() => dispatcher.pool.minions.get('i-1')?.isSynced === true);
	expect(reports).toBeGreaterThan(1);
});

// It was refused by the host itself, which took that for news of its link while the end of a caller's connection waited there.
test('a start that could not be sent is no answer', async () => {
	minion = await startMinion('i-1');
	const {dispatcher, starts, events, answersSentAt} = startSession(minion);
	await until(() => dispatcher.pool.minions.get('i-1')!.isSynced);
	await minion.close();
	const closedAt = performance.now();
	dispatcher.submit(createJob(), () => undefined);
	expect(starts).toHaveLength(1);
	await until(() => !dispatcher.pool.minions.get('i-1')!.isReachable || events.some(({event}) => event === 'start-unanswered'));
	expect(answersSentAt.filter(sentAt => sentAt > closedAt)).toEqual([]);
});
