/** The log's bounds and newest snapshot, as a host saw them last. */
import {type StreamPage, type StreamRecord} from 'chivestream-log';
import {parseSnapshotPart} from './snapshot.js';

/** The log's bounds and newest snapshot, as far as this host has read. */
export type LogView = {
	first: number;
	next: number;
	/** Offset that the newest snapshot covers, and when this host saw it. */
	snapshot: {covers: number; seenAt: number} | undefined;
};

/** The view before the first read. */
export const initialLogView: LogView = {first: 0, next: 0, snapshot: undefined};

/** Offset that the newest complete snapshot among the records covers, or -1. */
const newestSnapshot = (records: readonly StreamRecord[]): number => {
	const lastParts = records.map(record => parseSnapshotPart(record)).filter(part => part?.part === (part?.parts ?? 0) - 1);
	return Math.max(-1, ...lastParts.map(part => part?.covers ?? -1));
};

/** The view after a page that was read at a time in milliseconds since the Unix epoch. */
export const viewPage = ({snapshot}: LogView, {first, next, records}: StreamPage, now: number): LogView => {
	const covers = newestSnapshot(records);
	return {first, next, snapshot: covers > (snapshot?.covers ?? -1) ? {covers, seenAt: now} : snapshot};
};
