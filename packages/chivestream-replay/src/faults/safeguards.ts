/** Safeguards of the product, each with a replacement that disables it, so that a run can show which violations it prevents. */
import {
	attemptOutcome, failureCode, type AttemptResult, type JobAnswer,
} from 'chivestream-core';
import {applyRecord, commandSchema, defaultReaderRules} from 'chivestream-configuration';
import {
	createClaims, createDispatcher, createEpochs, createJobRegistry, type HostParts,
} from 'chivestream-entry';
import {classifyExchange} from 'chivestream-minion';
import {createScheduler} from 'chivestream-placement';
import {Ok} from 'ts-results-es';
import {type ExchangeClassifier} from './memory-minions.js';

/** Safeguards that can be disabled, by their names for `--switch-off`. */
export const safeguard = {
	rememberedKeys: 'remembered-keys',
	closedByCancel: 'closed-by-cancel',
	keptRefusals: 'kept-refusals',
	claims: 'claims',
	incarnationInKey: 'incarnation-in-key',
	closedEpochs: 'closed-epochs',
	retryOnlyNotStarted: 'retry-only-not-started',
	echoMatch: 'echo-match',
	wholeAnswer: 'whole-answer',
	answerAtDeadline: 'answer-at-deadline',
	notRunOnlyIfKnown: 'not-run-only-if-known',
	baseVersion: 'base-version',
	confirmBeforeForce: 'confirm-before-force',
	proofBeforeForce: 'proof-before-force',
	drainedTargets: 'drained-targets',
	drainWait: 'drain-wait',
	seenVersion: 'seen-version',
} as const;

/** Name of a safeguard. */
export type Safeguard = (typeof safeguard)[keyof typeof safeguard];

/** Parts of a run that disable a safeguard; those left out behave as usual. */
export type SafeguardReplacement = {
	/** Parts of every entry host. */
	parts?: Partial<HostParts>;
	classifyEnd?: ExchangeClassifier;
	/** Alters the answers that callers receive. */
	alterAnswer?: (answer: JobAnswer) => JobAnswer;
	/** Whether a planned stop waits for requests in progress. */
	plannedStopsWait?: boolean;
	/** Whether callers send the configuration version that they saw last. */
	sendsSeenVersion?: boolean;
};

const deadlineExtensionMs = 3_600_000;

const registryForgettingKeys: typeof createJobRegistry = options => {
	const registry = createJobRegistry(options);
	return {
		...registry,
		open(job, closesAt) {
			registry.discard(job.key);
			return registry.open(job, closesAt);
		},
	};
};

const registryIgnoringClose: typeof createJobRegistry = options => ({
	...createJobRegistry(options),
	close() {
		// The key stays open.
	},
});

const registryForgettingRefusals: typeof createJobRegistry = options => {
	const registry = createJobRegistry(options);
	return {
		...registry,
		open(job, closesAt) {
			const answer = registry.get(job.key)?.answer;
			if (answer?.state === 'failed' && answer.failure.notRun) {
				registry.discard(job.key);
			}

			return registry.open(job, closesAt);
		},
	};
};

const claimsGrantedToAll: typeof createClaims = options => ({
	...createClaims(options),
	claim: async () => Ok(options.self),
});

const epochsAlwaysOpen: typeof createEpochs = options => ({
	...createEpochs(options),
	isOpen: () => true,
});

const schedulerRetryingUnknown: typeof createScheduler = parts => {
	const scheduler = createScheduler(parts);
	return {
		...scheduler,
		settle(assignment, result: AttemptResult) {
			const reported = result.outcome === attemptOutcome.unknown ? {outcome: attemptOutcome.notStarted, failure: result.failure} : result;
			return scheduler.settle(assignment, reported);
		},
	};
};

const schedulerIgnoringDrains: typeof createScheduler = parts => {
	const scheduler = createScheduler(parts);
	return {
		...scheduler,
		configure(configuration, zoneMembers) {
			scheduler.configure({...configuration, declarations: {...configuration.declarations, drains: []}}, zoneMembers);
		},
	};
};

