/**
Decides which entry host may run a key: the home that the key names or, for an opaque key, the host whose claim came
first. Answers with `notRun` only if it is certain that no task of the job started.
*/
import {
	unknownCounts,
	createFailedAnswer,
	Failure,
	failureCode,
	notRunCounts,
	parseHome,
	type Clock,
	type Home,
	type Job,
	type JobAnswer,
	type KeyStatus,
	type Limits,
} from 'chivestream-core';
import {isSameIncarnation, type Claimant, type Claims} from './claims.js';
import {type Epochs} from './epochs.js';
import {checkNewJob, keyCreatedAt, type Refusal} from './job-checks.js';
import {type JobRecord, type JobRegistry} from './job-registry.js';

/** Requests to the host that may run a key; they resolve with undefined if it can't be reached or its answer was lost. */
export type HomeClient = {
	submit: (home: Claimant, job: Job) => Promise<JobAnswer | undefined>;
	fetch: (home: Claimant, key: string, waitDeadline: number) => Promise<KeyStatus | undefined>;
	cancel: (home: Claimant, key: string) => Promise<KeyStatus | undefined>;
	/** Whether it is certain that the incarnation has ended. */
	isClosed: (home: Claimant) => boolean;
};

/** Dependencies and limits of a job router. */
export type JobRouterOptions = {
	self: Claimant;
	clock: Clock;
	epochs: Epochs;
	registry: JobRegistry;
	claims: Claims;
	homeClient: HomeClient;
	isSameIncarnation?: (left: Claimant, right: Claimant) => boolean;
	/** Runs a job and resolves with its whole answer. */
	run: (job: Job) => Promise<JobAnswer>;
	/** Cancels a running job; returns false if it does not run here. */
	cancelRun: (key: string, isForced: boolean) => boolean;
	/** Limits in force; undefined while this host has no configuration. */
	limits: () => Limits | undefined;
	/** Whether this host still accepts jobs whose keys it has no record of. */
	acceptsNewJobs: () => boolean;
	/** Greatest age at which an opaque key is accepted. */
	keyWindowMs: number;
	/** Greatest assumed difference between the clock of a caller and those of the hosts. */
	clockSkewMs: number;
};

/** Routes submissions, fetches and cancellations to the host that may run their key. */
export type JobRouter = {
	submit: (job: Job) => Promise<JobAnswer>;
	/** Runs or joins a forwarded job if this host is its home or has a record of it; otherwise answers that the key is closed. */
	submitForwarded: (job: Job) => Promise<JobAnswer>;
	/** Status of a key; a running job is waited for until the deadline. */
	fetch: (key: string, waitDeadline: number) => Promise<KeyStatus>;
	/** Like `fetch`, from this host's records only. */
	fetchLocal: (key: string, waitDeadline: number) => Promise<KeyStatus>;
	/** Cancels a job and resolves with its answer. */
	cancel: (key: string) => Promise<KeyStatus>;
	/** Like `cancel`, on this host only; `isForced` also aborts the running tasks. */
	cancelLocal: (key: string, isForced?: boolean) => Promise<KeyStatus>;
	/** The host that may run a key; undefined for an opaque key of which this host has neither a record nor a claim. */
	findClaimant: (key: string) => Claimant | undefined;
};

