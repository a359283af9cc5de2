/** What minions see, held against what must hold: one run of a task at a time, no minion over its capacity. */

/** A broken promise. */
export type Violation = {
	rule: 'limit' | 'twice' | 'refused' | 'unasked';
	detail: string;
};

/** The sizes of the jobs that callers have submitted, and all that minions have begun. */
export class Checker {
	readonly violations: Violation[] = [];
	/** Starts of all tasks. */
	starts = 0;
	private readonly taskMillicores = new Map<string, number>();
	private readonly activeRuns = new Map<string, Map<string, Set<string>>>();
	private readonly startedJobs = new Set<string>();

	/** A caller is about to submit a job whose tasks take so much. */
	recordJob(id: string, millicores: number): void {
		this.taskMillicores.set(id, millicores);
	}

	/** A caller was told that its job has not run, and it will not send it again. */
	recordRefusal(id: string): void {
		if (this.startedJobs.has(id)) {
			this.violations.push({rule: 'refused', detail: `job ${id} was refused and has run`});
		}
	}

	/** Thousandths of a core that a task takes. */
	getTaskMillicores(task: string): number {
		return this.taskMillicores.get(getJobId(task)) ?? 0;
	}

	/** A minion begins a run. */
	recordStart(minion: string, capacity: number, task: string, run: number): void {
		this.starts += 1;
		this.startedJobs.add(getJobId(task));
		if (!this.taskMillicores.has(getJobId(task))) {
			this.violations.push({rule: 'unasked', detail: `${task} on ${minion}`});
		}

		const runsByMinion = this.activeRuns.get(task) ?? new Map<string, Set<string>>();
		this.activeRuns.set(task, runsByMinion);
		const otherMinions = [...runsByMinion].filter(([, runs]) => runs.size > 0).map(([minionId]) => minionId);
		if (otherMinions.length > 0) {
			this.violations.push({rule: 'twice', detail: `${task} run ${run} on ${minion} while it runs on ${otherMinions.join(', ')}`});
		}

		runsByMinion.set(minion, new Set([...runsByMinion.get(minion) ?? [], String(run)]));
		let usedMillicores = 0;
		for (const [activeTask, runsOfTask] of this.activeRuns) {
			usedMillicores += this.getTaskMillicores(activeTask) * (runsOfTask.get(minion)?.size ?? 0);
		}

		if (usedMillicores > capacity) {
			this.violations.push({rule: 'limit', detail: `${minion} has ${usedMillicores} of ${capacity} in use with ${task} run ${run}`});
		}
	}

	/** A run has ended on a minion. */
	recordEnd(minion: string, task: string, run: number): void {
		const runsByMinion = this.activeRuns.get(task);
		runsByMinion?.get(minion)?.delete(String(run));
		if (runsByMinion !== undefined && [...runsByMinion.values()].every(runs => runs.size === 0)) {
			this.activeRuns.delete(task);
		}
	}
}

const getJobId = (task: string): string => task.slice(0, task.indexOf('.'));
