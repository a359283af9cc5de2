/** Drives a sender as fast as it goes, or at a given rate. */
import {performance} from 'node:perf_hooks';
import {type Random} from 'chivestream-core';
import {type Histogram} from 'hdr-histogram-js';
import {type Sender} from './senders.js';

const microsecondsPerMs = 1000;
const msPerSecond = 1000;
const tickMs = 1;

/** Keeps a number of jobs in flight until the deadline and tells how many ended in a second. */
export const saturate = async (send: Sender, options: {taskCount: number; jobsInFlight: number; lengthMs: number}): Promise<number> => {
	const startedAt = performance.now();
	const deadline = startedAt + options.lengthMs;
	let jobs = 0;

	const sendUntilDeadline = async () => {
		while (performance.now() < deadline) {
			await send(options.taskCount); // eslint-disable-line no-await-in-loop -- the next job follows the answer to the last
			jobs++;
		}
	};

	await Promise.all(Array.from({length: options.jobsInFlight}, async () => sendUntilDeadline()));
	return jobs / (performance.now() - startedAt) * msPerSecond;
};

const sendTimed = async (send: Sender, taskCount: number, histogram: Histogram) => {
	const sentAt = performance.now();
	await send(taskCount);
	histogram.recordValue(Math.round((performance.now() - sentAt) * microsecondsPerMs));
};

/** Sends jobs with independent arrivals at a rate and records each one's time in microseconds. */
export const sendAtRate = async (
	send: Sender,
	options: {taskCount: number; jobsPerSecond: number; lengthMs: number; random: Random; histogram: Histogram},
): Promise<void> => {
	const {
		taskCount, jobsPerSecond, lengthMs, random, histogram,
	} = options;
	const startedAt = performance.now();
	const meanGapMs = msPerSecond / jobsPerSecond;
	const pending: Array<Promise<void>> = [];
	let sendAt = startedAt;
	while (performance.now() < startedAt + lengthMs) {
		for (; sendAt <= performance.now(); sendAt -= Math.log(1 - random()) * meanGapMs) {
			pending.push(sendTimed(send, taskCount, histogram));
		}

		// eslint-disable-next-line no-await-in-loop -- one tick follows the other
		await new Promise(resolve => {
			setTimeout(resolve, tickMs);
		});
	}

	await Promise.all(pending);
};
