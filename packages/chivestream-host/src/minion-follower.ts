/** Follows the registered minions in the platform's store. */
/* eslint-disable no-await-in-loop -- iterations are sequential */
import {setTimeout as sleep} from 'node:timers/promises';
import {failureCode} from 'chivestream-core';
import {latestRecord, type MinionRecord} from 'chivestream-dispatch';
import {
	decodeMinionEntry, topic, type KeyedRecord, type StoreClient,
} from 'chivestream-platform';
import {type Report} from './host-log.js';
import {RefusedRecords} from './refused-records.js';
import {isInFuture} from './timing.js';

/** How long a read waits for new records, in milliseconds. */
const waitMs = 500;

/** How long the store may take to answer beyond that wait, in milliseconds. */
const answerTimeoutMs = 500;

/**
 * Pause between two reads, in milliseconds. It limits the cost of reading, as minions write often, and stays well below the 2 s in
 * which a draining minion may still get work.
 */
const readPauseMs = 500;

/** How long a dispatcher that has just claimed waits for a table, if one can be had, in milliseconds. */
const maxWaitForTableMs = 500;

/** Time after a store outage within which minions whose entries expired during it have written them again, in milliseconds. */
const reregistrationMs = 2500;

const isSameRecord = (one: MinionRecord, other: MinionRecord): boolean => JSON.stringify(one) === JSON.stringify(other);

/** Dependencies and callbacks of a `MinionFollower`. Times are milliseconds of the monotonic clock. */
export type MinionFollowerOptions = {
	store: StoreClient;
	report: Report;
	now: () => number;
	/** When any other request of this host to the store last failed. */
	lastStoreFailureAt: () => number;
	onChange: () => void;
	/** Called after each read that the store has answered. */
	onRead: () => void;
};

/** Holds the registered minions by id and keeps them up to date. */
export class MinionFollower {
	readonly table = new Map<string, MinionRecord>();
	/** Minions whose entries are no longer in the store, with the time until which they stay in the table. */
	private readonly missing = new Map<string, number>();
	private readonly refused: RefusedRecords;
	private readonly store: StoreClient;
	private readonly report: Report;
	private readonly now: () => number;
	private readonly onChange: () => void;
	private readonly lastStoreFailureAt: () => number;
	private readonly startedAt: number;
	private lastFailureAt = Number.NEGATIVE_INFINITY;
	/** When the last successful read was begun. */
	private readAt = Number.NEGATIVE_INFINITY;

	private readonly onRead: () => void;
	private hasLastReadFailed = false;
	/** Whether the last read was answered; false before the first one of `follow`. */
	private wasLastReadAnswered = false;
	/** Until when the table counts as outdated, on the monotonic clock, unless it has been read or received before that. */
	private outdatedUntil = Number.NEGATIVE_INFINITY;
	/** Whether the table has been changed by that of another host since the last snapshot. */
	private isMerged = false;

	constructor(options: MinionFollowerOptions) {
		this.onRead = options.onRead;
		this.store = options.store;
		this.report = options.report;
		this.refused = new RefusedRecords(options.report, 'minion-refused');
		this.now = options.now;
		this.onChange = options.onChange;
		this.lastStoreFailureAt = options.lastStoreFailureAt;
		this.startedAt = options.now();
	}

	/** Replaces the table by that of a dispatcher. */
	replace(records: readonly MinionRecord[]): void {
		const latest = records.map(record => latestRecord(this.table.get(record.id), record));
		this.table.clear();
		this.missing.clear();
		for (const record of latest) {
			this.table.set(record.id, record);
		}
	}

	/** Applies the minions of a zone as another host has read them. */
	mergeZone(zone: string, records: readonly MinionRecord[]): void {
		this.isMerged = true;
		const registeredIds = new Set(records.map(({id}) => id));
		for (const [id, record] of this.table) {
			if (record.zone === zone && !registeredIds.has(id)) {
				this.markMissing(id);
			}
		}

		this.applyEntries(records.map(record => [record.id, latestRecord(this.table.get(record.id), record)]));
		this.markCurrent();
	}

	/** Whether the store answers, as far as the reads of `follow` show. */
	reachesStore(): boolean {
		return !this.hasLastReadFailed;
	}

	/** Whether the table must come from another host: the store hasn't answered the last read of `follow`, or none yet. */
	isTableNeeded(): boolean {
		return !this.wasLastReadAnswered;
	}

	/** Whether the table has been read or received since the start of `follow`, or can't be for now. Before that, it may be as old as the
	 * last table that this host was sent. */
	isCurrent(): boolean {
		return this.outdatedUntil === Number.NEGATIVE_INFINITY;
	}

	/**
	 * Whether every minion that lives and reached the store at a time `at` is in the table. Entries that expired during an outage of the store
	 * are written again after it; a host that has just started doesn't know of earlier outages.
	 */
	isComplete(at: number): boolean {
		return this.readAt >= at && this.now() >= Math.max(this.startedAt, this.outageEndedAt()) + reregistrationMs;
	}

