/** An in-memory stream of a log whose faults a test can switch on. */
import {Failure, failureCode} from 'chivestream-core';
import {type Stream, type StreamPage, type StreamRecord} from 'chivestream-log';
import {Err, Ok} from 'ts-results-es';

const unavailable = (step: string) =>
	new Err(new Failure(failureCode.logUnavailable, 'the log is out of service', {step, peer: 'fake-log'}));

/** An in-memory stream with switchable faults; offsets start at 0. */
export class FakeStream implements Stream {
	records: StreamRecord[] = [];
	first = 0;
	isUnavailable = false;
	/** Simulates lagging reads, which return only records below this offset. */
	visibleBefore = Number.POSITIVE_INFINITY;
	/** Number of next appends that take effect but whose reply is lost. */
	lostAnswers = 0;
	/** Number of next appends that neither take effect nor get a reply. */
	droppedAppends = 0;
	appendCalls = 0;
	readonly #readers = new Set<() => void>();

	get next(): number {
		return this.records.length;
	}

	/** Drops the records below an offset, as the log's retention does. */
	dropBelow(offset: number): void {
		this.first = Math.max(this.first, Math.min(offset, this.next));
	}

	page(from: number, limit: number): StreamPage {
		const start = Math.max(from, this.first);
		const next = Math.min(this.next, this.visibleBefore);
		return {records: this.records.slice(start, Math.min(start + limit, next)), first: this.first, next};
	}

	append = async (value: unknown) => {
		this.appendCalls += 1;
		if (this.isUnavailable) {
			return unavailable('append');
		}

		if (this.droppedAppends > 0) {
			this.droppedAppends -= 1;
			return unavailable('append');
		}

		const offset = this.next;
		this.records.push({offset, at: offset, value: structuredClone(value)});
		for (const wake of this.#readers) {
			wake();
		}

		if (this.lostAnswers > 0) {
			this.lostAnswers -= 1;
			return unavailable('append');
		}

		return new Ok(offset);
	};

	read = async ({from, limit, waitDeadline}: Parameters<Stream['read']>[0]) => {
		if (!this.isUnavailable && from >= Math.min(this.next, this.visibleBefore)) {
			await this.#waitForAppend(waitDeadline);
		}

		return this.isUnavailable ? unavailable('read') : new Ok(this.page(from, limit));
	};

	async #waitForAppend(waitDeadline: number): Promise<void> {
		await new Promise<void>(resolve => {
			const finish = () => {
				clearTimeout(timer);
				this.#readers.delete(finish);
				resolve();
			};

			const timer = setTimeout(finish, Math.max(0, waitDeadline - Date.now()));
			this.#readers.add(finish);
		});
	}
}
