/** Remembers for a while which jobs were cancelled, so that a submission that was on its way is not run. */

/** What was found out about a job when it was cancelled. */
export const cancelFinding = {
	/** Nobody knew the job. */
	unknown: 'unknown',
	/** A host held the job for its caller and has ended it; no dispatcher had it at that moment. */
	held: 'held',
	/** A dispatcher had the job or runs of it, and has ended the job and requested the stop of its runs. */
	stopped: 'stopped',
} as const;

/** A value of `cancelFinding`. */
export type CancelFinding = (typeof cancelFinding)[keyof typeof cancelFinding];

const rank: Record<CancelFinding, number> = {unknown: 0, held: 1, stopped: 2};

/** Returns the finding that says most about the job; `unknown` if there is none. */
export const strongestFinding = (findings: readonly CancelFinding[]): CancelFinding => {
	let strongest: CancelFinding = cancelFinding.unknown;
	for (const finding of findings) {
		strongest = rank[finding] > rank[strongest] ? finding : strongest;
	}

	return strongest;
};

/** How long a cancelled job is remembered, in milliseconds. It covers the time after which callers send a job again. */
const retentionMs = 30_000;

/** Maximum number of remembered jobs; the oldest are forgotten first. */
const maxJobs = 5000;

/** The jobs that this host was asked to cancel recently. */
export class CancelledJobs {
	/** The monotonic clock, in milliseconds. */
	private readonly now: () => number;
	/** By job ID, in the order in which they are forgotten. */
	private readonly jobs = new Map<string, {finding: CancelFinding; forgetAt: number}>();

	constructor(now: () => number) {
		this.now = now;
	}

	/** Remembers that a job was cancelled. A finding never replaces one that says more about the job. */
	record(id: string, finding: CancelFinding): void {
		const strongest = strongestFinding([finding, this.finding(id) ?? finding]);
		this.jobs.delete(id);
		this.jobs.set(id, {finding: strongest, forgetAt: this.now() + retentionMs});
		this.forgetOld();
	}

	/** Whether a job was cancelled recently. */
	has(id: string): boolean {
		return this.finding(id) !== undefined;
	}

	/** What was found out about a job that was cancelled recently; undefined if it wasn't. */
	finding(id: string): CancelFinding | undefined {
		const job = this.jobs.get(id);
		return job !== undefined && this.now() < job.forgetAt ? job.finding : undefined;
	}

	private forgetOld(): void {
		for (const [id, {forgetAt}] of this.jobs) {
			if (this.jobs.size <= maxJobs && this.now() < forgetAt) {
				return;
			}

			this.jobs.delete(id);
		}
	}
}
