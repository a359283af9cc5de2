/** Callers in memory: they submit jobs through the balancer, send copies, ask, cancel, and note every answer. */
import {
	createHomeKey, pickRandom, randomInteger, type Clock, type Job, type JobAnswer, type Random,
} from 'chivestream-core';
import {type Cluster, type ClusterHost} from './cluster.js';
import {callerPlace, type Links} from './links.js';

/** How one call of a caller ended. */
export type CallEnd
	= | {kind: 'answered'; answer: JobAnswer}
		/** The connection broke or was never made. */
		| {kind: 'broken'};

/** One call of a caller. */
export type Call = {
	hostId: string;
	sentAt: number;
	endedAt: number | undefined;
	end: CallEnd | undefined;
};

/** A job with all that its caller saw of it. */
export type CallerJob = {
	job: Job;
	submittedAt: number;
	calls: Call[];
	/** Answers to questions and cancellations. */
	otherAnswers: JobAnswer[];
};

/** What the callers work with. */
export type CallersOptions = {
	clock: Clock;
	random: Random;
	links: Links;
	cluster: Cluster;
	/** Alters what hosts answer; a run may pass a careless one. */
	alterAnswer?: (answer: JobAnswer) => JobAnswer;
};

/** Callers of a run. */
export type Callers = {
	jobs: CallerJob[];
	resubmissions: () => number;
	/** Submits a new job, and perhaps copies of it. */
	submitNew: () => void;
	/** Sends no more copies. */
	stop: () => void;
	/** Submits a job that is known once more. */
	resubmit: (known: CallerJob, lengthMs: number) => Promise<Call>;
	/** Cancels a share of the jobs in progress through hosts at random. */
	cancelWave: (share: number) => void;
	/** Asks for the answer to a job. */
	ask: (known: CallerJob) => void;
	/** The host that the balancer gives. */
	balance: () => ClusterHost | undefined;
};

const longestTaskMs = 400;
const shortestTaskMs = 20;
const mostTasks = 8;
const shortestDeadlineMs = 1500;
const deadlineRangeMs = 6000;
const homeKeyShare = 0.6;
const copyShare = 0.5;
const mostCopies = 3;
const earlyCancelShare = 0.04;
const copySpreadMs = 3000;
const lateCopyShare = 0.15;
const lateCopyMs = 30_000;
const staleBalancerShare = 0.15;
const askMs = 2000;
const preciseUpstreams = ['lens'] as const;
const teams = ['day-a', 'day-b'] as const;

/** Callers over one cluster. */
export const createCallers = ({
	clock, random, links, cluster, alterAnswer = answer => answer,
}: CallersOptions): Callers => {
	const jobs: CallerJob[] = [];
	let resubmissions = 0;
	let isStopped = false;

	const balance = (): ClusterHost | undefined => {
		const hosts = cluster.hosts();
		const ready = hosts.filter(({host, run}) => !run.isPaused() && host.callerHandlers.isReady());
		// The balancer's checks lag, so that some requests reach hosts that serve no more.
		const candidates = random() < staleBalancerShare || ready.length === 0 ? hosts : ready;
		return candidates.length > 0 ? pickRandom(random, candidates) : undefined;
	};

	const reach = async <Value>(target: ClusterHost, work: (target: ClusterHost) => Promise<Value>): Promise<Value | undefined> => {
		if (!await links.carry(callerPlace, target.place) || !target.run.isAlive()) {
			return undefined;
		}

		const call = {};
		target.openCalls.add(call);
		const value = await Promise.race([(async () => {
			await target.run.gate();
			return work(target);
		})(), target.run.ended]);
		target.openCalls.delete(call);
		const isAnswered = value !== undefined && !links.losesAnswer() && await links.carry(target.place, callerPlace);
		return isAnswered ? structuredClone(value) : undefined;
	};

	const send = async (known: CallerJob, target: ClusterHost | undefined, deadline: number): Promise<Call> => {
		const call: Call = {
			hostId: target?.place.name ?? '', sentAt: clock.now(), endedAt: undefined, end: undefined,
		};
		known.calls.push(call);
		const job = structuredClone({...known.job, deadline});
		const answer = target && await reach(target, async ({host}) => host.callerHandlers.submit(job));
		call.endedAt = clock.now();
		call.end = answer ? {kind: 'answered', answer: alterAnswer(answer)} : {kind: 'broken'};
		return call;
	};

	const createKey = (): string | undefined => {
		const suffix = `j${jobs.length}`;
		if (random() >= homeKeyShare) {
			return `opaque-${suffix}`;
		}

		const token = balance()?.host.callerHandlers.homeToken();
		return token && createHomeKey(token, suffix);
	};

	const createJob = (key: string): Job => {
		const now = clock.now();
		return {
			key,
			team: pickRandom(random, teams),
			upstream: pickRandom(random, preciseUpstreams),
			isIdempotent: random() < 0.5,
			deadline: now + shortestDeadlineMs + (random() * deadlineRangeMs),
			createdAt: now,
			tasks: Array.from({length: 1 + randomInteger(random, mostTasks)}, (_, index) => ({
				payload: `${key}#${index}`, declaredMs: shortestTaskMs + (random() * (longestTaskMs - shortestTaskMs)),
			})),
		};
	};

	const sendLater = (known: CallerJob, delayMs: number) => {
		clock.at(clock.now() + delayMs, () => {
			if (isStopped) {
				return;
			}

			resubmissions += 1;
			void send(known, balance(), Math.max(known.job.deadline, clock.now() + shortestDeadlineMs));
		});
	};

	const ask = async (known: CallerJob, work: (target: ClusterHost) => ReturnType<ClusterHost['host']['callerHandlers']['fetch']>) => {
		const target = balance();
		const status = target && await reach(target, work);
		if (status?.kind === 'answered') {
			known.otherAnswers.push(status.answer);
		}
	};

	const isInProgress = ({calls}: CallerJob) => calls.some(({end}) => end === undefined);

	const cancel = (known: CallerJob) => {
		void ask(known, async ({host}) => host.callerHandlers.cancel(known.job.key));
	};

	return {
		jobs,
		resubmissions: () => resubmissions,
		submitNew() {
			const key = createKey();
			if (!key) {
				return;
			}

			const known: CallerJob = {
				job: createJob(key), submittedAt: clock.now(), calls: [], otherAnswers: [],
			};
			jobs.push(known);
			// Some callers cancel before the first copy is on its way.
			if (random() < earlyCancelShare) {
				cancel(known);
				sendLater(known, random() * copySpreadMs);
			}

			void send(known, balance(), known.job.deadline);
			const copies = random() < copyShare ? 1 + randomInteger(random, mostCopies) : 0;
			for (let copy = 0; copy < copies; copy++) {
				sendLater(known, random() * random() * copySpreadMs);
			}

			if (random() < lateCopyShare) {
				sendLater(known, copySpreadMs + (random() * lateCopyMs));
			}
		},
		stop() {
			isStopped = true;
		},
		async resubmit(known, lengthMs) {
			resubmissions += 1;
			return send(known, balance(), clock.now() + lengthMs);
		},
		cancelWave(share) {
			for (const known of jobs.filter(known => isInProgress(known) && random() < share)) {
				cancel(known);
			}
		},
		ask(known) {
			void ask(known, async ({host, run}) => host.callerHandlers.fetch(known.job.key, run.clock.now() + askMs));
		},
		balance,
	};
};