/** Accepts every answer as the answer to the attempt in progress, whichever attempt it echoes. */
const classifyWithoutEcho: ExchangeClassifier = (end, attempt) => {
	const {key, taskIndex, attempt: attemptNumber} = attempt.identity;
	const echoed = {'chivestream-attempt': `${key}/${taskIndex}/${attemptNumber}`};
	return classifyExchange(end.kind === 'answered' ? {...end, headers: {...end.headers, ...echoed}} : end, attempt);
};

/** Failures after which it is unknown whether tasks ran. */
const uncertainCodes: ReadonlySet<string> = new Set([failureCode.homeLost, failureCode.homeUnreachable, failureCode.logUnavailable, failureCode.keyClosed]);

const reportUncertainAsNotRun = (answer: JobAnswer): JobAnswer => answer.state === 'failed' && uncertainCodes.has(answer.failure.code)
	? {...answer, failure: {...answer.failure, notRun: true}}
	: answer;

/** Reports a failed job as complete if any of its tasks completed. */
const reportPartialAsComplete = (answer: JobAnswer): JobAnswer => answer.state === 'failed' && answer.failure.tasks.completed > 0
	? {key: answer.key, state: 'complete', results: Array.from({length: answer.failure.tasks.completed})}
	: answer;

/** Extends every deadline, so that no answer is sent when the caller's deadline passes. */
const dispatcherWithoutDeadline: typeof createDispatcher = options => {
	const dispatcher = createDispatcher(options);
	return {...dispatcher, run: async job => dispatcher.run({...job, deadline: job.deadline + deadlineExtensionMs})};
};

const applyIgnoringBaseVersion: typeof applyRecord = (state, record) => {
	const command = commandSchema.safeParse(record.value);
	const value = command.success ? {...command.data, baseVersion: state.configuration.version} : record.value;
	return applyRecord(state, {...record, value});
};

/** The replacement that disables each safeguard. */
export const safeguardReplacements: Record<Safeguard, SafeguardReplacement> = {
	[safeguard.rememberedKeys]: {parts: {createJobRegistry: registryForgettingKeys}},
	[safeguard.closedByCancel]: {parts: {createJobRegistry: registryIgnoringClose}},
	[safeguard.keptRefusals]: {parts: {createJobRegistry: registryForgettingRefusals}},
	[safeguard.claims]: {parts: {createClaims: claimsGrantedToAll}},
	[safeguard.incarnationInKey]: {parts: {isSameIncarnation: (left, right) => left.hostId === right.hostId}},
	[safeguard.closedEpochs]: {parts: {createEpochs: epochsAlwaysOpen}},
	[safeguard.retryOnlyNotStarted]: {parts: {createScheduler: schedulerRetryingUnknown}},
	[safeguard.echoMatch]: {classifyEnd: classifyWithoutEcho},
	[safeguard.wholeAnswer]: {alterAnswer: reportPartialAsComplete},
	[safeguard.answerAtDeadline]: {parts: {createDispatcher: dispatcherWithoutDeadline}},
	[safeguard.notRunOnlyIfKnown]: {alterAnswer: reportUncertainAsNotRun},
	[safeguard.baseVersion]: {parts: {follower: {rules: {...defaultReaderRules, fold: applyIgnoringBaseVersion}}}},
	[safeguard.confirmBeforeForce]: {parts: {follower: {replicateToZone: async () => undefined}}},
	[safeguard.proofBeforeForce]: {parts: {follower: {freshnessProof: ({havePeersAnswered}) => havePeersAnswered}}},
	[safeguard.drainedTargets]: {parts: {createScheduler: schedulerIgnoringDrains}},
	[safeguard.drainWait]: {plannedStopsWait: false},
	[safeguard.seenVersion]: {sendsSeenVersion: false},
};
