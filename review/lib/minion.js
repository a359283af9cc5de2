/* eslint-disable camelcase -- names of the platform's protocol */
/** Stand-in for a minion. It doesn't guard its capacity, and each task works for the time that its `task_spec` names. */
import {performance} from 'node:perf_hooks';
import {listen} from './http.js';
import {now} from './record.js';

const status = {
	ok: 200, badRequest: 400, conflict: 409, misdirected: 421,
};
const holdMaxMs = 1000;
const stopMs = 20;
const leaseCheckMs = 5;
const maxWaitMs = 2000;
/** Interval of its reports, and number of silent ones after which its entry is removed. */
export const heartbeatMs = 1500;
const missedHeartbeats = 3;

/**
 * Starts a minion and registers it in the store. `checker` is told of the start and the end of each run. The minion reports itself
 * until `setStorePath(false)` cuts its path to the store; the store then removes its entry after three intervals of silence.
 */
export const startMinion = async ({id, ip, zone, service, store, record, checker, cpu = 64_000, labels = ['a', 'r1-1']}) => {
	const clockStart = performance.now();
	const clock = () => Math.round(performance.now() - clockStart);
	const born = Date.now();
	const running = new Map();
	let ended = [];
	let cursor = 0;
	let token = 0;
	let tokenChangedAt = -Infinity;
	let lease = 0;
	let sequence = 0;
	const state = 'ready';
	let reportedCpu = cpu;
	let hasStorePath = true;
	let reportedAt = performance.now();
	let isRegistered = false;
	const finalRuns = new Map();
	const waiters = new Set();

	const finish = (key, how) => {
		const run = running.get(key);
		if (run === undefined) {
			return;
		}

		clearTimeout(run.timer);
		running.delete(key);
		finalRuns.set(run.task, Math.max(run.number, finalRuns.get(run.task) ?? 0));
		cursor += 1;
		ended.push([cursor, run.task, run.number, how, '']);
		record.note('run-ended', {
			minion: id, task: run.task, run: run.number, how,
		});
		checker.recordEnd(id, run.task, run.number, how);
		for (const wake of waiters) {
			wake();
		}
	};

	const acceptToken = sentToken => {
		if (sentToken > token) {
			token = sentToken;
			tokenChangedAt = now();
		}
	};

	const extendLease = deadline => {
		if (deadline !== undefined) {
			lease = Math.max(lease, Math.min(deadline, clock() + holdMaxMs));
		}
	};

	const start = ({task, run: number, task_spec: spec, deadline_ms: deadline, fencing_token: sentToken = 0}) => {
		const refuse = reason => ({status: status.conflict, body: {clock_ms: clock(), reason, born}});
		if (sentToken < token) {
			return refuse('fence');
		}

		acceptToken(sentToken);
		const key = `${task}/${number}`;
		if (running.has(key)) {
			extendLease(deadline);
			return {status: status.ok, body: {clock_ms: clock(), born}};
		}

		if (number <= (finalRuns.get(task) ?? 0)) {
			extendLease(deadline);
			return refuse('old');
		}

		if (deadline <= clock()) {
			return refuse('late');
		}

		extendLease(deadline);
		const {ms} = JSON.parse(spec);
		running.set(key, {
			task,
			number,
			startedAt: clock(),
			ms,
			timer: setTimeout(() => {
				finish(key, 'done');
			}, ms),
		});
		record.note('run-started', {
			minion: id, zone, task, run: number, token: sentToken,
		});
		checker.recordStart(id, task, number, spec);
		return {status: status.ok, body: {clock_ms: clock(), born}};
	};

	const stop = ({task, run: number, fencing_token: sentToken = 0}) => {
		if (sentToken < token) {
			return {status: status.conflict, body: {clock_ms: clock(), reason: 'fence', born}};
		}

		acceptToken(sentToken);
		record.note('stop-ordered', {minion: id, task, run: number});
		finalRuns.set(task, Math.max(number, finalRuns.get(task) ?? 0));
		setTimeout(() => {
			finish(`${task}/${number}`, 'stopped');
		}, stopMs);
		return {status: status.ok, body: {clock_ms: clock(), born}};
	};

	const hold = async ({deadline_ms: deadline, fencing_token: sentToken = 0, ack_cursor: acknowledged = 0, wait_ms: waitMs = 0}) => {
		if (sentToken < token) {
			return {status: status.conflict, body: {clock_ms: clock(), reason: 'fence', born}};
		}

		acceptToken(sentToken);
		extendLease(deadline);
		ended = ended.filter(([number]) => number > acknowledged);
		if (ended.length === 0 && waitMs > 0) {
			await new Promise(resolve => {
				const wake = () => {
					clearTimeout(timer);
					waiters.delete(wake);
					resolve();
				};

				const timer = setTimeout(wake, Math.min(waitMs, maxWaitMs));
				waiters.add(wake);
			});
		}

		return {
			status: status.ok,
			body: {
				clock_ms: clock(),
				born,
				running: [...running.values()].map(({task, number, startedAt, ms}) => [task, number, '', Math.min(99, Math.floor(100 * (clock() - startedAt) / ms)), 0]),
				ended: ended.slice(0, 500),
			},
		};
	};

	const calls = {'/api/run-start': start, '/api/run-stop': stop, '/api/hold': hold};
	const server = await listen(ip, 0, async ({path, headers, body}) => {
		const expected = headers['chivestream-expected-instance'];
		if (expected !== undefined && expected !== id) {
			return {status: status.misdirected};
		}

		const handle = calls[path];
		return handle === undefined ? {status: status.badRequest} : handle(JSON.parse(body.toString('utf8')));
	});

	const report = () => {
		if (!hasStorePath) {
			return;
		}

		sequence += 1;
		reportedAt = performance.now();
		isRegistered = true;
		store.write('keyed.servers', id, JSON.stringify({
			service, address: server.address, zone, version: 'v1', slots: 8, state, cold_left_ms: 0, capacity: {cpu: reportedCpu, mem_mb: 131_072, gpu: 0}, labels, clock_ms: clock(), born, sequence,
		}));
	};

	report();
	let nextReportAt = performance.now() + (Math.random() * heartbeatMs);
	const timers = [
		setInterval(() => {
			const time = performance.now();
			if (time >= nextReportAt) {
				nextReportAt += heartbeatMs;
				report();
			} else if (isRegistered && time - reportedAt > missedHeartbeats * heartbeatMs) {
				isRegistered = false;
				record.note('entry-removed', {minion: id});
				store.write('keyed.servers', id, '');
			}
		}, 50),
		setInterval(() => {
			if (clock() > lease) {
				for (const key of running.keys()) {
					finish(key, 'lapsed');
				}
			}
		}, leaseCheckMs),
	];
	return {
		id,
		zone,
		address: server.address,
		/** When a higher token than before last reached it, in milliseconds since the start of the script. */
		tokenChangedAt: () => tokenChangedAt,
		runningTasks: () => [...running.values()].map(({task}) => task),
		setStorePath(value) {
			hasStorePath = value;
			record.note(value ? 'path-to-store-back' : 'path-to-store-cut', {minion: id});
		},
		setCpu(value) {
			reportedCpu = value;
			record.note('capacity-changed', {minion: id, cpu: value});
			report();
		},
		async close() {
			for (const timer of timers) {
				clearInterval(timer);
			}

			for (const {timer} of running.values()) {
				clearTimeout(timer);
			}

			await server.close();
		},
	};
};
