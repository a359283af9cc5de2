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

/** Runs the jobs of callers and ends those that are cancelled. */
export class CallerJobs {
	private readonly options: CallerJobsOptions;
	/** Functions that end the jobs in progress as cancelled, by job ID; a job may have been sent several times. */
	private readonly endings = new Map<string, Set<() => void>>();

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

		const pending = runJob(job);
		const outcome = new Promise<Outcome>((resolve, reject) => {
			const end = () => {
				resolve(cancelled);
				pending.cancel();
			};

			const endings = this.endings.get(job.id) ?? new Set();
			this.endings.set(job.id, endings.add(end));
			pending.outcome.then(resolve, reject).finally(() => {
				endings.delete(end);
				if (endings.size === 0) {
					this.endings.delete(job.id);
				}
			});
		});
		return {outcome, cancel: pending.cancel};
	}

	/** Whether this host holds a job with this ID. */
	has(id: string): boolean {
		return this.endings.has(id);
	}

	/** Ends a job as cancelled, so that it isn't submitted again; returns whether this host held it. */
	end(id: string): boolean {
		const endings = this.endings.get(id);
		for (const end of endings ?? []) {
			end();
		}

		return endings !== undefined;
	}
}
