/** How a job ends in the hands of a dispatcher. */

/** Kinds of outcome. */
export const outcomeKind = {
	completed: 'completed',
	failed: 'failed',
	/** No task of the job has run or will run. */
	refused: 'refused',
	/** The dispatcher gave the job up, and some of its tasks may have run. */
	abandoned: 'abandoned',
	/** Nothing has run here; another cell has free minions for the job. */
	redirected: 'redirected',
	/** The dispatcher is leaving; the next one of the cell takes over what runs. */
	released: 'released',
} as const;

/** The outcome of a job. */
export type Outcome
	= | {kind: typeof outcomeKind.completed}
		| {kind: typeof outcomeKind.failed; reason: string}
		| {kind: typeof outcomeKind.refused; reason: string; retryAfterMs: number}
		| {kind: typeof outcomeKind.abandoned; reason: string}
		| {kind: typeof outcomeKind.redirected; cell: string}
		| {kind: typeof outcomeKind.released; doneTasks: string[]};
