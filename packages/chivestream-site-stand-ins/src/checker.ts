/** Checks the events on minions against the invariants: one active run for each task, and no minion over its capacity. */

/**
 * A violated invariant: `limit` for a minion over its capacity, `twice` for two active runs of a task, `refused` for a run
 * of a job that was refused as not run, `unasked` for a run of an unknown job, `budget` for a task that is started further
 * times after it has crashed too many minions.
 */
export type Violation = {
	rule: 'limit' | 'twice' | 'refused' | 'unasked' | 'budget';
	detail: string;
};

/** Number of crashes of minions under a task, and of later starts, that violate `budget`. */
const budget = {crashes: 3, laterStarts: 3} as const;

/** Records submitted jobs and the runs on minions, and collects violations. Task names are `<job id>.<suffix>`. */
export class Checker {
	readonly violations: Violation[] = [];
	/** Number of runs that have started. */
	starts = 0;
	/** Thousandths of a core for each task, by job id. */
	private readonly taskMillicores = new Map<string, number>();
	/** Active run numbers by task and minion. */
	private readonly activeRuns = new Map<string, Map<string, Set<string>>>();
	private readonly startedJobs = new Set<string>();
	/** Number of crashes under a task, and of its starts since they used up the budget. */
	private readonly crashes = new Map<string, {crashes: number; laterStarts: number}>();

	/** Records a job before it is submitted. */
	recordJob(id: string, millicores: number): void {
		this.taskMillicores.set(id, millicores);
	}

	/** Records that a job was refused as not run and that its caller will not resubmit it. */
	recordRefusal(id: string): void {
		if (this.startedJobs.has(id)) {
			this.violations.push({rule: 'refused', detail: `job ${id} was refused as not run, but a task of it has started`});
		}
	}

	/** Thousandths of a core that a task uses; 0 if its job is unknown. */
	getTaskMillicores(task: string): number {
		return this.taskMillicores.get(getJobId(task)) ?? 0;
	}

	/** Records the start of a run on a minion with this capacity, in thousandths of a core. */
	recordStart(minion: string, capacity: number, task: string, run: number): void {
		this.starts += 1;
		this.startedJobs.add(getJobId(task));
		if (!this.taskMillicores.has(getJobId(task))) {
			this.violations.push({rule: 'unasked', detail: `${task} on ${minion}`});
		}

		this.checkBudget(task);
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

	/** Records that a task has crashed its minion. */
	recordCrash(task: string): void {
		const record = this.crashes.get(task) ?? {crashes: 0, laterStarts: 0};
		record.crashes += 1;
		this.crashes.set(task, record);
	}

	/** Largest number of crashes under one task. */
	maxCrashes(): number {
		return Math.max(0, ...[...this.crashes.values()].map(({crashes}) => crashes));
	}

	/** Records the end of a run on a minion. */
	recordEnd(minion: string, task: string, run: number): void {
		const runsByMinion = this.activeRuns.get(task);
		runsByMinion?.get(minion)?.delete(String(run));
		if (runsByMinion !== undefined && [...runsByMinion.values()].every(runs => runs.size === 0)) {
			this.activeRuns.delete(task);
		}
	}

	private checkBudget(task: string): void {
		const record = this.crashes.get(task);
		if (record !== undefined && record.crashes >= budget.crashes) {
			record.laterStarts += 1;
			if (record.laterStarts >= budget.laterStarts) {
				this.violations.push({rule: 'budget', detail: `${task} was started ${record.laterStarts} times after ${record.crashes} crashes`});
			}
		}
	}
}

const getJobId = (task: string): string => task.slice(0, task.indexOf('.'));
