/** The jobs of a cell that the dispatchers of other cells hold, so that copies of these jobs follow them. */

import {type Job} from './job.js';

/** Ids of jobs that the dispatcher of a cell holds. */
export type CellJobs = {
	cell: string;
	ids: string[];
};

/** Where a job went. */
type JobElsewhere = {
	cell: string;
	/** Until when it may be running there for a host that has lost its caller; copies of the job follow until then. */
	until: number;
	/** The host of the first copy; undefined if the dispatcher of the other cell has named the job. */
	origin: string | undefined;
	/** Whether a copy has followed. */
	hasCopies: boolean;
};

/** Records to which cells jobs went, and of which cells the dispatchers have not said yet which jobs went there. */
export class JobsElsewhere {
	/** Where each job went, in the order of `until`. */
	private readonly jobs = new Map<string, JobElsewhere>();
	/** The cells whose dispatchers were asked and have not answered; undefined before any was asked. */
	private unanswered: Set<string> | undefined;
	/** Until when the answers are waited for. */
	private answersDueAt = Number.NEGATIVE_INFINITY;

	/** Records that a job went to a cell. `until` must not be less than in earlier calls. */
	record(id: string, {cell, origin, hasCopies}: Omit<JobElsewhere, 'until'>, {now, until}: {now: number; until: number}): void {
		for (const [oldest, entry] of this.jobs) {
			if (now < entry.until) {
				break;
			}

			this.jobs.delete(oldest);
		}

		const hadCopies = this.entryOf(id, now)?.hasCopies ?? false;
		this.jobs.delete(id);
		this.jobs.set(id, {
			cell, until, origin, hasCopies: hasCopies || hadCopies,
		});
	}

	/**
	 * Returns the cell to which a copy of a job is to follow the first one, which may be running there; undefined if that went to none, or too
	 * long ago. `until` must not be less than in earlier calls.
	 */
	follow(id: string, {now, until}: {now: number; until: number}): string | undefined {
		const entry = this.entryOf(id, now);
		if (entry !== undefined) {
			this.jobs.delete(id);
			this.jobs.set(id, {...entry, until, hasCopies: true});
		}

		return entry?.cell;
	}

	/**
	 * Whether a job may be running in the cell to which it went, for another host than those that submit it here. The host of the first copy
	 * may bring the job back, unless a copy has followed it.
	 */
	mayRun({request, submissions, hasUnknownHistory}: Job, now: number): boolean {
		const entry = this.entryOf(request.id, now);
		if (entry === undefined || entry.hasCopies) {
			return entry !== undefined;
		}

		return entry.origin === undefined ? hasUnknownHistory : submissions.some(({origin}) => origin !== entry.origin);
	}

	/** Records that a job was accepted in its own cell: if the host of the first copy has brought it back, it is in no other cell. */
	recordReturn(job: Job, now: number): void {
		const entry = this.entryOf(job.request.id, now);
		if (entry?.origin !== undefined && !this.mayRun(job, now)) {
			this.jobs.delete(job.request.id);
		}
	}

	/** Waits for the answers of the dispatchers of cells. Only the first call has an effect. */
	ask(cells: Iterable<string>, answersDueAt: number): void {
		if (this.unanswered === undefined) {
			this.unanswered = new Set(cells);
			this.answersDueAt = answersDueAt;
		}
	}

	/** Stops waiting for the dispatcher of a cell, which has answered. */
	recordAnswer(cell: string): void {
		this.unanswered?.delete(cell);
	}

	/** Stops waiting for all cells but these; returns the others that have not answered. */
	retain(cells: ReadonlySet<string>): string[] {
		const dropped = [...this.unanswered ?? []].filter(cell => !cells.has(cell));
		for (const cell of dropped) {
			this.unanswered!.delete(cell);
		}

		return dropped;
	}

	/** Stops waiting for the cells that have not answered in time, and returns them. */
	expire(now: number): string[] {
		return now >= this.answersDueAt ? this.retain(new Set()) : [];
	}

	/** Whether the dispatcher of each cell that was asked has answered, can't be reached or has not answered in time. */
	isKnown(now: number): boolean {
		return this.unanswered === undefined || this.unanswered.size === 0 || now >= this.answersDueAt;
	}

	private entryOf(id: string, now: number): JobElsewhere | undefined {
		const entry = this.jobs.get(id);
		return entry !== undefined && now < entry.until ? entry : undefined;
	}
}
