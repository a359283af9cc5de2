/** Simulated callers: they submit jobs and copies through the balancer, fetch answers, cancel jobs, and record every answer. */
import {
	createHomeKey, pickRandom, randomInteger, type Clock, type Job, type JobAnswer, type Random,
} from 'chivestream-core';
import {type Cluster, type ClusterHost} from './cluster.js';
import {callerEndpoint, type Links} from './links.js';

/** How one call of a caller ended. */
export type CallEnd
	= | {kind: 'answered'; answer: JobAnswer}
		/** The connection broke or could not be made. */
		| {kind: 'broken'};

/** One submission of a job; times are in milliseconds of the run's clock. */
export type Call = {
	/** Host that received it; empty if the balancer had none. */
	hostId: string;
	sentAt: number;
	endedAt: number | undefined;
	end: CallEnd | undefined;
};

/** A job with everything that its caller sent and received. */
export type CallerJob = {
	job: Job;
	submittedAt: number;
	/** Submissions of the job and of its copies. */
	calls: Call[];
	/** Answers to fetches and cancellations. */
	otherAnswers: JobAnswer[];
};

/** Dependencies of the callers. */
export type CallersOptions = {
	clock: Clock;
	random: Random;
	links: Links;
	cluster: Cluster;
	/** Alters the answers that callers receive; used to disable a safeguard. */
	alterAnswer?: (answer: JobAnswer) => JobAnswer;
};

/** Callers of a run. */
export type Callers = {
	/** Jobs in the order of their submission. */
	jobs: CallerJob[];
	/** Number of copies submitted. */
	resubmissions: () => number;
	/** Submits a new job, and copies of some. */
	submitNewJob: () => void;
	/** Stops submitting copies. */
	stop: () => void;
	/** Submits a job once more, with a deadline `lengthMs` from now. */
	resubmit: (callerJob: CallerJob, lengthMs: number) => Promise<Call>;
	/** Cancels a share of the jobs in progress, between 0 and 1, through hosts that the balancer picks. */
	cancelWave: (share: number) => void;
	/** Fetches the answer to a job through a host that the balancer picks. */
	fetchAnswer: (callerJob: CallerJob) => void;
	/** Picks a host as the balancer does; undefined if none runs. */
	pickHost: () => ClusterHost | undefined;
};

const maxTaskMs = 400;
const minTaskMs = 20;
const maxTasks = 8;
const minDeadlineMs = 1500;
const deadlineRangeMs = 6000;
const homeKeyShare = 0.6;
const copyShare = 0.5;
const maxCopies = 3;
const earlyCancelShare = 0.04;
const copySpreadMs = 3000;
const lateCopyShare = 0.15;
const lateCopySpreadMs = 30_000;
const staleBalancerShare = 0.15;
const fetchWaitMs = 2000;
const upstreamNames = ['lens'] as const;
const teamNames = ['day-a', 'day-b'] as const;

