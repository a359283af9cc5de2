/** Follows the operator's declarations in the platform's store. The version in force never falls. */
/* eslint-disable no-await-in-loop -- a task takes one step after the other */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	declarationsKey, decodeDeclarations, topic, type Declarations, type KeyedRecord, type StoreClient,
} from 'chivestream-platform';
import {type Report} from './host-log.js';

/** How long a read waits for news, in milliseconds: short enough to leave a silent connection well within the time in
 * which declarations have to be in force. */
const waitMs = 1200;

/** How long the store may take beyond that, in milliseconds. */
const answerMs = 500;

/** Pause after a failed read, in milliseconds. */
const retryMs = 150;

/** Reads after which the newest record is read as well, in case the log was cut in between. */
const readsPerSnapshot = 2;

/** The declarations in force on this host. */
export class DeclarationsFollower {
	current: Declarations | undefined;
	private readonly store: StoreClient;
	private readonly report: Report;
	private readonly now: () => number;
	private readonly noteChange: () => void;
	private lastAnswerAt = Number.NEGATIVE_INFINITY;
	private lastFailureAt = Number.NEGATIVE_INFINITY;
	private isAway = false;

	constructor(options: {store: StoreClient; report: Report; now: () => number; noteChange: () => void}) {
		this.store = options.store;
		this.report = options.report;
		this.now = options.now;
		this.noteChange = options.noteChange;
	}

	/** Takes declarations from another host or from the store; older ones are ignored. */
	take(declarations: Declarations, source: string): void {
		if (this.current !== undefined && declarations.version <= this.current.version) {
			return;
		}

		this.report('declarations-in-force', {
			version: declarations.version, before: this.current?.version, routes: declarations.routes.length, source,
		});
		this.current = declarations;
		this.noteChange();
	}

	/** How long ago the store last answered, in milliseconds. */
	sinceAnswerMs(): number {
		return this.now() - this.lastAnswerAt;
	}

	/** When the store last failed to answer, on the steady clock. */
	failedAt(): number {
		return this.lastFailureAt;
	}

	/** Follows until the signal aborts. */
	async follow(signal: AbortSignal): Promise<void> {
		let offset: number | undefined;
		let reads = 0;
		while (!signal.aborted) {
			reads += 1;

			offset = offset === undefined || reads % readsPerSnapshot === 0
				? await this.readNewest(offset)
				: await this.readChanges(offset);
			if (offset === undefined && !signal.aborted) {
				await sleep(retryMs);
			}
		}
	}

	private async readNewest(offset: number | undefined): Promise<number | undefined> {
		const result = await this.store.readSnapshot(topic.declarations, answerMs);
		if (result.isErr()) {
			this.noteFailure(result.error);
			return undefined;
		}

		this.noteAnswer();
		this.takeRecords(result.value.records);
		return offset ?? result.value.end;
	}

	private async readChanges(offset: number): Promise<number | undefined> {
		const result = await this.store.readChanges(topic.declarations, offset, waitMs, answerMs);
		if (result.isErr()) {
			this.noteFailure(result.error);
			return undefined;
		}

		this.noteAnswer();
		if (result.value === undefined) {
			return undefined;
		}

		this.takeRecords(result.value.records);
		return result.value.end;
	}

	private takeRecords(records: readonly KeyedRecord[]): void {
		for (const {key, value} of records) {
			if (key !== declarationsKey || value === undefined) {
				continue;
			}

			const declarations = decodeDeclarations(value);
			if (declarations === undefined) {
				this.report('declarations-unreadable', {bytes: value.length});
			} else {
				this.take(declarations, 'store');
			}
		}
	}

	private noteAnswer(): void {
		this.lastAnswerAt = this.now();
		if (this.isAway) {
			this.isAway = false;
			this.report('store-regained');
		}
	}

	private noteFailure(error: Error): void {
		this.lastFailureAt = this.now();
		if (!this.isAway) {
			this.isAway = true;
			this.report('store-lost', {reason: error.message});
		}
	}
}
