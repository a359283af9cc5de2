/** Callers of the soak: they submit jobs, send them again where no answer comes, and hold each refusal to its word. */
import {setTimeout as sleep} from 'node:timers/promises';
import {randomInteger, type Random} from 'chivestream-core';
import {Agent, request} from 'undici';
import {type Checker} from '../checker.js';
import {type HostProcess} from './host-process.js';

/** What callers have seen. */
export type CallerTally = {
	completed: number;
	failed: number;
	refused: number;
	/** No answer before the caller's patience ended. */
	unanswered: number;
};

/** Callers at work. */
export type Callers = {
	tally: CallerTally;
	/** Submits one job and follows it to its end; its status, or undefined without an answer. */
	submit: (hostIndex: number, workMs: number) => Promise<number | undefined>;
	/** Ids of jobs whose every attempt was refused. */
	refusedIds: Set<string>;
	/** Requests in progress at a host. */
	inProgress: (host: HostProcess) => Set<{isBroken: boolean}>;
	close: () => Promise<void>;
};

/** Name and path under which the soak's jobs run. */
export const soakRoute = {host: 'soak.example', prefix: '/run/'} as const;

const status = {ok: 200, refused: new Set([404, 429, 503])} as const;
const resendDelayMs = 1300;
const callerTimeoutMs = 4000;
const maxTasks = 4;
const taskMillicores = 14_000;

/** Starts callers; nothing is sent before `submit`. */
export const createCallers = (options: {
	random: Random;
	checker: Checker;
	hosts: readonly HostProcess[];
	workMsByJob: Map<string, number>;
}): Callers => {
	const {random, checker, hosts, workMsByJob: workMsByJob} = options;
	const agent = new Agent({pipelining: 1});
	const tally: CallerTally = {
		completed: 0, failed: 0, refused: 0, unanswered: 0,
	};
	const refusedIds = new Set<string>();
	const requests = new Map<HostProcess, Set<{isBroken: boolean}>>();
	const inProgress = (host: HostProcess) => {
		const hostRequests = requests.get(host) ?? new Set();
		requests.set(host, hostRequests);
		return hostRequests;
	};

	let lastId = 0;

	const send = async (host: HostProcess, id: string, count: number, remainingMs: number): Promise<number | undefined> => {
		const pendingRequest = {isBroken: false};
		inProgress(host).add(pendingRequest);
		try {
			const response = await request(`http://${host.address}${soakRoute.prefix}${id}`, {
				dispatcher: agent,
				method: 'POST',
				signal: AbortSignal.timeout(Math.max(1, Math.round(remainingMs))),
				headers: {host: soakRoute.host, 'chivestream-deadline-ms': String(Math.round(remainingMs))},
				body: JSON.stringify({
					task_spec: id,
					best_effort: true,
					steps: [{
						count, cpu: taskMillicores, mem_mb: 64, estimate_ms: workMsByJob.get(id),
					}],
				}),
			});
			await response.body.dump();
			return response.statusCode;
		} catch {
			// A broken connection, or no answer in time: the caller can't tell which, and sends the job again.
			pendingRequest.isBroken = true;
			return undefined;
		} finally {
			inProgress(host).delete(pendingRequest);
		}
	};

	return {
		tally,
		refusedIds,
		inProgress,
		async submit(hostIndex, workMs) {
			lastId += 1;
			const id = lastId.toString(16).padStart(16, '0');
			const count = 1 + randomInteger(random, maxTasks);
			checker.recordJob(id, taskMillicores);
			workMsByJob.set(id, workMs);
			const until = performance.now() + callerTimeoutMs;
			let mayHaveStarted = false;
			let index = hostIndex;
			while (performance.now() < until) {
				// eslint-disable-next-line no-await-in-loop -- the next attempt follows the answer to the one before
				const answer = await send(hosts[index]!, id, count, until - performance.now());
				if (answer === status.ok) {
					tally.completed += 1;
					return answer;
				}

				if (answer !== undefined && status.refused.has(answer)) {
					tally.refused += 1;
					if (!mayHaveStarted) {
						refusedIds.add(id);
					}

					return answer;
				}

				mayHaveStarted = true;
				index = randomInteger(random, hosts.length);
				// eslint-disable-next-line no-await-in-loop -- callers wait before they send a job again
				await sleep(resendDelayMs);
			}

			tally.unanswered += 1;
			return undefined;
		},
		close: async () => agent.destroy(),
	};
};
