/** One stream of a log in memory, with the log's faults at the caller's will. */
import {Failure, failureCode} from 'chivestream-core';
import {type Stream, type StreamPage, type StreamRecord} from 'chivestream-log';
import {Err, Ok} from 'ts-results-es';

const unavailable = (step: string) =>
	new Err(new Failure(failureCode.logUnavailable, 'the log is out of service', {step, peer: 'fake-log'}));

/** A stream whose faults can be switched. */
export class FakeStream implements Stream {
	records: StreamRecord[] = [];
	first = 0;
	isOut = false;
	/** Reads lag: they do not show records from this offset on. */
	hiddenFrom = Number.POSITIVE_INFINITY;
	/** Appends that take effect while their answer is lost. */
	lostAnswers = 0;
	/** Appends that neither take effect nor are answered. */
	lostAppends = 0;
	appends = 0;
	readonly #readers = new Set<() => void>();

	get next(): number {
		return this.records.length;
	}

	/** Drops the records below an offset, as retention does. */
	dropBelow(offset: number): void {
		this.first = Math.max(this.first, Math.min(offset, this.next));
	}

	page(from: number, limit: number): StreamPage {
		const start = Math.max(from, this.first);
		const next = Math.min(this.next, this.hiddenFrom);
		return {records: this.records.slice(start, Math.min(start + limit, next)), first: this.first, next};
	}

	append = async (value: unknown) => {
		this.appends += 1;
		if (this.isOut) {
			return unavailable('append');
		}

		if (this.lostAppends > 0) {
			this.lostAppends -= 1;
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
		if (!this.isOut && from >= Math.min(this.next, this.hiddenFrom)) {
			await this.#waitForAppend(waitDeadline);
		}

		return this.isOut ? unavailable('read') : new Ok(this.page(from, limit));
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
