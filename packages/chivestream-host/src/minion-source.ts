/** Chooses the host that passes on the minions to a dispatcher that the store turns away. */

/** Time until the first table of a host that was asked must arrive, in milliseconds. */
const firstAnswerMs = 700;

/** Longest time between two tables of the same host, in milliseconds. It sends one after each of its reads, about every second. */
const nextAnswerMs = 1800;

/** The host that is asked for the minions. It is replaced if it doesn't send them in time or no longer reaches the store. */
export class MinionSource {
	/** Undefined while no host is asked. */
	name: string | undefined;
	private answerDueAt = Number.NEGATIVE_INFINITY;

	/** Keeps or replaces the host, given the names of those that can pass on the minions, best first; none if no table is needed. `now` is
	 * in milliseconds. */
	choose(now: number, names: readonly string[]): void {
		if (this.name !== undefined && names.includes(this.name) && now < this.answerDueAt) {
			return;
		}

		const next = names[(names.indexOf(this.name ?? '') + 1) % Math.max(1, names.length)];
		this.name = next;
		this.answerDueAt = now + firstAnswerMs;
	}

	/** Records that the host has sent a table at time `now`, in milliseconds. */
	recordAnswer(now: number): void {
		this.answerDueAt = now + nextAnswerMs;
	}
}