	/** Reads the table once, so that it is available when this host starts to dispatch. */
	async preload(signal: AbortSignal): Promise<void> {
		await this.readAll(signal);
	}

	/** Reads changes from the store until the signal aborts. `isTableExpected` tells whether this host or one that it can ask reaches the
	 * store, so that the table counts as outdated for a short time. */
	async follow(signal: AbortSignal, isTableExpected: boolean): Promise<void> {
		let offset: number | undefined;
		this.outdatedUntil = isTableExpected ? this.now() + maxWaitForTableMs : Number.NEGATIVE_INFINITY;
		this.hasLastReadFailed = false;
		this.wasLastReadAnswered = false;
		while (!signal.aborted) {
			offset = offset === undefined || this.isMerged ? await this.readAll(signal) : await this.readChanges(offset, signal);
			this.removeExpired();
			if (!signal.aborted) {
				this.handleReadEnd();
			}

			await sleep(readPauseMs);
		}
	}

	private async readAll(signal: AbortSignal): Promise<number | undefined> {
		const startedAt = this.now();
		const result = await this.store.readSnapshot(topic.minions, answerTimeoutMs);
		if (signal.aborted) {
			return undefined;
		}

		this.hasLastReadFailed = result.isErr();
		if (result.isErr()) {
			this.lastFailureAt = this.now();
			return undefined;
		}

		this.isMerged = false;
		const registeredIds = new Set(result.value.records.map(record => record.key));
		this.refused.retain(registeredIds);
		for (const id of this.table.keys()) {
			if (!registeredIds.has(id)) {
				this.markMissing(id);
			}
		}

		this.applyRecords(result.value.records);
		this.readAt = startedAt;
		return result.value.end;
	}

	/** When a request of this host to the store last failed. */
	private outageEndedAt(): number {
		return Math.max(this.lastFailureAt, this.lastStoreFailureAt());
	}

	private async readChanges(offset: number, signal: AbortSignal): Promise<number | undefined> {
		const startedAt = this.now();
		const result = await this.store.readChanges(topic.minions, offset, waitMs, answerTimeoutMs);
		if (signal.aborted) {
			return undefined;
		}

		this.hasLastReadFailed = result.isErr();
		if (result.isErr()) {
			this.lastFailureAt = this.now();
			// The same records would be read again from the same offset.
			return result.error.code === failureCode.protocolError ? undefined : offset;
		}

		if (result.value === undefined) {
			return undefined;
		}

		this.applyRecords(result.value.records);
		this.readAt = startedAt;
		return result.value.end;
	}

	private handleReadEnd(): void {
		this.wasLastReadAnswered = !this.hasLastReadFailed;
		if (this.wasLastReadAnswered || this.now() >= this.outdatedUntil) {
			this.markCurrent();
		}

		if (this.wasLastReadAnswered) {
			this.onRead();
		}
	}

	private markCurrent(): void {
		if (!this.isCurrent()) {
			this.outdatedUntil = Number.NEGATIVE_INFINITY;
			this.onChange();
		}
	}

	private applyRecords(records: readonly KeyedRecord[]): void {
		this.applyEntries(records.map(({key, value}) => [key, this.decode(key, value)]));
	}

	/** Applies entries of minions by id; a minion whose entry is undefined is missing. */
	private applyEntries(entries: ReadonlyArray<[key: string, record: MinionRecord | undefined]>): void {
		let isChanged = false;
		for (const [key, record] of entries) {
			if (record === undefined) {
				if (this.table.has(key)) {
					this.markMissing(key);
				}

				continue;
			}

			this.missing.delete(key);
			const previous = this.table.get(key);
			if (previous === undefined || !isSameRecord(previous, record)) {
				this.table.set(key, record);
				isChanged = true;
				this.report('minion-registered', {
					minion: key, isDraining: record.isDraining, bornAt: record.bornAt, zone: record.zone, capacity: record.capacity,
				});
			}
		}

		if (isChanged) {
			this.onChange();
		}
	}

	private decode(key: string, value: Uint8Array | undefined): MinionRecord | undefined {
		if (value === undefined) {
			this.refused.forget(key);
			return undefined;
		}

		const record = decodeMinionEntry(key, value, reason => {
			this.refused.note(key, reason);
		});
		// No later incarnation would succeed it.
		if (record !== undefined && isInFuture(record.bornAt)) {
			this.refused.note(key, 'born: in the future');
			return undefined;
		}

		if (record !== undefined) {
			this.refused.forget(key);
		}

		return record;
	}

	private markMissing(id: string): void {
		if (!this.missing.has(id)) {
			const wasStoreUnavailable = this.now() - this.outageEndedAt() < reregistrationMs;
			this.missing.set(id, wasStoreUnavailable ? this.now() + reregistrationMs : this.now());
		}
	}

	private removeExpired(): void {
		let isChanged = false;
		for (const [id, keptUntil] of this.missing) {
			if (this.now() >= keptUntil) {
				this.missing.delete(id);
				this.table.delete(id);
				isChanged = true;
				this.report('minion-gone', {minion: id});
			}
		}

		if (isChanged) {
			this.onChange();
		}
	}
}
