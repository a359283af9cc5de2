/** What a host has last read about the log: its bounds and its newest snapshot. */
import {type StreamPage, type StreamRecord} from 'chivestream-log';
import {parseSnapshotPart} from './snapshot.js';

/** The log's bounds and newest snapshot, as of the last page that this host has read. */
export type LogView = {
	/** Lowest offset that the log retains. */
	first: number;
	/** Offset of the next record to be appended. */
	next: number;
	/** Offset up to which the newest snapshot covers the log, and when this host read it, in milliseconds since the Unix epoch. */
	snapshot: {covers: number; seenAt: number} | undefined;
};

/** The view before the first read. */
export const initialLogView: LogView = {first: 0, next: 0, snapshot: undefined};

/** Offset that the newest snapshot whose last part is among the records covers, or -1. */
const newestCoveredOffset = (records: readonly StreamRecord[]): number => {
	const lastParts = records.map(record => parseSnapshotPart(record)).filter(part => part?.part === (part?.parts ?? 0) - 1);
	return Math.max(-1, ...lastParts.map(part => part?.covers ?? -1));
};

/** Updates the view with a page that was read at `now`, in milliseconds since the Unix epoch. */
export const updateLogView = ({snapshot}: LogView, {first, next, records}: StreamPage, now: number): LogView => {
	const covers = newestCoveredOffset(records);
	return {first, next, snapshot: covers > (snapshot?.covers ?? -1) ? {covers, seenAt: now} : snapshot};
};
