/** The jobs of a cell that the dispatchers of other cells hold, so that copies of these jobs follow them. */

/** Ids of jobs that the dispatcher of a cell holds. */
export type CellJobs = {
	cell: string;
	ids: string[];
};

/** Records to which cells jobs went, and of which cells the dispatchers have not said yet which jobs went there. */
export class JobsElsewhere {
	/** The cell of each job, and how long a copy of the job follows. The entries are in the order in which that ends. */
	private readonly cells = new Map<string, {cell: string; until: number}>();
	/** The cells whose dispatchers were asked and have not answered; undefined before any was asked. */
	private unanswered: Set<string> | undefined;
	/** Until when the answers are waited for. */
	private answersDueAt = Number.NEGATIVE_INFINITY;

	/** Records that a job went to a cell. `until` must not be less than in earlier calls. */
	record(id: string, cell: string, {now, until}: {now: number; until: number}): void {
		for (const [oldest, entry] of this.cells) {
			if (now < entry.until) {
				break;
			}

			this.cells.delete(oldest);
		}

		this.cells.delete(id);
		this.cells.set(id, {cell, until});
	}

	/** The cell to which a job went; undefined if it went to none, or too long ago. */
	cellOf(id: string, now: number): string | undefined {
		const entry = this.cells.get(id);
		return entry !== undefined && now < entry.until ? entry.cell : undefined;
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
