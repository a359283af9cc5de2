/** Callers of the soak test. They submit jobs, resubmit those without an answer and record refused jobs for the checker. */
import {setTimeout as sleep} from 'node:timers/promises';
import {randomInteger, type Random} from 'chivestream-core';
import {Agent, request} from 'undici';
import {type Checker} from '../checker.js';
import {type HostProcess} from './host-process.js';

/** Numbers of jobs by outcome for the caller. */
export type CallerTally = {
	completed: number;
	failed: number;
	refused: number;
	/** Jobs without an answer before the caller's timeout. */
	unanswered: number;
};

/** The running callers. */
export type Callers = {
	tally: CallerTally;
	/**
	 * Submits a job until it completes or is refused; returns that status, or undefined after the caller's timeout. The first task of a
	 * deadly job crashes its minions.
	 */
	submit: (hostIndex: number, workMs: number, isDeadly?: boolean) => Promise<number | undefined>;
	/** Ids of jobs that were refused at the first attempt, so that none of their tasks may have started. */
	refusedIds: Set<string>;
	/** Requests in progress at a host; `isBroken` is set on those that fail. */
	inProgress: (host: HostProcess) => Set<{isBroken: boolean}>;
	close: () => Promise<void>;
};

/** Host name and path prefix of the soak's jobs. */
export const soakRoute = {host: 'soak.example', prefix: '/run/'} as const;

const status = {ok: 200, refused: new Set([404, 429, 503])} as const;
const resendDelayMs = 1300;
const callerTimeoutMs = 4000;
const maxTasks = 4;
const taskMillicores = 14_000;

/** Creates the callers; nothing is sent before `submit`. */
export const createCallers = (options: {
	random: Random;
	checker: Checker;
	hosts: readonly HostProcess[];
	/** Run time of each job's tasks, in milliseconds; filled by `submit`. */
	workMsByJob: Map<string, number>;
	/** Names of the tasks that crash their minions; filled by `submit`. */
	deadlyTasks: Set<string>;
}): Callers => {
	const {
		random, checker, hosts, workMsByJob, deadlyTasks,
	} = options;
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
			// After a broken connection or a timeout the caller doesn't know whether the job ran, so it resubmits the job.
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
		async submit(hostIndex, workMs, isDeadly = false) {
			lastId += 1;
			const id = lastId.toString(16).padStart(16, '0');
			const count = 1 + randomInteger(random, maxTasks);
			checker.recordJob(id, taskMillicores);
			workMsByJob.set(id, workMs);
			if (isDeadly) {
				deadlyTasks.add(`${id}.0.0.0`);
			}

			const until = performance.now() + callerTimeoutMs;
			let mayHaveStarted = false;
			let index = hostIndex;
			while (performance.now() < until) {
				// eslint-disable-next-line no-await-in-loop -- each attempt depends on the answer to the previous one
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
				// eslint-disable-next-line no-await-in-loop -- callers wait before they resubmit a job
				await sleep(resendDelayMs);
			}

			tally.unanswered += 1;
			return undefined;
		},
		close: async () => agent.destroy(),
	};
};
