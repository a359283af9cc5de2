/**
Appends a new snapshot well before retention drops the newest one from the log. Hosts are ranked so that usually only one
writes; snapshots by two hosts are harmless.
*/
import {
	type Clock, type Failure, type Logger, rankByRendezvous, silentLogger, waitUntil,
} from 'chivestream-core';
import {type Stream} from 'chivestream-log';
import {Err, Ok, type Result} from 'ts-results-es';
import {type Follower} from './follower.js';
import {type LogView} from './log-view.js';
import {createSnapshot} from './snapshot.js';
import {type State} from './state.js';

/** Dependencies and settings of a snapshot writer. */
export type SnapshotWriterOptions = {
	stream: Stream;
	follower: Follower;
	clock: Clock;
	hostId: string;
	/** Ids of the entry hosts that this host considers live, including itself. */
	liveHosts: () => string[];
	logger?: Logger;
	/** Maximum time between two snapshots, in milliseconds; must be well below the log's retention. */
	intervalMs?: number;
};

const defaultIntervalMs = 600_000;
const checksPerInterval = 20;
const rankDelaysPerInterval = 10;
const maxRecordsBehind = 1000;
const rendezvousKey = 'configuration-snapshot';

/**
Whether the newest snapshot is more than 1000 records behind, or lies in the older half of the retained records of a log that
has already dropped some.
*/
export const isSnapshotBehind = ({first, next, snapshot}: LogView): boolean => {
	const covers = snapshot?.covers ?? -1;
	const isNearRetentionLimit = first > 0 && covers < (first + next) / 2;
	return isNearRetentionLimit || next - 1 - covers > maxRecordsBehind;
};

/** Number of live hosts that write a snapshot before this one does. */
export const snapshotWriterRank = (hostId: string, liveHosts: readonly string[]): number => {
	const ranks = rankByRendezvous(rendezvousKey, [...new Set([...liveHosts, hostId])]);
	return ranks.indexOf(hostId);
};

/** Appends every part of a snapshot and returns their number. After an error the whole snapshot may be appended again. */
export const appendSnapshot = async (stream: Stream, state: State): Promise<Result<number, Failure>> => {
	const parts = createSnapshot(state);
	for (const part of parts) {
		// eslint-disable-next-line no-await-in-loop
		const appended = await stream.append(part);
		if (appended.isErr()) {
			return new Err(appended.error);
		}
	}

	return new Ok(parts.length);
};

/** Whether another snapshot is due, whichever host writes it. */
const isSnapshotDue = (view: LogView, startedAt: number, now: number, intervalMs: number): boolean =>
	isSnapshotBehind(view) || now >= (view.snapshot?.seenAt ?? startedAt) + intervalMs;

/**
Writes snapshots until the signal aborts. Once a snapshot is due, a host waits a tenth of the interval for each host that
ranks before it, and writes only if none of those has written one.
*/
export const runSnapshotWriter = async (options: SnapshotWriterOptions, signal: AbortSignal): Promise<void> => {
	const {stream, follower, clock, hostId, liveHosts, logger = silentLogger, intervalMs = defaultIntervalMs} = options;
	const startedAt = clock.now();
	let dueSince: number | undefined;
	while (!signal.aborted) {
		// eslint-disable-next-line no-await-in-loop
		await waitUntil(clock, clock.now() + (intervalMs / checksPerInterval), signal);
		const isDue = follower.isProven
			&& follower.held.configuration.version > 0
			&& isSnapshotDue(follower.logView, startedAt, clock.now(), intervalMs);
		dueSince = isDue ? dueSince ?? clock.now() : undefined;
		const rankDelayMs = snapshotWriterRank(hostId, liveHosts()) * (intervalMs / rankDelaysPerInterval);
		if (!signal.aborted && dueSince !== undefined && clock.now() >= dueSince + rankDelayMs) {
			// eslint-disable-next-line no-await-in-loop
			const appended = await appendSnapshot(stream, follower.held);
			appended.mapErr(failure => logger.warn('a snapshot could not be written', {failure: failure.message}));
		}
	}
};
