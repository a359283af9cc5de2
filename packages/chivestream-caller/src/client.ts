/** A client for callers. It creates keys, submits jobs and resubmits them under the same key. */
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

/** Connection and retry settings of a caller client. */
export type CallerClientOptions = {
	/** Base URL of the load balancer or of an entry host. */
	baseUrl: string;
	dispatcher?: Dispatcher;
	clock: Clock;
	random: Random;
	/** Pause before the first retry. It doubles with each further retry, up to a maximum, and is jittered. */
	firstPauseMs: number;
	/** Time after which a request without an answer is given up and retried. */
	attemptTimeoutMs: number;
};

/** A job without its key. */
export type KeylessJob = Omit<Job, 'key'>;

/** Submits jobs to the entry hosts on behalf of a caller. */
export type CallerClient = {
	/**
	Creates a key from the home token of the last response, or requests a token from the entry hosts. Retries until the deadline
	(milliseconds since the Unix epoch), then returns a `timedOut` failure.
	*/
	createKey: (suffix: string, deadline: number) => Promise<Result<string, Failure>>;
	/**
	Submits the job and resubmits it under the same key until it has a final answer or its deadline has passed. After the
	deadline it returns the last answer received, or a `timedOut` failure if there was none.
	*/
	submit: (job: Job) => Promise<Result<JobAnswer, Failure>>;
	/** Number of resubmissions so far, over all jobs. */
	resubmissions: () => number;
};

const homeHeader = 'chivestream-home';
const maxPauseMs = 2000;
const retryableStatuses = new Set([502, 503]);

const homeTokenOf = (headers: Record<string, string | string[] | undefined>): string | undefined => {
	const token = headers[homeHeader];
	return typeof token === 'string' ? token : undefined;
};

const isJobAnswerFor = (value: unknown, key: string): value is JobAnswer => {
	if (typeof value !== 'object' || value === null) {
		return false;
	}

	const answer = value as Partial<JobAnswer>;
	return answer.key === key && (answer.state === 'complete' || answer.state === 'failed');
};

const shouldResubmit = (status: number, answer: JobAnswer): boolean =>
	retryableStatuses.has(status) && answer.state === 'failed' && !answer.failure.notRun && answer.failure.code === failureCode.homeUnreachable;

/** Creates a client that keeps the home token of the last response for the next key. */
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
		homeToken = homeTokenOf(response.headers);
		return {status: response.statusCode, body: await response.body.json()};
	};

	const fetchHomeToken = async (): Promise<string | undefined> => {
		try {
			const response = await request(`${baseUrl}/v1/home`, {dispatcher, signal: AbortSignal.timeout(options.attemptTimeoutMs)});
			await response.body.dump();
			return homeTokenOf(response.headers);
		} catch {
			return undefined;
		}
	};

	const pause = async (attempt: number) => {
		const fullPauseMs = Math.min(maxPauseMs, options.firstPauseMs * (2 ** attempt));
		await waitUntil(clock, clock.now() + (fullPauseMs * (0.5 + (random() / 2))));
	};

	return {
		async createKey(suffix, deadline) {
			for (let attempt = 0; clock.now() < deadline; attempt += 1) {
				homeToken ??= await fetchHomeToken(); // eslint-disable-line no-await-in-loop -- iterations are sequential
				if (homeToken !== undefined) {
					return Ok(createHomeKey(homeToken, suffix));
				}

				await pause(attempt); // eslint-disable-line no-await-in-loop
			}

			return Err(new Failure(failureCode.timedOut, 'no entry host returned a home token', {step: 'create-key', peer: baseUrl}));
		},
		async submit(job) {
			let lastAnswer: JobAnswer | undefined;
			for (let attempt = 0; clock.now() < job.deadline; attempt += 1) {
				resubmissions += attempt === 0 ? 0 : 1;
				try {
					// eslint-disable-next-line no-await-in-loop -- a job is resubmitted only after the previous attempt gave no final answer
					const {status, body} = await sendOnce(job);
					if (isJobAnswerFor(body, job.key)) {
						lastAnswer = body;
						if (!shouldResubmit(status, body)) {
							return Ok(body);
						}
					}
				} catch {
					homeToken = undefined;
				}

				await pause(attempt); // eslint-disable-line no-await-in-loop
			}

			if (lastAnswer) {
				return Ok(lastAnswer);
			}

			return Err(new Failure(failureCode.timedOut, 'no answer before the deadline; the job may have run', {step: 'submit', peer: baseUrl}));
		},
		resubmissions: () => resubmissions,
	};
};
