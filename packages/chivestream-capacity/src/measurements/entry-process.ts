/** What one entry process spends on a job, over HTTP on loopback with stand-in minions in other processes. */
import {performance} from 'node:perf_hooks';
import {createHomeKey, preference} from 'chivestream-core';
import {startCluster, type Cluster} from 'chivestream-stand-ins';
import {Pool} from 'undici';
import {measureSlopes, type Sampling, type Slope} from '../slope.js';
import {readProcessUsage} from '../usage.js';

const upstream = 'lens';
const team = 'team-0';
const minionsPerZone = 16;
const seed = 1;
const jobsInFlight = 4;
const defaultWindowMs = 800;
const tokenAgeMs = 1000;
const jobTimeoutMs = 10_000;
const maxTasksInFlight = 100_000;

/** Sends jobs to an entry host, each under a fresh home key. */
const createSender = (entry: Pool) => {
	let sent = 0;
	let token = '';
	let tokenDeadline = 0;

	const readToken = async () => {
		const {headers, body} = await entry.request({path: '/v1/home', method: 'GET'});
		await body.dump();
		token = String(headers['chivestream-home']);
		tokenDeadline = Date.now() + tokenAgeMs;
	};

	return async (taskCount: number) => {
		if (Date.now() >= tokenDeadline) {
			await readToken();
		}

		sent++;
		const {statusCode, body} = await entry.request({
			path: '/v1/jobs',
			method: 'POST',
			headers: {'content-type': 'application/json'},
			body: JSON.stringify({
				key: createHomeKey(token, `capacity-${sent}`),
				team,
				upstream,
				isIdempotent: true,
				deadline: Date.now() + jobTimeoutMs,
				tasks: Array.from({length: taskCount}, (_, index) => ({payload: {runMs: 0, box: index}, declaredMs: 1})),
			}),
		});
		const text = await body.text();
		if (statusCode !== 200) {
			throw new Error(`the entry host answered ${statusCode}: ${text.slice(0, 200)}`);
		}
	};
};

const sendFor = async (send: (taskCount: number) => Promise<void>, taskCount: number, windowMs: number): Promise<number> => {
	const end = performance.now() + windowMs;
	let jobs = 0;
	await Promise.all(Array.from({length: jobsInFlight}, async () => {
		while (performance.now() < end) {
			await send(taskCount); // eslint-disable-line no-await-in-loop -- the next job follows the answer to the last
			jobs++;
		}
	}));
	return jobs;
};

const measureWith = async (cluster: Cluster, sampling: Sampling): Promise<Slope[]> => {
	const [entry] = cluster.entries;
	if (!entry) {
		throw new Error('no entry host runs');
	}

	const {pid} = entry.process;
	const pool = new Pool(`http://${entry.callerAddress}`, {connections: jobsInFlight, pipelining: 1});
	const send = createSender(pool);
	try {
		return await measureSlopes({
			name: 'entry-process',
			size: 'tasks of a job',
			units: {cpu: 'ms of CPU per job', resident: 'bytes resident'},
			async measure(taskCount) {
				const before = await readProcessUsage(pid);
				const jobs = await sendFor(send, taskCount, sampling.windowMs ?? defaultWindowMs);
				const after = await readProcessUsage(pid);
				return {cpu: (after.cpuMs - before.cpuMs) / jobs, resident: after.residentBytes};
			},
		}, sampling);
	} finally {
		await pool.close();
	}
};

/** Figures of one entry process by tasks of a job; every process that it starts has ended when it resolves or rejects. */
export const measureEntryProcess = async (sampling: Sampling): Promise<Slope[]> => {
	const cluster = await startCluster({
		zones: ['a'],
		hostsPerZone: 1,
		fleets: [{
			upstream, preference: preference.responseTime, minionsPerZone, speeds: [1],
		}],
		teams: {[team]: {weight: 1, maxTasksInFlight}},
		seed,
		hostListLagMs: 0,
	});
	try {
		return await measureWith(cluster, sampling);
	} finally {
		await cluster.stop();
	}
};
