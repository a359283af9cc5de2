/** Submits the jobs of this host's callers to dispatchers, and resubmits those that a dispatcher loses or releases. */
/* eslint-disable no-await-in-loop -- iterations are sequential */
import {
	outcomeKind, type CrashRecord, type JobRequest, type Outcome, type PreviousSubmission,
} from 'chivestream-dispatch';
import {type Report} from './host-log.js';
import {type JobMessage} from './messages.js';
import {type RemoteOutcome, type SubmissionCallbacks} from './peer-link.js';
import {hostTiming} from './timing.js';

/** Access to the dispatcher of one cell, on this host or over the link to another. */
export type DispatcherHandle = {
	/** Name of the host on which it runs. */
	name: string;
	/** Name of the cell for which it dispatches. */
	cell: string;
	/** The fencing token of its claim to the cell. */
	claim: number;
	/** Name of the cell in which the job belongs that was looked up, if it is another one. */
	homeCell?: string;
	/** Whether it asks others for the jobs of its cell, as its claim is new; left out if that is not known. */
	asksForJobs?: boolean;
	/** Submits a job. */
	submit: (job: JobRequest, callbacks: SubmissionCallbacks) => void;
	cancel: (id: string) => void;
};

/** Dependencies of the job client. */
export type JobClientOptions = {
	/** The monotonic clock, in milliseconds. */
	now: () => number;
	report: Report;
	/** Resolves at once, or after a pause of this process when its sockets have been read. */
	untilAwake: () => Promise<void>;
	/** Time after the release of a job by a dispatcher in which its runs may go on, in milliseconds. */
	releasedRunsMs: () => number;
	/** The dispatcher of the cell with this name, if it is reachable. */
	dispatcherOfCell: (cell: string) => DispatcherHandle | undefined;
	/** The dispatcher to which the job with this id belongs, or another one if that is unreachable. */
	dispatcherForJob: (id: string) => DispatcherHandle | undefined;
	/** Resolves when the reachable dispatchers may have changed, at the latest at the deadline. */
	untilChange: (deadline: number) => Promise<void>;
};

/** A job in progress; `cancel` stops it when its caller has disconnected. */
export type PendingJob = {
	outcome: Promise<Outcome>;
	cancel: () => void;
};

/** Retry delay sent to a caller when no dispatcher is reachable, in milliseconds. */
const retryAfterMs = 1000;

/** Converts a job to its message, whose times are relative to `now`, in milliseconds. */
export const toJobMessage = (job: JobRequest, {cell, claim}: Pick<DispatcherHandle, 'cell' | 'claim'>, now: number): JobMessage => ({
	id: job.id,
	cell,
	claim,
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
	...(job.crashes !== undefined && {crashes: {...job.crashes}}),
	previousSubmissions: (job.previousSubmissions ?? []).map(({leaseEndsAt, ...previous}) => ({...previous, leaseEndsInMs: leaseEndsAt - now})),
	...(job.homeCell !== undefined && {homeCell: job.homeCell}),
	...(job.hasUnknownHistory !== undefined && {hasUnknownHistory: job.hasUnknownHistory}),
});

/** Converts a received message to a job, whose times are on the local monotonic clock, in milliseconds. */
export const fromJobMessage = ({objectiveInMs, deadlineInMs, cell, claim, previousSubmissions, ...message}: JobMessage, now: number): JobRequest => ({
	...message,
	objectiveDeadline: now + objectiveInMs,
	deadline: now + deadlineInMs,
	...(previousSubmissions !== undefined && {
		previousSubmissions: previousSubmissions.map(({leaseEndsInMs, ...previous}) => ({...previous, leaseEndsAt: now + leaseEndsInMs})),
	}),
});

/** An outcome of one kind. */
type OutcomeOf<Kind extends Outcome['kind']> = Extract<Outcome, {kind: Kind}>;

/** A previous submission of a job, with the cell to whose minions its runs are confined. */
type CellSubmission = PreviousSubmission & {cell: string};

const hasNoRuns = ({minionsByTask}: PreviousSubmission): boolean => minionsByTask !== undefined && Object.keys(minionsByTask).length === 0;

