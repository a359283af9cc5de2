/** The jobs that this host holds for its callers, from their arrival to their answer. */
import {outcomeKind, type JobRequest, type Outcome} from 'chivestream-dispatch';
import {type CancelledJobs} from './cancelled-jobs.js';
import {type PendingJob} from './job-client.js';

/** Dependencies of the jobs of callers. */
export type CallerJobsOptions = {
	/** Submits a job to a dispatcher. */
	runJob: (job: JobRequest) => PendingJob;
	/** The jobs that were cancelled recently. */
	cancelledJobs: CancelledJobs;
};

const cancelled: Outcome = {kind: outcomeKind.cancelled};

/** A job with the number of callers that wait for its outcome. */
type SharedJob = {
	outcome: Promise<Outcome>;
	/** Ends the job as cancelled. */
	end: () => void;
	/** Stops the job, as all callers have left. */
	cancel: () => void;
	callers: number;
};

/** Runs the jobs of callers and ends those that are cancelled. */
export class CallerJobs {
	private readonly options: CallerJobsOptions;
	/** The jobs in progress, by ID. A caller may send a job again before this host notices that its connection has broken. */
	private readonly jobs = new Map<string, SharedJob>();

	constructor(options: CallerJobsOptions) {
		this.options = options;
	}

	/** Runs a job until it has an outcome or is cancelled. A job that was cancelled recently is not submitted. */
	run(job: JobRequest): PendingJob {
		const {cancelledJobs, runJob} = this.options;
		if (cancelledJobs.has(job.id)) {
			return {
				outcome: Promise.resolve(cancelled),
				cancel() {
					// Nothing runs.
				},
			};
		}

		const shared = this.jobs.get(job.id) ?? this.start(job.id, runJob(job));
		shared.callers += 1;
		let hasLeft = false;
		return {
			outcome: shared.outcome,
			cancel: () => {
				shared.callers -= hasLeft ? 0 : 1;
				hasLeft = true;
				if (shared.callers === 0) {
					this.remove(job.id, shared);
					shared.cancel();
				}
			},
		};
	}

	/** Whether this host holds a job with this ID. */
	has(id: string): boolean {
		return this.jobs.has(id);
	}

	/** Ends a job as cancelled, so that it isn't submitted again; returns whether this host held it. */
	end(id: string): boolean {
		const shared = this.jobs.get(id);
		shared?.end();
		return shared !== undefined;
	}

	private start(id: string, pending: PendingJob): SharedJob {
		let end = () => {
			// Replaced below.
		};

		const outcome = new Promise<Outcome>((resolve, reject) => {
			end = () => {
				resolve(cancelled);
				pending.cancel();
			};

			pending.outcome.then(resolve, reject).finally(() => {
				this.remove(id, shared);
			});
		});
		const shared: SharedJob = {
			outcome, end, cancel: pending.cancel, callers: 0,
		};
		this.jobs.set(id, shared);
		return shared;
	}

	private remove(id: string, shared: SharedJob): void {
		if (this.jobs.get(id) === shared) {
			this.jobs.delete(id);
		}
	}
}
