import process from 'node:process';
import {expect, test} from '@jest/globals';
import {createRandom} from 'chivestream-core';
import {build} from 'hdr-histogram-js';
import {saturate, sendAtRate} from '../drivers.js';
import {readUsage} from '../process-usage.js';
import {type Sender} from '../senders.js';

const pause = async () => new Promise<void>(resolve => {
	setImmediate(resolve);
});

test('saturation keeps the given number of jobs in flight', async () => {
	let inFlight = 0;
	let most = 0;
	const send: Sender = async () => {
		inFlight++;
		most = Math.max(most, inFlight);
		await pause();
		inFlight--;
	};

	expect(await saturate(send, {taskCount: 1, jobsInFlight: 3, lengthMs: 20})).toBeGreaterThan(0);
	expect(most).toBe(3);
	expect(inFlight).toBe(0);
});

test('a rate is sent whatever the answers do, and each job is recorded', async () => {
	const histogram = build();
	let sent = 0;
	const send: Sender = async () => {
		sent++;
		await pause();
	};

	await sendAtRate(send, {
		taskCount: 1, jobsPerSecond: 1000, lengthMs: 50, random: createRandom(1), histogram,
	});
	expect(sent).toBeGreaterThan(0);
	expect(histogram.totalCount).toBe(sent);
});

test('a failing job ends the measurement', async () => {
	const send: Sender = async () => {
		throw new Error('refused');
	};

	await expect(saturate(send, {taskCount: 1, jobsInFlight: 2, lengthMs: 20})).rejects.toThrow('refused');
});

test('usage is read from the kernel', async () => {
	const {cpuSeconds, memoryMb} = await readUsage(process.pid);
	expect(cpuSeconds).toBeGreaterThan(0);
	expect(memoryMb).toBeGreaterThan(1);
});
