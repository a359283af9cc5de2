/** The jobs of a cell that the dispatchers of other cells hold, so that copies of these jobs follow them. */

/** Ids of jobs that the dispatcher of a cell holds. */
export type CellJobs = {
	cell: string;
	ids: string[];
};

/** Where a job went. */
type Redirection = {
	cell: string;
	/** How long copies of the job follow. */
	until: number;
	/** The host that submitted the first copy; undefined if it isn't known. */
	origin: string | undefined;
	/** Whether a copy of another host was sent there, too. */
	hasCopies: boolean;
};

/** Records to which cells jobs went, and of which cells the dispatchers have not said yet which jobs went there. */
export class JobsElsewhere {
	/** Where each job went, in the order in which copies no longer follow. */
	private readonly redirections = new Map<string, Redirection>();
	/** The cells whose dispatchers were asked and have not answered; undefined before any was asked. */
	private unanswered: Set<string> | undefined;
	/** Until when the answers are waited for. */
	private answersDueAt = Number.NEGATIVE_INFINITY;

	/** Records that a job went to a cell. `until` must not be less than in earlier calls. */
	record(id: string, cell: string, {now, until, origin}: {now: number; until: number; origin: string | undefined}): void {
		for (const [oldest, redirection] of this.redirections) {
			if (now < redirection.until) {
				break;
			}

			this.redirections.delete(oldest);
		}

		this.redirections.delete(id);
		this.redirections.set(id, {
			cell, until, origin, hasCopies: false,
		});
	}

	/**
	 * Returns the cell to which a submission of a job must follow, as another one went there and may be running; undefined if there is none, or
	 * it went too long ago. The host of the first copy may bring the job back, unless a copy of another host has followed it.
	 */
	follow(id: string, {origin, isFirst}: {origin: string | undefined; isFirst: boolean}, {now, until}: {now: number; until: number}): string | undefined {
		const redirection = this.redirections.get(id);
		if (redirection === undefined || now >= redirection.until) {
			return undefined;
		}

		const {cell, hasCopies} = redirection;
		if (!isFirst && !hasCopies && origin === redirection.origin) {
			return undefined;
		}

		this.redirections.delete(id);
		this.redirections.set(id, {...redirection, until, hasCopies: true});
		return cell;
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
}
