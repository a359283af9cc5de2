/** Follows the operator's declarations in the platform's store. The version in force never decreases. */
/* eslint-disable no-await-in-loop -- iterations are sequential */
import {setTimeout as sleep} from 'node:timers/promises';
import {
	declarationsKey, decodeDeclarations, topic, type Declarations, type KeyedRecord, type StoreClient,
} from 'chivestream-platform';
import {type Report} from './host-log.js';
import {RefusedRecords} from './refused-records.js';

/**
 * How long a read waits for new records, in milliseconds: short enough to give up a silent connection well within the time in
 * which declarations have to be in force.
 */
const waitMs = 1200;

/** How long the store may take to answer beyond that wait, in milliseconds. */
const answerTimeoutMs = 500;

/** Pause after a failed read, in milliseconds. */
const retryPauseMs = 150;

/** One in this many reads fetches the newest record instead of changes, in case the log was truncated in between. */
const readsPerSnapshot = 2;

/** Holds the declarations in force on this host and keeps them up to date. */
export class DeclarationsFollower {
	/** Undefined until the first declarations arrive. */
	current: Declarations | undefined;
	/** When a request to the store last failed, on the monotonic clock. */
	lastFailureAt = Number.NEGATIVE_INFINITY;
	private readonly refused: RefusedRecords;
	private readonly store: StoreClient;
	private readonly report: Report;
	private readonly now: () => number;
	private readonly onChange: () => void;
	private lastAnswerAt = Number.NEGATIVE_INFINITY;
	private isStoreUnavailable = false;

	constructor(options: {store: StoreClient; report: Report; now: () => number; onChange: () => void}) {
		this.store = options.store;
		this.report = options.report;
		this.refused = new RefusedRecords(options.report, 'declarations-unreadable');
		this.now = options.now;
		this.onChange = options.onChange;
	}

	/** Puts declarations from another host or from the store in force if their version is newer. `source` is logged. */
	applyIfNewer(declarations: Declarations, source: string): void {
		if (this.current !== undefined && declarations.version <= this.current.version) {
			return;
		}

		this.report('declarations-in-force', {
			version: declarations.version, before: this.current?.version, routes: declarations.routes.length, source,
		});
		this.current = declarations;
		this.onChange();
	}

	/** Time since the store last answered, in milliseconds; infinite before its first answer. */
	answerAgeMs(): number {
		return this.now() - this.lastAnswerAt;
	}

	/** Whether the store has answered the last read. */
	reachesStore(): boolean {
		return !this.isStoreUnavailable && Number.isFinite(this.lastAnswerAt);
	}

	/** Reads declarations from the store until the signal aborts. */
	async follow(signal: AbortSignal): Promise<void> {
		let offset: number | undefined;
		let reads = 0;
		while (!signal.aborted) {
			reads += 1;

			offset = offset === undefined || reads % readsPerSnapshot === 0
				? await this.readNewest(offset)
				: await this.readChanges(offset);
			if (offset === undefined && !signal.aborted) {
				await sleep(retryPauseMs);
			}
		}
	}

	private async readNewest(offset: number | undefined): Promise<number | undefined> {
		const result = await this.store.readSnapshot(topic.declarations, answerTimeoutMs);
		if (result.isErr()) {
			this.recordFailure(result.error);
			return undefined;
		}

		this.recordAnswer();
		this.applyRecords(result.value.records);
		return offset ?? result.value.end;
	}

	private async readChanges(offset: number): Promise<number | undefined> {
		const result = await this.store.readChanges(topic.declarations, offset, waitMs, answerTimeoutMs);
		if (result.isErr()) {
			this.recordFailure(result.error);
			return undefined;
		}

		this.recordAnswer();
		if (result.value === undefined) {
			return undefined;
		}

		this.applyRecords(result.value.records);
		return result.value.end;
	}

	private applyRecords(records: readonly KeyedRecord[]): void {
		for (const {key, value} of records) {
			if (key !== declarationsKey || value === undefined) {
				continue;
			}

			const declarations = decodeDeclarations(value, reason => {
				this.refused.note(key, reason);
			});
			if (declarations !== undefined) {
				this.refused.forget(key);
				this.applyIfNewer(declarations, 'store');
			}
		}
	}

	private recordAnswer(): void {
		this.lastAnswerAt = this.now();
		if (this.isStoreUnavailable) {
			this.isStoreUnavailable = false;
			this.report('store-regained');
		}
	}

	private recordFailure(error: Error): void {
		this.lastFailureAt = this.now();
		if (!this.isStoreUnavailable) {
			this.isStoreUnavailable = true;
			this.report('store-lost', {reason: error.message});
		}
	}
}
