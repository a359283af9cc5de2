/** Cost of a job in one entry process, over HTTP on loopback, with stand-in minions in other processes. */
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
const maxTokenAgeMs = 1000;
const jobTimeoutMs = 10_000;
const maxTasksInFlight = 100_000;

/** Returns a function that sends a job with a new home key to an entry host and throws unless the response is 200. */
const createJobSender = (entry: Pool) => {
	let sentJobs = 0;
	let token = '';
	let tokenRefreshAt = 0;

	const refreshToken = async () => {
		const {headers, body} = await entry.request({path: '/v1/home', method: 'GET'});
		await body.dump();
		token = String(headers['chivestream-home']);
		tokenRefreshAt = Date.now() + maxTokenAgeMs;
	};

	return async (taskCount: number) => {
		if (Date.now() >= tokenRefreshAt) {
			await refreshToken();
		}

		sentJobs++;
		const {statusCode, body} = await entry.request({
			path: '/v1/jobs',
			method: 'POST',
			headers: {'content-type': 'application/json'},
			body: JSON.stringify({
				key: createHomeKey(token, `capacity-${sentJobs}`),
				team,
				upstream,
				isIdempotent: true,
				deadline: Date.now() + jobTimeoutMs,
				tasks: Array.from({length: taskCount}, (_, index) => ({payload: {runMs: 0, box: index}, declaredMs: 1})),
			}),
		});
		const text = await body.text();
		if (statusCode !== 200) {
			throw new Error(`the entry host responded with ${statusCode}: ${text.slice(0, 200)}`);
		}
	};
};

/** Keeps a fixed number of jobs in flight for a time and returns how many completed. */
const sendJobsFor = async (send: (taskCount: number) => Promise<void>, taskCount: number, windowMs: number): Promise<number> => {
	const end = performance.now() + windowMs;
	let jobs = 0;
	await Promise.all(Array.from({length: jobsInFlight}, async () => {
		while (performance.now() < end) {
			await send(taskCount); // eslint-disable-line no-await-in-loop -- each job is sent after the response to the previous one
			jobs++;
		}
	}));
	return jobs;
};

const measureJobs = async (cluster: Cluster, sampling: Sampling): Promise<Slope[]> => {
	const [entry] = cluster.entries;
	if (!entry) {
		throw new Error('the cluster has no entry host');
	}

	const {pid} = entry.process;
	const pool = new Pool(`http://${entry.callerAddress}`, {connections: jobsInFlight, pipelining: 1});
	const send = createJobSender(pool);
	try {
		return await measureSlopes({
			name: 'entry-process',
			size: 'tasks of a job',
			units: {cpu: 'ms of CPU per job', resident: 'bytes resident'},
			async measure(taskCount) {
				const before = await readProcessUsage(pid);
				const jobs = await sendJobsFor(send, taskCount, sampling.windowMs ?? defaultWindowMs);
				const after = await readProcessUsage(pid);
				return {cpu: (after.cpuMs - before.cpuMs) / jobs, resident: after.residentBytes};
			},
		}, sampling);
	} finally {
		await pool.close();
	}
};

/** Metrics of one entry process by tasks per job. Every started process has exited when the promise settles. */
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
		return await measureJobs(cluster, sampling);
	} finally {
		await cluster.stop();
	}
};