/** Creates the callers of one cluster. */
export const createCallers = ({
	clock, random, links, cluster, alterAnswer = answer => answer,
}: CallersOptions): Callers => {
	const jobs: CallerJob[] = [];
	let resubmissions = 0;
	let isStopped = false;

	const pickHost = (): ClusterHost | undefined => {
		const hosts = cluster.hosts();
		const ready = hosts.filter(({host, process}) => !process.isPaused() && host.callerHandlers.isReady());
		// The balancer's health checks lag, so some requests reach hosts that no longer serve.
		const candidates = random() < staleBalancerShare || ready.length === 0 ? hosts : ready;
		return candidates.length > 0 ? pickRandom(random, candidates) : undefined;
	};

	const callHost = async <Value>(target: ClusterHost, sendRequest: (target: ClusterHost) => Promise<Value>): Promise<Value | undefined> => {
		if (!await links.transmit(callerEndpoint, target.endpoint) || !target.process.isAlive()) {
			return undefined;
		}

		const openCall = {};
		target.openCalls.add(openCall);
		const value = await Promise.race([(async () => {
			await target.process.waitUntilActive();
			return sendRequest(target);
		})(), target.process.ended]);
		target.openCalls.delete(openCall);
		const isAnswered = value !== undefined && !links.losesAnswer() && await links.transmit(target.endpoint, callerEndpoint);
		return isAnswered ? structuredClone(value) : undefined;
	};

	const submitTo = async (callerJob: CallerJob, target: ClusterHost | undefined, deadline: number): Promise<Call> => {
		const call: Call = {
			hostId: target?.endpoint.name ?? '', sentAt: clock.now(), endedAt: undefined, end: undefined,
		};
		callerJob.calls.push(call);
		const job = structuredClone({...callerJob.job, deadline});
		const answer = target && await callHost(target, async ({host}) => host.callerHandlers.submit(job));
		call.endedAt = clock.now();
		call.end = answer ? {kind: 'answered', answer: alterAnswer(answer)} : {kind: 'broken'};
		return call;
	};

	const createKey = (): string | undefined => {
		const suffix = `j${jobs.length}`;
		if (random() >= homeKeyShare) {
			return `opaque-${suffix}`;
		}

		const token = pickHost()?.host.callerHandlers.homeToken();
		return token && createHomeKey(token, suffix);
	};

	const createJob = (key: string): Job => {
		const now = clock.now();
		return {
			key,
			team: pickRandom(random, teamNames),
			upstream: pickRandom(random, upstreamNames),
			isIdempotent: random() < 0.5,
			deadline: now + minDeadlineMs + (random() * deadlineRangeMs),
			createdAt: now,
			tasks: Array.from({length: 1 + randomInteger(random, maxTasks)}, (_, index) => ({
				payload: `${key}#${index}`, declaredMs: minTaskMs + (random() * (maxTaskMs - minTaskMs)),
			})),
		};
	};

	const submitCopyLater = (callerJob: CallerJob, delayMs: number) => {
		clock.at(clock.now() + delayMs, () => {
			if (isStopped) {
				return;
			}

			resubmissions += 1;
			void submitTo(callerJob, pickHost(), Math.max(callerJob.job.deadline, clock.now() + minDeadlineMs));
		});
	};

	const requestAnswer = async (callerJob: CallerJob, sendRequest: (target: ClusterHost) => ReturnType<ClusterHost['host']['callerHandlers']['fetch']>) => {
		const target = pickHost();
		const status = target && await callHost(target, sendRequest);
		if (status?.kind === 'answered') {
			callerJob.otherAnswers.push(status.answer);
		}
	};

	const isInProgress = ({calls}: CallerJob) => calls.some(({end}) => end === undefined);

	const cancel = (callerJob: CallerJob) => {
		void requestAnswer(callerJob, async ({host}) => host.callerHandlers.cancel(callerJob.job.key));
	};

	return {
		jobs,
		resubmissions: () => resubmissions,
		submitNewJob() {
			const key = createKey();
			if (!key) {
				return;
			}

			const callerJob: CallerJob = {
				job: createJob(key), submittedAt: clock.now(), calls: [], otherAnswers: [],
			};
			jobs.push(callerJob);
			// Some callers cancel before the first submission is sent.
			if (random() < earlyCancelShare) {
				cancel(callerJob);
				submitCopyLater(callerJob, random() * copySpreadMs);
			}

			void submitTo(callerJob, pickHost(), callerJob.job.deadline);
			const copies = random() < copyShare ? 1 + randomInteger(random, maxCopies) : 0;
			for (let copy = 0; copy < copies; copy++) {
				submitCopyLater(callerJob, random() * random() * copySpreadMs);
			}

			if (random() < lateCopyShare) {
				submitCopyLater(callerJob, copySpreadMs + (random() * lateCopySpreadMs));
			}
		},
		stop() {
			isStopped = true;
		},
		async resubmit(callerJob, lengthMs) {
			resubmissions += 1;
			return submitTo(callerJob, pickHost(), clock.now() + lengthMs);
		},
		cancelWave(share) {
			for (const callerJob of jobs.filter(callerJob => isInProgress(callerJob) && random() < share)) {
				cancel(callerJob);
			}
		},
		fetchAnswer(callerJob) {
			void requestAnswer(callerJob, async ({host, process}) => host.callerHandlers.fetch(callerJob.job.key, process.clock.now() + fetchWaitMs));
		},
		pickHost,
	};
};
