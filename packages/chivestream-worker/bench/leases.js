/**
Measures the number of lease messages per task on one worker for several minimum shares, with bursts of tasks and pauses
between them. Requires a build; prints one JSON object per line.
*/
import {subscribe, unsubscribe} from 'node:diagnostics_channel';
import {createRandom, systemClock} from 'chivestream-core';
import {startWorkerStandIn} from 'chivestream-stand-ins';
import {createWorkerClient} from '../dist/index.js';

const bursts = 40;
const maxBurstTasks = 24;
const pauseMs = 100;
const runMs = 30;
const minimumCores = [1, 2, 4, 8, 16];
const messagesPerRequest = 2;

const wait = async durationMs => new Promise(resolve => {
	setTimeout(resolve, durationMs);
});

const measure = async cores => {
	const worker = await startWorkerStandIn({id: 'w1', cores: 32});
	const client = createWorkerClient({holder: 'e1', clock: systemClock, minimumShare: {cores, memoryMb: 0, accelerators: 0}});
	const random = createRandom(1);
	let leaseRequests = 0;
	const count = ({request}) => {
		leaseRequests += request.path.endsWith('/tasks') ? 0 : 1;
	};

	subscribe('undici:request:create', count);
	let tasks = 0;
	let notStarted = 0;
	for (let burst = 0; burst < bursts; burst += 1) {
		const size = 1 + Math.floor(random() * maxBurstTasks);
		// eslint-disable-next-line no-await-in-loop
		const results = await Promise.all(Array.from({length: size}, async () => {
			tasks += 1;
			return client.runOnWorker({
				identity: {key: 'k', taskIndex: tasks, attempt: 1},
				address: worker.address,
				workerId: 'w1',
				payload: {runMs},
				declaredMs: runMs,
				size: {cores: 1, memoryMb: 0, accelerators: 0},
				notStartedStatuses: [503],
				signal: new AbortController().signal,
			});
		}));
		notStarted += results.filter(({outcome}) => outcome === 'not-started').length;
		// eslint-disable-next-line no-await-in-loop
		await wait(pauseMs);
	}

	await client.close();
	unsubscribe('undici:request:create', count);
	await worker.close();
	return {
		leastCores: cores, tasks, notStarted, leaseRequests, leaseMessagesPerTask: Math.round(leaseRequests * messagesPerRequest / tasks * 1000) / 1000,
	};
};

for (const cores of minimumCores) {
	// eslint-disable-next-line no-await-in-loop
	console.log(JSON.stringify(await measure(cores)));
}