/** Submits a job, and resubmits it after each loss, release or redirection until it has an outcome. */
export const runJob = (options: JobClientOptions, request: JobRequest): PendingJob => {
	const {now, report} = options;
	const controller = new AbortController();
	let currentDispatcher: DispatcherHandle | undefined;
	let job = request;
	let cell: string | undefined;
	/** The cell in which the job belongs, once it was sent to another one. */
	let homeCell: string | undefined;
	/** Submissions to dispatchers that no longer have the job, as long as their runs may be alive. */
	let previousSubmissions: CellSubmission[] = [];
	/** Until when the first copy of the job may be running in `cell`, so that it may go to no other one. */
	let confinedUntil = Number.NEGATIVE_INFINITY;
	/** Whether a dispatcher has said that another copy of the job may have run. */
	let isCopy = false;
	/** Token of the claim whose dispatcher released the job last, or 0; a handle that still has this token is out of date. */
	let releasedClaim = 0;

	const findDispatcher = async (): Promise<DispatcherHandle | undefined> => {
		const runsEndAt = Math.max(now(), confinedUntil, ...previousSubmissions.map(({leaseEndsAt}) => leaseEndsAt));
		const searchDeadline = Math.min(job.deadline, runsEndAt + hostTiming.findDispatcherTimeoutMs);
		for (;;) {
			// The caller may have left during a pause, and sent the job elsewhere.
			await options.untilAwake();
			if (controller.signal.aborted || now() >= job.deadline) {
				return undefined;
			}

			previousSubmissions = previousSubmissions.filter(({leaseEndsAt}) => now() < leaseEndsAt);
			const isConfined = now() < confinedUntil;
			const found = (cell === undefined ? undefined : options.dispatcherOfCell(cell)) ?? (isConfined ? undefined : options.dispatcherForJob(job.id));
			// The next dispatcher of the same cell reads from its minions which tasks run.
			const isSafe = previousSubmissions.every(previous => previous.cell === found?.cell);
			if (found !== undefined && isSafe && found.claim !== releasedClaim) {
				return found;
			}

			if (now() >= searchDeadline) {
				return undefined;
			}

			const ends = [...previousSubmissions.map(({leaseEndsAt}) => leaseEndsAt), ...(isConfined ? [confinedUntil] : [])];
			await options.untilChange(Math.min(searchDeadline, ...ends));
		}
	};

	/**
	 * Prepares the next submission. The same cell may take it at once, since its next dispatcher reads from the minions which tasks
	 * run. Another cell may take it only when nothing of the previous submissions can still run.
	 */
	const prepareResubmission = (previous: CellSubmission, {doneTasks, hasUnknownHistory}: {doneTasks: readonly string[]; hasUnknownHistory: boolean}) => {
		cell = previous.cell;
		if (!hasNoRuns(previous)) {
			previousSubmissions = [...previousSubmissions, previous];
		}

		job = {
			...job, submission: job.submission + 1, mayHaveRun: true, doneTasks: [...job.doneTasks ?? [], ...doneTasks], hasUnknownHistory,
		};
	};

	const outcomeWithoutDispatcher = (reason: string): Outcome => job.mayHaveRun || isCopy
		? {kind: outcomeKind.abandoned, reason}
		: {kind: outcomeKind.refused, reason, retryAfterMs};

	const recordCrashes = (task: string, crashes: CrashRecord) => {
		report('task-crashed-minion', {job: job.id, task, crashes: crashes.incarnations.length});
		job = {...job, crashes: {...job.crashes, [task]: crashes}};
	};

	const describeSubmission = ({name, cell: submittedTo, claim}: DispatcherHandle) => ({
		job: job.id, submission: job.submission, dispatcher: name, cell: submittedTo, claim,
	});

	const handleRelease = (found: DispatcherHandle, outcome: OutcomeOf<typeof outcomeKind.released>) => {
		const {
			doneTasks, minionsByTask, crashes, isUnaccepted = false, hasUnknownHistory = false,
		} = outcome;
		releasedClaim = found.claim;
		report('job-released', {
			...describeSubmission(found),
			done: doneTasks.length,
			minionsByTask,
			...(isUnaccepted && {isUnaccepted}),
			...(hasUnknownHistory && {hasUnknownHistory}),
		});
		if (isUnaccepted) {
			// The next dispatcher must not take it for an earlier submission, all of whose runs are known.
			return;
		}

		job = {...job, ...(crashes !== undefined && {crashes: {...job.crashes, ...crashes}})};
		prepareResubmission({
			cell: found.cell, claim: found.claim, leaseEndsAt: now() + options.releasedRunsMs(), ...(minionsByTask !== undefined && {minionsByTask}),
		}, {doneTasks, hasUnknownHistory});
	};

	const run = async (): Promise<Outcome> => {
		for (;;) {
			const found = await findDispatcher();
			if (found === undefined) {
				return outcomeWithoutDispatcher('no dispatcher is in reach');
			}

			currentDispatcher = found;
			homeCell ??= found.homeCell;
			const submitted = {
				...job,
				previousSubmissions: previousSubmissions.map(({cell: _, ...previous}) => previous),
				...(homeCell !== undefined && homeCell !== found.cell && {homeCell}),
			};
			const outcome = await new Promise<RemoteOutcome>(resolve => {
				found.submit(submitted, {settle: resolve, onTaskCrashed: recordCrashes});
			});
			currentDispatcher = undefined;
			if (controller.signal.aborted) {
				return {kind: outcomeKind.abandoned, reason: 'the caller has left'};
			}

			switch (outcome.kind) {
				case 'lost': {
					if (outcome.leaseEndsAt === Number.NEGATIVE_INFINITY) {
						// It was not sent: the link had just broken.
						break;
					}

					report('dispatcher-lost', {...describeSubmission(found), leaseEndsInMs: Math.max(0, Math.round(outcome.leaseEndsAt - now()))});
					// A new dispatcher may have been lost before it knew whether this was a copy of a job that runs elsewhere.
					const hasUnknownHistory = (!job.mayHaveRun || job.hasUnknownHistory === true) && found.asksForJobs !== false;
					prepareResubmission({cell: found.cell, claim: found.claim, leaseEndsAt: outcome.leaseEndsAt}, {doneTasks: [], hasUnknownHistory});
					break;
				}

				case outcomeKind.released: {
					handleRelease(found, outcome);
					break;
				}

				case outcomeKind.redirected: {
					homeCell ??= found.cell;
					cell = outcome.cell;
					if (outcome.mayRunForMs !== undefined) {
						isCopy = true;
						confinedUntil = now() + outcome.mayRunForMs;
					}

					job = {...job, submission: job.submission + 1};
					break;
				}

				case outcomeKind.completed:
				case outcomeKind.failed:
				case outcomeKind.refused:
				case outcomeKind.abandoned:
				case outcomeKind.cancelled: {
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
