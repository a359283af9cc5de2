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
	private readonly millicores = new Map<string, number>();
	private readonly running = new Map<string, Map<string, Set<string>>>();
	private readonly begun = new Set<string>();

	/** A caller is about to submit a job whose tasks take so much. */
	noteJob(id: string, millicores: number): void {
		this.millicores.set(id, millicores);
	}

	/** A caller was told that its job has not run, and it will not send it again. */
	noteRefused(id: string): void {
		if (this.begun.has(id)) {
			this.violations.push({rule: 'refused', detail: `job ${id} was refused and has run`});
		}
	}

	/** Thousandths of a core that a task takes. */
	sizeOf(task: string): number {
		return this.millicores.get(jobOf(task)) ?? 0;
	}

	/** A minion begins a run. */
	noteStart(minion: string, capacity: number, task: string, run: number): void {
		this.starts += 1;
		this.begun.add(jobOf(task));
		if (!this.millicores.has(jobOf(task))) {
			this.violations.push({rule: 'unasked', detail: `${task} on ${minion}`});
		}

		const byTask = this.running.get(task) ?? new Map<string, Set<string>>();
		this.running.set(task, byTask);
		const others = [...byTask].filter(([, runs]) => runs.size > 0).map(([other]) => other);
		if (others.length > 0) {
			this.violations.push({rule: 'twice', detail: `${task} run ${run} on ${minion} while it runs on ${others.join(', ')}`});
		}

		byTask.set(minion, new Set([...byTask.get(minion) ?? [], String(run)]));
		let used = 0;
		for (const [name, minions] of this.running) {
			used += this.sizeOf(name) * (minions.get(minion)?.size ?? 0);
		}

		if (used > capacity) {
			this.violations.push({rule: 'limit', detail: `${minion} has ${used} of ${capacity} in use with ${task} run ${run}`});
		}
	}

	/** A run has ended on a minion. */
	noteEnd(minion: string, task: string, run: number): void {
		const byTask = this.running.get(task);
		byTask?.get(minion)?.delete(String(run));
		if (byTask !== undefined && [...byTask.values()].every(runs => runs.size === 0)) {
			this.running.delete(task);
		}
	}
}

const jobOf = (task: string): string => task.slice(0, task.indexOf('.'));
