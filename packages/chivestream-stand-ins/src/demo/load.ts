/** Callers that send planned jobs through the balancer and resubmit what they think was lost. */
import {
	createRandom, failureCode, systemClock, waitUntil, type JobAnswer,
} from 'chivestream-core';
import {createCallerClient, type CallerClient} from 'chivestream-caller';
import {Agent, request} from 'undici';
import {z} from 'zod';
import {type PlannedJob} from './plan.js';

/** What became of one planned job. */
export type JobOutcome = {
	job: PlannedJob;
	/** Keys under which it was sent; a further one only after "not run". */
	keys: string[];
	/** The answer to each key; undefined where none came before the deadline. */
	answers: Array<JobAnswer | undefined>;
	/** Why a caller gave up on a key without an answer. */
	giveUps: string[];
	/** When it was sent first, in milliseconds since the Unix epoch. */
	sentAt: number;
	/** When its last answer came or was given up. */
	endedAt: number;
};

/** How to send. */
export type LoadOptions = {
	balancerAddress: string;
	callers: number;
	seed: number;
	/** Time that each job may take. */
	jobTimeoutMs: number;
};

/** What the callers did. */
export type LoadResult = {
	outcomes: JobOutcome[];
	/** Copies sent beyond the first. */
	resubmissions: number;
};

const firstPauseMs = 50;
const attemptTimeoutMs = 8000;
const connectionsPerCaller = 16;
const maxKeysPerJob = 5;
const callerPauseMs = 100;
const lastWaitMs = 2000;
const notThereYet = 202;

type Caller = {
	client: CallerClient;
	balancerAddress: string;
};

const answerSchema = z.discriminatedUnion('state', [
	z.object({key: z.string(), state: z.literal('complete'), results: z.array(z.unknown())}),
	z.object({
		key: z.string(),
		state: z.literal('failed'),
		failure: z.object({
			code: z.enum(failureCode),
			message: z.string(),
			step: z.string(),
			peer: z.string(),
			notRun: z.boolean(),
			tasks: z.object({
				notRun: z.number(), completed: z.number(), failed: z.number(), unknown: z.number(),
			}),
		}),
	}),
]);

/** A refusal after which the same work may be sent under another key. */
const isWorthAnotherKey = (answer: JobAnswer | undefined): boolean =>
	answer?.state === 'failed' && answer.failure.notRun
	&& (answer.failure.code === failureCode.draining || answer.failure.code === failureCode.homeLost || answer.failure.code === failureCode.keyClosed);

/** Payload of a task: what a result is checked against, and its true run time. */
export const createPayload = (job: PlannedJob, taskIndex: number) => ({
	tag: `${job.id}/${taskIndex}`, runMs: job.tasks[taskIndex]!.runMs,
});

/** Asks for the answer to a key, as a caller does whose connection ended at the deadline just before the answer. */
const askAgain = async (balancerAddress: string, key: string): Promise<JobAnswer | undefined> => {
	try {
		const {statusCode, body} = await request(`http://${balancerAddress}/v1/jobs/${encodeURIComponent(key)}?waitMs=${lastWaitMs}`, {
			headersTimeout: lastWaitMs * 2,
		});
		const answer = answerSchema.safeParse(await body.json());
		return statusCode !== notThereYet && answer.success && answer.data.key === key ? answer.data : undefined;
	} catch {
		return undefined;
	}
};

const sendUnderNewKey = async (caller: Caller, outcome: JobOutcome, deadline: number): Promise<JobAnswer | undefined> => {
	const {client, balancerAddress} = caller;
	const {job} = outcome;
	const key = await client.createKey(`${job.id}-${outcome.keys.length}`, deadline);
	if (key.isErr()) {
		outcome.giveUps.push(key.error.message);
		return undefined;
	}

	outcome.keys.push(key.value);
	const answer = await client.submit({
		key: key.value,
		team: job.team,
		upstream: job.upstream,
		isIdempotent: job.isIdempotent,
		deadline,
		tasks: job.tasks.map(({declaredMs}, index) => ({payload: createPayload(job, index), declaredMs})),
	});
	if (answer.isOk()) {
		return answer.value;
	}

	outcome.giveUps.push(answer.error.message);
	return askAgain(balancerAddress, key.value);
};

const sendJob = async (caller: Caller, job: PlannedJob, jobTimeoutMs: number): Promise<JobOutcome> => {
	const sentAt = Date.now();
	const deadline = sentAt + jobTimeoutMs;
	const outcome: JobOutcome = {
		job, keys: [], answers: [], giveUps: [], sentAt, endedAt: sentAt,
	};
	/* eslint-disable no-await-in-loop -- a further key is used only after the answer to the one before */
	while (outcome.keys.length < maxKeysPerJob && Date.now() < deadline) {
		const answer = await sendUnderNewKey(caller, outcome, deadline);
		outcome.answers.push(answer);
		if (!isWorthAnotherKey(answer)) {
			break;
		}

		await waitUntil(systemClock, Date.now() + callerPauseMs);
	}
	/* eslint-enable no-await-in-loop */

	outcome.endedAt = Date.now();
	return outcome;
};

/** Sends each job at its time from one of the callers and waits for all answers. */
export const runLoad = async (jobs: readonly PlannedJob[], options: LoadOptions): Promise<LoadResult> => {
	const agents = Array.from({length: options.callers}, () => new Agent({connections: connectionsPerCaller, pipelining: 1}));
	const clients = agents.map((dispatcher, index) => createCallerClient({
		baseUrl: `http://${options.balancerAddress}`,
		dispatcher,
		clock: systemClock,
		random: createRandom(options.seed + index),
		firstPauseMs,
		attemptTimeoutMs,
	}));
	const startedAt = Date.now();

	const sendAtItsTime = async (job: PlannedJob, index: number): Promise<JobOutcome> => {
		await new Promise(resolve => {
			setTimeout(resolve, Math.max(0, startedAt + job.sendAt - Date.now()));
		});
		const client = clients[index % clients.length]!;
		return sendJob({client, balancerAddress: options.balancerAddress}, job, options.jobTimeoutMs);
	};

	const outcomes = await Promise.all(jobs.map(async (job, index) => sendAtItsTime(job, index)));
	await Promise.all(agents.map(async agent => agent.destroy()));
	let resubmissions = 0;
	for (const client of clients) {
		resubmissions += client.resubmissions();
	}

	return {outcomes, resubmissions};
};
