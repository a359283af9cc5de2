/**
Decides which entry host may run the job of a key: the home that the key names or, for an opaque key, the host whose claim
came first in the log. Answers with `notRun` only if it is certain that no task of the job started.
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

/**
Requests to the host that may run the job of a key, which is its home or has claimed it. They resolve with undefined if that host
can't be reached or its answer was lost.
*/
export type ClaimantClient = {
	submit: (claimant: Claimant, job: Job) => Promise<JobAnswer | undefined>;
	fetch: (claimant: Claimant, key: string, waitDeadline: number) => Promise<KeyStatus | undefined>;
	cancel: (claimant: Claimant, key: string) => Promise<KeyStatus | undefined>;
	/** Whether it is certain that the incarnation has ended. */
	hasEnded: (claimant: Claimant) => boolean;
};

/** Dependencies and limits of a job router. */
export type JobRouterOptions = {
	self: Claimant;
	clock: Clock;
	epochs: Epochs;
	registry: JobRegistry;
	claims: Claims;
	claimantClient: ClaimantClient;
	/** Defaults to the comparison of host ID and incarnation; the replay package replaces it to inject faults. */
	isSameIncarnation?: (left: Claimant, right: Claimant) => boolean;
	/** Runs a job and resolves with its complete answer. */
	run: (job: Job) => Promise<JobAnswer>;
	/** Cancels a running job; returns false if it does not run here. `isForced` also aborts its running tasks. */
	cancelRun: (key: string, isForced: boolean) => boolean;
	/** Limits in force; undefined while this host has no configuration. */
	limits: () => Limits | undefined;
	/** Whether this host still accepts jobs whose keys it has no record of. */
	acceptsNewJobs: () => boolean;
	/** Maximum age at which an opaque key is accepted, in milliseconds. */
	maxKeyAgeMs: number;
	/** Maximum assumed difference between the clock of a caller and those of the hosts, in milliseconds. */
	clockSkewMs: number;
};

/** Routes submissions, fetches and cancellations to the host that may run the job of their key. */
export type JobRouter = {
	submit: (job: Job) => Promise<JobAnswer>;
	/** Runs or joins a forwarded job if this host is its home or has a record of it; otherwise answers that the key is closed. */
	submitForwarded: (job: Job) => Promise<JobAnswer>;
	/** Returns the status of a key. Waits for a running job until `waitDeadline`. */
	fetch: (key: string, waitDeadline: number) => Promise<KeyStatus>;
	/** Like `fetch`, from this host's records only. */
	fetchLocal: (key: string, waitDeadline: number) => Promise<KeyStatus>;
	/** Cancels a job and resolves with its answer. */
	cancel: (key: string) => Promise<KeyStatus>;
	/** Like `cancel`, on this host only. For `isForced`, see `JobRouterOptions.cancelRun`. */
	cancelLocal: (key: string, isForced?: boolean) => Promise<KeyStatus>;
	/** Finds the host that may run the job of a key; undefined for an opaque key of which this host has neither a record nor a claim. */
	findHostOfKey: (key: string) => Claimant | undefined;
};

