/** Hands jobs of this host's callers to a dispatcher, and to the next one where a dispatcher is lost or leaves. */
/* eslint-disable no-await-in-loop -- a task takes one step after the other */
import {outcomeKind, type JobRequest, type Outcome} from 'chivestream-dispatch';
import {type Report} from './host-log.js';
import {type JobMessage} from './messages.js';
import {type RemoteOutcome} from './peer-link.js';
import {hostTiming} from './timing.js';

/** A dispatcher to hand a job to. */
export type DispatcherHandle = {
	name: string;
	/** Name of the cell for which it dispatches. */
	cell: string;
	/** The token under which it dispatches. */
	claim: number;
	submit: (job: JobRequest, settle: (outcome: RemoteOutcome) => void) => void;
	cancel: (id: string) => void;
};

/** What the client of the dispatchers needs. */
export type JobClientOptions = {
	now: () => number;
	report: Report;
	/** The dispatcher of a cell by its name, if it is in reach. */
	dispatcherOfCell: (cell: string) => DispatcherHandle | undefined;
	/** The dispatcher to which a job of this id belongs, or another where that is out of reach. */
	dispatcherForJob: (id: string) => DispatcherHandle | undefined;
	/** Resolves when the dispatchers in reach have changed, or at a time. */
	untilChange: (deadline: number) => Promise<void>;
};

/** A job in progress that its caller may leave. */
export type PendingJob = {
	outcome: Promise<Outcome>;
	cancel: () => void;
};

/** What a caller is told to wait where no dispatcher is in reach, in milliseconds. */
const retryAfterMs = 1000;

/** The job as it travels, with times counted from now. */
export const toJobMessage = (job: JobRequest, cell: string, now: number): JobMessage => ({
	id: job.id,
	cell,
	payload: job.payload,
	steps: [...job.steps],
	route: job.route,
	upstream: job.upstream,
	priority: job.priority,
	maxAttempts: job.maxAttempts,
	objectiveInMs: job.objectiveDeadline - now,
	deadlineInMs: job.deadline - now,
	submission: job.submission,
	mayHaveRun: job.mayHaveRun,
	...(job.doneTasks !== undefined && {doneTasks: [...job.doneTasks]}),
});

/** The job as its dispatcher keeps it, with times on the own clock. */
export const fromJobMessage = ({objectiveInMs, deadlineInMs, cell, ...message}: JobMessage, now: number): JobRequest => ({
	...message,
	objectiveDeadline: now + objectiveInMs,
	deadline: now + deadlineInMs,
});

/** Runs a job to its end. */
export const runJob = (options: JobClientOptions, request: JobRequest): PendingJob => {
	const {now, report} = options;
	const controller = new AbortController();
	let currentDispatcher: DispatcherHandle | undefined;
	let job = request;
	let cell: string | undefined;
	/** Where and until when another run of the job may be alive. */
	let lostSubmission: {cell: string; until: number} | undefined;
	/** The claim that was given up: whoever still names it has not heard of the next one yet. */
	let releasedClaim = 0;

	const findDispatcher = async (): Promise<DispatcherHandle | undefined> => {
		const searchDeadline = Math.min(job.deadline, now() + hostTiming.findDispatcherMs + (lostSubmission === undefined ? 0 : hostTiming.elsewhereMs));
		while (!controller.signal.aborted) {
			const found = (cell === undefined ? undefined : options.dispatcherOfCell(cell)) ?? options.dispatcherForJob(job.id);
			const isSafe = lostSubmission === undefined || found?.cell === lostSubmission.cell || now() >= lostSubmission.until;
			if (found !== undefined && isSafe && found.claim !== releasedClaim) {
				return found;
			}

			if (now() >= searchDeadline) {
				return undefined;
			}

			await options.untilChange(Math.min(searchDeadline, lostSubmission?.until ?? searchDeadline));
		}

		return undefined;
	};

	/** The job goes on at the same cell at once, which learns from its minions what runs, and elsewhere only later. */
	const prepareResubmission = (from: DispatcherHandle, doneTasks: readonly string[]) => {
		cell = from.cell;
		lostSubmission = {cell, until: now() + hostTiming.elsewhereMs};
		job = {
			...job, submission: job.submission + 1, mayHaveRun: true, doneTasks: [...job.doneTasks ?? [], ...doneTasks],
		};
	};

	const outcomeWithoutDispatcher = (reason: string): Outcome => job.mayHaveRun
		? {kind: outcomeKind.abandoned, reason}
		: {kind: outcomeKind.refused, reason, retryAfterMs};

	const run = async (): Promise<Outcome> => {
		for (;;) {
			const found = await findDispatcher();
			if (found === undefined) {
				return outcomeWithoutDispatcher('no dispatcher is in reach');
			}

			currentDispatcher = found;
			const submitted = job;
			const outcome = await new Promise<RemoteOutcome>(resolve => {
				found.submit(submitted, resolve);
			});
			currentDispatcher = undefined;
			if (controller.signal.aborted) {
				return {kind: outcomeKind.abandoned, reason: 'the caller has left'};
			}

			switch (outcome.kind) {
				case 'lost': {
					report('dispatcher-lost', {job: job.id, dispatcher: found.name, submission: job.submission});
					prepareResubmission(found, []);
					break;
				}

				case outcomeKind.released: {
					releasedClaim = found.claim;
					prepareResubmission(found, outcome.doneTasks);
					break;
				}

				case outcomeKind.redirected: {
					cell = outcome.cell;
					job = {...job, submission: job.submission + 1};
					break;
				}

				case outcomeKind.completed:
				case outcomeKind.failed:
				case outcomeKind.refused:
				case outcomeKind.abandoned: {
					return outcome;
				}
			}
		}
	};

	return {
		outcome: run(),
		cancel() {
			controller.abort();
			currentDispatcher?.cancel(job.id);
		},
	};
};
