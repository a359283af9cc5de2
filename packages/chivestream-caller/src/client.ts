/** A client for callers: makes keys, submits jobs and resubmits them under the same key. */
import {
	createHomeKey,
	Failure,
	failureCode,
	waitUntil,
	type Clock,
	type Job,
	type JobAnswer,
	type Random,
} from 'chivestream-core';
import {Err, Ok, type Result} from 'ts-results-es';
import {type Dispatcher, request} from 'undici';

/** How the client reaches the entry hosts. */
export type CallerClientOptions = {
	/** Base URL of the balancer or of an entry host. */
	baseUrl: string;
	dispatcher?: Dispatcher;
	clock: Clock;
	random: Random;
	/** Pause before the first resubmission; doubles with each, with jitter. */
	firstPauseMs: number;
	/** After how long without an answer a copy is sent again. */
	attemptTimeoutMs: number;
};

/** A job without its key. */
export type KeylessJob = Omit<Job, 'key'>;

/** A caller's view of the system. */
export type CallerClient = {
	/** A fresh key from the home learned of last, or from the entry hosts. */
	createKey: (suffix: string, deadline: number) => Promise<Result<string, Failure>>;
	/** Sends the job, again under the same key until its answer is there or its deadline has passed. */
	submit: (job: Job) => Promise<Result<JobAnswer, Failure>>;
	/** Copies of jobs sent beyond the first. */
	resubmissions: () => number;
};

const homeHeader = 'chivestream-home';
const longestPauseMs = 2000;
const temporaryStatuses = new Set([502, 503]);

const tokenOf = (headers: Record<string, string | string[] | undefined>): string | undefined => {
	const token = headers[homeHeader];
	return typeof token === 'string' ? token : undefined;
};

const isWholeAnswer = (value: unknown, key: string): value is JobAnswer => {
	if (typeof value !== 'object' || value === null) {
		return false;
	}

	const answer = value as Partial<JobAnswer>;
	return answer.key === key && (answer.state === 'complete' || answer.state === 'failed');
};

const isWorthAsking = (status: number, answer: JobAnswer): boolean =>
	temporaryStatuses.has(status) && answer.state === 'failed' && !answer.failure.notRun && answer.failure.code === failureCode.homeUnreachable;

/** A client that keeps the home token of its last answer. */
export const createCallerClient = (options: CallerClientOptions): CallerClient => {
	const {baseUrl, dispatcher, clock, random} = options;
	let homeToken: string | undefined;
	let resubmissions = 0;

	const sendOnce = async (job: Job): Promise<{status: number; body: unknown}> => {
		const signal = AbortSignal.timeout(Math.max(1, Math.min(options.attemptTimeoutMs, job.deadline - clock.now())));
		const response = await request(`${baseUrl}/v1/jobs`, {
			method: 'POST',
			headers: {'content-type': 'application/json'},
			body: JSON.stringify(job),
			dispatcher,
			signal,
		});
		homeToken = tokenOf(response.headers);
		return {status: response.statusCode, body: await response.body.json()};
	};

	const askHome = async (): Promise<string | undefined> => {
		try {
			const response = await request(`${baseUrl}/v1/home`, {dispatcher, signal: AbortSignal.timeout(options.attemptTimeoutMs)});
			await response.body.dump();
			return tokenOf(response.headers);
		} catch {
			return undefined;
		}
	};

	const pause = async (attempt: number) => {
		const fullPauseMs = Math.min(longestPauseMs, options.firstPauseMs * (2 ** attempt));
		await waitUntil(clock, clock.now() + (fullPauseMs * (0.5 + (random() / 2))));
	};

	return {
		async createKey(suffix, deadline) {
			for (let attempt = 0; clock.now() < deadline; attempt += 1) {
				homeToken ??= await askHome(); // eslint-disable-line no-await-in-loop -- each try follows the failure of the one before
				if (homeToken !== undefined) {
					return Ok(createHomeKey(homeToken, suffix));
				}

				await pause(attempt); // eslint-disable-line no-await-in-loop
			}

			return Err(new Failure(failureCode.timedOut, 'no entry host gave a home', {step: 'create-key', peer: baseUrl}));
		},
		async submit(job) {
			let last: JobAnswer | undefined;
			for (let attempt = 0; clock.now() < job.deadline; attempt += 1) {
				resubmissions += attempt === 0 ? 0 : 1;
				try {
					// eslint-disable-next-line no-await-in-loop -- a copy is sent only after the one before gave no answer
					const {status, body} = await sendOnce(job);
					if (isWholeAnswer(body, job.key)) {
						last = body;
						if (!isWorthAsking(status, body)) {
							return Ok(body);
						}
					}
				} catch {
					homeToken = undefined;
				}

				await pause(attempt); // eslint-disable-line no-await-in-loop
			}

			if (last) {
				return Ok(last);
			}

			return Err(new Failure(failureCode.timedOut, 'no answer before the deadline; the job may have run', {step: 'submit', peer: baseUrl}));
		},
		resubmissions: () => resubmissions,
	};
};