/** Creates the router of one host. */
export const createJobRouter = (options: JobRouterOptions): JobRouter => {
	const {
		self, clock, epochs, registry, claims, homeClient,
	} = options;

	const isSelf = (home: Claimant) => (options.isSameIncarnation ?? isSameIncarnation)(home, self);

	const fail = (job: Pick<Job, 'key' | 'tasks'>, refusal: Refusal, step: string, notRun: boolean): JobAnswer => {
		const failure = new Failure(refusal.code, refusal.message, {step, peer: self.hostId});
		const counts = notRun ? notRunCounts(job.tasks.length) : unknownCounts(job.tasks.length);
		return createFailedAnswer(job.key, failure, notRun, counts);
	};

	const runNewJob = async (record: JobRecord, job: Job): Promise<JobAnswer> => {
		const refusal = checkNewJob(job, {limits: options.limits(), acceptsNewJobs: options.acceptsNewJobs(), now: clock.now()});
		// A refusal is kept like any answer, because a late copy must not run a job that was answered with `notRun`.
		const answer = refusal
			? fail(job, refusal, 'check-job', true)
			: await options.run(job);
		record.settle(answer);
		return answer;
	};

	const waitForAnswer = async (record: JobRecord): Promise<JobAnswer> => record.answered;

	const refuseUnopened = (job: Job, kind: 'reused' | 'full'): JobAnswer => kind === 'reused'
		? fail(job, {code: failureCode.keyReused, message: 'key: used before with other content; make a new key'}, 'open-key', false)
		: fail(job, {code: failureCode.overloaded, message: 'this host has reached its limit of keys'}, 'open-key', false);

	const submitAsHome = async (job: Job, home: Home): Promise<JobAnswer> => {
		if (!epochs.isIssued(home.epoch)) {
			return fail(job, {code: failureCode.badRequest, message: 'key: names an epoch that was never issued; take the token from GET /v1/home'}, 'open-key', true);
		}

		if (!epochs.isOpen(home.epoch)) {
			const existing = registry.get(job.key);
			return existing ? waitForAnswer(existing) : fail(job, {code: failureCode.keyClosed, message: 'key: too old; the job may have run'}, 'open-key', false);
		}

		const result = registry.open(job, epochs.closesAt(home.epoch));
		if (result.kind === 'opened') {
			return runNewJob(result.record, job);
		}

		return result.kind === 'joined' ? waitForAnswer(result.record) : refuseUnopened(job, result.kind);
	};

	const forward = async (home: Claimant, job: Job): Promise<JobAnswer> => {
		const answer = await homeClient.submit(home, job);
		if (answer) {
			return answer;
		}

		const refusal = homeClient.isClosed(home)
			? {code: failureCode.homeLost, message: `the host ${home.hostId} that may run this key has stopped; the job may have run`}
			: {code: failureCode.homeUnreachable, message: `the host ${home.hostId} that may run this key can't be reached now; the job may have run`};
		return fail(job, refusal, 'forward-job', false);
	};

	const isTooOld = (createdAt: number) => createdAt < clock.now() - options.keyWindowMs;

	const claimAndRun = async (record: JobRecord, job: Job, createdAt: number): Promise<JobAnswer> => {
		const claimed = await claims.claim(job.key, Math.min(job.deadline, clock.now() + options.keyWindowMs));
		if (claimed.isErr()) {
			registry.discard(job.key);
			const answer = fail(job, {code: failureCode.logUnavailable, message: `${claimed.error.message}; another copy may have run`}, 'claim-key', false);
			record.settle(answer);
			return answer;
		}

		if (!isSelf(claimed.value)) {
			registry.discard(job.key);
			const answer = await forward(claimed.value, job);
			record.settle(answer);
			return answer;
		}

		// An earlier claim of this key may be among those that the log dropped before this host read them.
		if (isTooOld(createdAt) || createdAt <= claims.completeSince() + options.clockSkewMs) {
			const answer = fail(job, {code: failureCode.keyClosed, message: 'key: too old to determine whether the job has run'}, 'claim-key', false);
			record.settle(answer);
			return answer;
		}

		return runNewJob(record, job);
	};

	const submitOpaque = async (job: Job): Promise<JobAnswer> => {
		const createdAt = keyCreatedAt(job);
		if (createdAt === undefined) {
			const refusal = {
				code: failureCode.badRequest,
				message: 'createdAt: needed with a key that is neither a home key nor a UUIDv7; give the time at which the key was made',
			};
			return fail(job, refusal, 'open-key', true);
		}

		const existing = registry.get(job.key);
		if (!existing && (isTooOld(createdAt) || createdAt > clock.now() + options.clockSkewMs)) {
			return fail(job, {code: failureCode.keyClosed, message: 'key: made too long ago or in the future; the job may have run'}, 'open-key', false);
		}

		const result = registry.open(job, createdAt + options.keyWindowMs + options.clockSkewMs);
		if (result.kind === 'opened') {
			return claimAndRun(result.record, job, createdAt);
		}

		return result.kind === 'joined' ? waitForAnswer(result.record) : refuseUnopened(job, result.kind);
	};

	const fetchLocal = async (key: string, waitDeadline: number): Promise<KeyStatus> => {
		const record = registry.get(key);
		if (!record) {
			return {kind: 'unknown'};
		}

		if (record.answer) {
			return {kind: 'answered', answer: record.answer};
		}

		return new Promise(resolve => {
			const timer = clock.at(waitDeadline, () => {
				resolve({kind: 'running'});
			});
			void record.answered.then(answer => {
				timer.cancel();
				resolve({kind: 'answered', answer});
			});
		});
	};

	const closeUnknownKey = (key: string): KeyStatus => {
		const home = parseHome(key);
		if (!home || !isSelf(home) || !epochs.isOpen(home.epoch)) {
			return {kind: 'unknown'};
		}

		// A copy of the job that arrives later must not run, because the caller has received the cancellation as its answer.
		const answer = fail({key, tasks: []}, {code: failureCode.cancelled, message: 'cancelled before the job arrived'}, 'cancel-job', true);
		registry.close(key, answer, epochs.closesAt(home.epoch));
		return {kind: 'answered', answer};
	};

	const cancelLocal = async (key: string, isForced = false): Promise<KeyStatus> => {
		const record = registry.get(key);
		if (!record) {
			return closeUnknownKey(key);
		}

		options.cancelRun(key, isForced);
		return {kind: 'answered', answer: await record.answered};
	};

	const findClaimant = (key: string): Claimant | undefined => {
		const home = parseHome(key);
		if (home) {
			return home;
		}

		return registry.get(key) ? self : claims.findClaimant(key);
	};

	return {
		async submit(job) {
			const home = parseHome(job.key);
			if (!home) {
				return submitOpaque(job);
			}

			return isSelf(home) ? submitAsHome(job, home) : forward(home, job);
		},
		async submitForwarded(job) {
			const home = parseHome(job.key);
			if (home && isSelf(home)) {
				return submitAsHome(job, home);
			}

			const existing = registry.get(job.key);
			return existing ? waitForAnswer(existing) : fail(job, {code: failureCode.keyClosed, message: 'this host has no record of the key; the job may have run'}, 'open-key', false);
		},
		async fetch(key, waitDeadline) {
			const claimant = findClaimant(key);
			if (!claimant || isSelf(claimant)) {
				return fetchLocal(key, waitDeadline);
			}

			return await homeClient.fetch(claimant, key, waitDeadline) ?? {kind: 'unknown'};
		},
		fetchLocal,
		async cancel(key) {
			const claimant = findClaimant(key);
			if (!claimant || isSelf(claimant)) {
				return cancelLocal(key);
			}

			return await homeClient.cancel(claimant, key) ?? {kind: 'unknown'};
		},
		cancelLocal,
		findClaimant,
	};
};