/** Creates the router of one host. */
export const createJobRouter = (options: JobRouterOptions): JobRouter => {
	const {
		self, clock, epochs, registry, claims, claimantClient,
	} = options;

	const isSelf = (claimant: Claimant) => (options.isSameIncarnation ?? isSameIncarnation)(claimant, self);

	const createFailureAnswer = (job: Pick<Job, 'key' | 'tasks'>, refusal: Refusal, step: string, notRun: boolean): JobAnswer => {
		const failure = new Failure(refusal.code, refusal.message, {step, peer: self.hostId});
		const counts = notRun ? notRunCounts(job.tasks.length) : unknownCounts(job.tasks.length);
		return createFailedAnswer(job.key, failure, notRun, counts);
	};

	const runNewJob = async (record: JobRecord, job: Job): Promise<JobAnswer> => {
		const refusal = checkNewJob(job, {limits: options.limits(), acceptsNewJobs: options.acceptsNewJobs(), now: clock.now()});
		// Refusals are stored too: if a copy of the job arrives later, it must not run after the caller received `notRun`.
		const answer = refusal
			? createFailureAnswer(job, refusal, 'check-job', true)
			: await options.run(job);
		record.settle(answer);
		return answer;
	};

	const waitForAnswer = async (record: JobRecord): Promise<JobAnswer> => record.answered;

	/** Answers a job for which the registry opened no record, because its key was used for another job or the registry is full. */
	const refuseUnopened = (job: Job, kind: 'reused' | 'full'): JobAnswer => kind === 'reused'
		? createFailureAnswer(job, {code: failureCode.keyReused, message: 'key: used before with other content; make a new key'}, 'open-key', false)
		: createFailureAnswer(job, {code: failureCode.overloaded, message: 'this host has reached its limit of keys'}, 'open-key', false);

	const submitAsHome = async (job: Job, home: Home): Promise<JobAnswer> => {
		if (!epochs.isIssued(home.epoch)) {
			return createFailureAnswer(job, {code: failureCode.badRequest, message: 'key: names an epoch that was never issued; take the token from GET /v1/home'}, 'open-key', true);
		}

		if (!epochs.isOpen(home.epoch)) {
			const existing = registry.get(job.key);
			return existing ? waitForAnswer(existing) : createFailureAnswer(job, {code: failureCode.keyClosed, message: 'key: too old; the job may have run'}, 'open-key', false);
		}

		const result = registry.open(job, epochs.closesAt(home.epoch));
		if (result.kind === 'opened') {
			return runNewJob(result.record, job);
		}

		return result.kind === 'joined' ? waitForAnswer(result.record) : refuseUnopened(job, result.kind);
	};

	const forward = async (claimant: Claimant, job: Job): Promise<JobAnswer> => {
		const answer = await claimantClient.submit(claimant, job);
		if (answer) {
			return answer;
		}

		const refusal = claimantClient.hasEnded(claimant)
			? {code: failureCode.homeLost, message: `the host ${claimant.hostId} that may run this key has stopped; the job may have run`}
			: {code: failureCode.homeUnreachable, message: `the host ${claimant.hostId} that may run this key can't be reached now; the job may have run`};
		return createFailureAnswer(job, refusal, 'forward-job', false);
	};

	const isTooOld = (createdAt: number) => createdAt < clock.now() - options.maxKeyAgeMs;

	const claimAndRun = async (record: JobRecord, job: Job, createdAt: number): Promise<JobAnswer> => {
		const claimResult = await claims.claim(job.key, Math.min(job.deadline, clock.now() + options.maxKeyAgeMs));
		if (claimResult.isErr()) {
			// A later copy claims the key again; copies that have joined this record receive its answer.
			registry.discard(job.key);
			const answer = createFailureAnswer(job, {code: failureCode.logUnavailable, message: `${claimResult.error.message}; another copy may have run`}, 'claim-key', false);
			record.settle(answer);
			return answer;
		}

		if (!isSelf(claimResult.value)) {
			// The claimant keeps the record; copies that have joined this one receive the claimant's answer.
			registry.discard(job.key);
			const answer = await forward(claimResult.value, job);
			record.settle(answer);
			return answer;
		}

		// The key may have become too old during the claim, or an earlier claim of it may be among those that the log of claims dropped
		// before this host read them.
		if (isTooOld(createdAt) || createdAt <= claims.completeSince() + options.clockSkewMs) {
			const answer = createFailureAnswer(job, {code: failureCode.keyClosed, message: 'key: too old to determine whether the job has run'}, 'claim-key', false);
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
			return createFailureAnswer(job, refusal, 'open-key', true);
		}

		const existing = registry.get(job.key);
		if (!existing && (isTooOld(createdAt) || createdAt > clock.now() + options.clockSkewMs)) {
			return createFailureAnswer(job, {code: failureCode.keyClosed, message: 'key: made too long ago or in the future; the job may have run'}, 'open-key', false);
		}

		const result = registry.open(job, createdAt + options.maxKeyAgeMs + options.clockSkewMs);
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

	/** Closes a key without a record if this host is its home and its epoch is open; otherwise the key stays unknown. */
	const closeUnknownKey = (key: string): KeyStatus => {
		const home = parseHome(key);
		if (!home || !isSelf(home) || !epochs.isOpen(home.epoch)) {
			return {kind: 'unknown'};
		}

		// A copy of the job that arrives later must not run, because the caller has received the cancellation as its answer.
		const answer = createFailureAnswer({key, tasks: []}, {code: failureCode.cancelled, message: 'cancelled before the job arrived'}, 'cancel-job', true);
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

	const findHostOfKey = (key: string): Claimant | undefined => {
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
			return existing ? waitForAnswer(existing) : createFailureAnswer(job, {code: failureCode.keyClosed, message: 'this host has no record of the key; the job may have run'}, 'open-key', false);
		},
		async fetch(key, waitDeadline) {
			const claimant = findHostOfKey(key);
			if (!claimant || isSelf(claimant)) {
				return fetchLocal(key, waitDeadline);
			}

			return await claimantClient.fetch(claimant, key, waitDeadline) ?? {kind: 'unknown'};
		},
		fetchLocal,
		async cancel(key) {
			const claimant = findHostOfKey(key);
			if (!claimant || isSelf(claimant)) {
				return cancelLocal(key);
			}

			return await claimantClient.cancel(claimant, key) ?? {kind: 'unknown'};
		},
		cancelLocal,
		findHostOfKey,
	};
};
