/** Each mechanism with a weaker stand-in for it, so that a run can show what the mechanism prevents. */
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
import {type Judge} from './memory-minions.js';

/** Mechanisms that can be switched off. */
export const mechanism = {
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

/** One of the mechanisms. */
export type Mechanism = (typeof mechanism)[keyof typeof mechanism];

/** What stands in for a mechanism. */
export type Weakening = {
	parts?: Partial<HostParts>;
	judge?: Judge;
	alterAnswer?: (answer: JobAnswer) => JobAnswer;
	stopsWait?: boolean;
	namesVersion?: boolean;
};

const foreverMs = 3_600_000;

const forgetfulRegistry: typeof createJobRegistry = options => {
	const registry = createJobRegistry(options);
	return {
		...registry,
		open(job, closesAt) {
			registry.discard(job.key);
			return registry.open(job, closesAt);
		},
	};
};

const unclosedRegistry: typeof createJobRegistry = options => ({
	...createJobRegistry(options),
	close() {
		// The key stays open.
	},
});

const refusalDroppingRegistry: typeof createJobRegistry = options => {
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

const unclaimed: typeof createClaims = options => ({
	...createClaims(options),
	claim: async () => Ok(options.self),
});

const openEpochs: typeof createEpochs = options => ({
	...createEpochs(options),
	isOpen: () => true,
});

const retryUnknown: typeof createScheduler = parts => {
	const scheduler = createScheduler(parts);
	return {
		...scheduler,
		settle(assignment, result: AttemptResult) {
			const altered = result.outcome === attemptOutcome.unknown ? {outcome: attemptOutcome.notStarted, failure: result.failure} : result;
			return scheduler.settle(assignment, altered);
		},
	};
};

const ignoreDrains: typeof createScheduler = parts => {
	const scheduler = createScheduler(parts);
	return {
		...scheduler,
		configure(configuration, sharers) {
			scheduler.configure({...configuration, declarations: {...configuration.declarations, drains: []}}, sharers);
		},
	};
};

/** Takes every answer for the answer to the attempt that waits. */
const judgeWithoutEcho: Judge = (end, attempt) => {
	const {key, taskIndex, attempt: number} = attempt.identity;
	const echoed = {'chivestream-attempt': `${key}/${taskIndex}/${number}`};
	return classifyExchange(end.kind === 'answered' ? {...end, headers: {...end.headers, ...echoed}} : end, attempt);
};

const guessedCodes: ReadonlySet<string> = new Set([failureCode.homeLost, failureCode.homeUnreachable, failureCode.logUnavailable, failureCode.keyClosed]);

const guessNotRun = (answer: JobAnswer): JobAnswer => answer.state === 'failed' && guessedCodes.has(answer.failure.code)
	? {...answer, failure: {...answer.failure, notRun: true}}
	: answer;

/** Calls a job complete as soon as some of its tasks are. */
const answerInPart = (answer: JobAnswer): JobAnswer => answer.state === 'failed' && answer.failure.tasks.completed > 0
	? {key: answer.key, state: 'complete', results: Array.from({length: answer.failure.tasks.completed})}
	: answer;

/** Waits for every task, however long it takes. */
const waitForever: typeof createDispatcher = options => {
	const dispatcher = createDispatcher(options);
	return {...dispatcher, run: async job => dispatcher.run({...job, deadline: job.deadline + foreverMs})};
};

const ignoreBaseVersion: typeof applyRecord = (state, record) => {
	const command = commandSchema.safeParse(record.value);
	const value = command.success ? {...command.data, baseVersion: state.configuration.version} : record.value;
	return applyRecord(state, {...record, value});
};

/** The weaker stand-in for each mechanism. */
export const weakenings: Record<Mechanism, Weakening> = {
	[mechanism.rememberedKeys]: {parts: {createJobRegistry: forgetfulRegistry}},
	[mechanism.closedByCancel]: {parts: {createJobRegistry: unclosedRegistry}},
	[mechanism.keptRefusals]: {parts: {createJobRegistry: refusalDroppingRegistry}},
	[mechanism.claims]: {parts: {createClaims: unclaimed}},
	[mechanism.incarnationInKey]: {parts: {isSameIncarnation: (left, right) => left.hostId === right.hostId}},
	[mechanism.closedEpochs]: {parts: {createEpochs: openEpochs}},
	[mechanism.retryOnlyNotStarted]: {parts: {createScheduler: retryUnknown}},
	[mechanism.echoMatch]: {judge: judgeWithoutEcho},
	[mechanism.wholeAnswer]: {alterAnswer: answerInPart},
	[mechanism.answerAtDeadline]: {parts: {createDispatcher: waitForever}},
	[mechanism.notRunOnlyIfKnown]: {alterAnswer: guessNotRun},
	[mechanism.baseVersion]: {parts: {follower: {rules: {...defaultReaderRules, fold: ignoreBaseVersion}}}},
	[mechanism.confirmBeforeForce]: {parts: {follower: {replicateToZone: async () => undefined}}},
	[mechanism.proofBeforeForce]: {parts: {follower: {freshnessProof: ({havePeersAnswered}) => havePeersAnswered}}},
	[mechanism.drainedTargets]: {parts: {createScheduler: ignoreDrains}},
	[mechanism.drainWait]: {stopsWait: false},
	[mechanism.seenVersion]: {namesVersion: false},
};
