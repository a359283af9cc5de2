import {Buffer} from 'node:buffer';
import {
	afterEach, expect, test,
} from '@jest/globals';
import {createRandom} from 'chivestream-core';
import {Dispatcher} from 'chivestream-dispatch';
import {decodeMinionEntry} from 'chivestream-platform';
import {Checker, startMinionStandIn, type MinionStandIn} from 'chivestream-site-stand-ins';
import {until} from '../__fixtures__/site.js';
import {runMinionSession} from '../minion-session.js';

const leaseMs = 1000;
const token = 64;

let minion: MinionStandIn | undefined;
const controller = new AbortController();

afterEach(async () => {
	controller.abort();
	await minion?.close();
});

test('the runs of a restarted minion are reported only after it has received a token that fences off earlier start requests', async () => {
	minion = await startMinionStandIn({
		id: 'i-1', zone: 'z', upstream: 'desk', checker: new Checker(), capacity: 32_000, leaseMs, workMs: () => 0,
	});
	const now = () => performance.now();
	const dispatcher = new Dispatcher({
		now,
		random: createRandom(1),
		requestStart() {
			// The test submits no job.
		},
		requestStop() {
			// The test submits no job.
		},
		report() {
			// Not of interest.
		},
		otherCells: () => [],
		isRegistryComplete: () => true,
	}, {leaseMs, farFactor: 1});
	dispatcher.setMinions([decodeMinionEntry('i-1', Buffer.from(minion.createRegistryEntry()))!]);
	const highestTokens: number[] = [];
	const handleReport = dispatcher.handleReport.bind(dispatcher);
	dispatcher.handleReport = (...reported) => {
		highestTokens.push(minion!.highestToken());
		handleReport(...reported);
	};

	runMinionSession({
		minion: dispatcher.pool.minions.get('i-1')!,
		dispatcher,
		token,
		leaseMs,
		now,
		recentDelayMs: () => 0,
		report() {
			// Not of interest.
		},
		onFenced() {
			// No other dispatcher exists.
		},
		signal: controller.signal,
	});
	await until(() => highestTokens.length > 0);
	minion.crash();
	const reportsBefore = highestTokens.length;
	await until(() => highestTokens.length > reportsBefore);
	expect(highestTokens[reportsBefore]).toBe(token + 1);
});
