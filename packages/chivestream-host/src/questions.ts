/** Questions to another host that wait for its answers. */

/** Numbers the questions to one host, and resolves each with its answer. */
export class Questions<Answer> {
	/** Whether a question got no answer in time and none was answered since. */
	isOverdue = false;
	private lastNumber = 0;
	private readonly waiting = new Map<number, (answer: Answer | undefined) => void>();

	/** Sends a question with its number; resolves with the answer, or with undefined if there is none within the time, in milliseconds. */
	async ask(send: (number: number) => void, timeoutMs: number): Promise<Answer | undefined> {
		this.lastNumber += 1;
		const number = this.lastNumber;
		return new Promise(resolve => {
			const timer = setTimeout(() => {
				this.isOverdue = true;
				finish(undefined);
			}, timeoutMs);
			const finish = (answer: Answer | undefined) => {
				clearTimeout(timer);
				this.waiting.delete(number);
				resolve(answer);
			};

			this.waiting.set(number, finish);
			send(number);
		});
	}

	/** Passes on an answer of the other host; one that comes too late only shows that the host answers again. */
	answer(number: number, answer: Answer): void {
		this.isOverdue = false;
		this.waiting.get(number)?.(answer);
	}

	/** Ends all questions without an answer, after the stream to the host has ended. */
	abandon(): void {
		for (const finish of this.waiting.values()) {
			finish(undefined);
		}
	}
}
