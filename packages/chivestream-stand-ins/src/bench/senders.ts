/** The two ways to the same minions: straight, and through an entry host. */
import {createHomeKey} from 'chivestream-core';
import {Pool} from 'undici';
import {type Cluster} from '../cluster/index.js';

/** Sends one job and resolves once all its results are there; throws when it fails. */
export type Sender = (taskCount: number) => Promise<void>;

/** Both senders with what they hold open. */
export type Senders = {
	direct: Sender;
	through: Sender;
	close: () => Promise<void>;
};

const callerConnections = 64;
const jobTimeoutMs = 10_000;
const declaredMs = 1;
/** How long a home token is used. */
const tokenAgeMs = 1000;
const team = 'bench';

/** A task that takes no time, so that only the cost of the way is seen. */
const payload = {runMs: 0, box: 4711};

/** Sends each task from the benchmark itself, to the minions in turn. */
const createDirectSender = (pools: readonly Pool[]): Sender => {
	const body = JSON.stringify(payload);
	let sent = 0;

	const sendTask = async () => {
		sent++;
		const attempt = `direct/${sent}/1`;
		const answer = await pools[sent % pools.length]!.request({
			path: '/tasks', method: 'POST', body, headers: {'content-type': 'application/json', 'chivestream-attempt': attempt},
		});
		await answer.body.json();
		if (answer.statusCode !== 200 || answer.headers['chivestream-attempt'] !== attempt) {
			throw new Error(`a minion answered ${answer.statusCode}`);
		}
	};

	return async taskCount => {
		await Promise.all(Array.from({length: taskCount}, async () => sendTask()));
	};
};

const readToken = async (entry: Pool): Promise<string> => {
	const {headers, body} = await entry.request({path: '/v1/home', method: 'GET'});
	await body.dump();
	return String(headers['chivestream-home']);
};

/** Sends jobs to the entry host, each under a fresh key of the token that its last answer brought. */
const createThroughSender = (entry: Pool, upstream: string): Sender => {
	let token = '';
	let tokenDeadline = 0;
	let sent = 0;

	const keepToken = (value: string) => {
		token = value;
		tokenDeadline = Date.now() + tokenAgeMs;
	};

	return async taskCount => {
		if (Date.now() >= tokenDeadline) {
			keepToken(await readToken(entry));
		}

		sent++;
		const job = {
			key: createHomeKey(token, `bench-${sent}`),
			team,
			upstream,
			isIdempotent: true,
			deadline: Date.now() + jobTimeoutMs,
			tasks: Array.from({length: taskCount}, () => ({payload, declaredMs})),
		};
		const {statusCode, headers, body} = await entry.request({
			path: '/v1/jobs', method: 'POST', body: JSON.stringify(job), headers: {'content-type': 'application/json'},
		});
		const answer: unknown = await body.json();
		if (statusCode !== 200) {
			throw new Error(`the entry host answered ${statusCode}: ${JSON.stringify(answer)}`);
		}

		keepToken(String(headers['chivestream-home']));
	};
};

/** Opens both ways to the minions of a cluster's first upstream. */
export const openSenders = (cluster: Cluster): Senders => {
	const {upstream, minions} = cluster.fleets[0]!;
	const minionPools = minions.map(({address, slots}) => new Pool(`http://${address}`, {connections: slots, pipelining: 1}));
	const entryPool = new Pool(`http://${cluster.entries[0]!.callerAddress}`, {connections: callerConnections, pipelining: 1});
	return {
		direct: createDirectSender(minionPools),
		through: createThroughSender(entryPool, upstream),
		async close() {
			await Promise.all([...minionPools, entryPool].map(async pool => pool.destroy()));
		},
	};
};

/** Team of the benchmark's jobs. */
export const benchTeam = team;
