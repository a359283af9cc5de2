/** Appends snapshots again well before the log drops the newest one. One host at a time has the turn; two do no harm. */
import {
	type Clock, type Failure, type Logger, rankByRendezvous, silentLogger, waitUntil,
} from 'chivestream-core';
import {type Stream} from 'chivestream-log';
import {Err, Ok, type Result} from 'ts-results-es';
import {type Follower} from './follower.js';
import {type LogView} from './log-view.js';
import {createSnapshot} from './snapshot.js';
import {type State} from './state.js';

/** What a snapshot writer works with. */
export type SnapshotWriterOptions = {
	stream: Stream;
	follower: Follower;
	clock: Clock;
	hostId: string;
	/** Ids of the entry hosts that are live as far as this host knows, this one included. */
	liveHosts: () => string[];
	logger?: Logger;
	/** Longest time between two snapshots, in milliseconds: well below the log's retention. */
	intervalMs?: number;
};

const defaultIntervalMs = 600_000;
const checksPerInterval = 20;
const turnsPerInterval = 10;
const maxRecordsBehind = 1000;
const turnSubject = 'configuration-snapshot';

/** Whether the newest snapshot is so far behind, or so near the end of retention, that another one is due. */
export const isSnapshotBehind = ({first, next, snapshot}: LogView): boolean => {
	const covers = snapshot?.covers ?? -1;
	const isNearRetention = first > 0 && covers < (first + next) / 2;
	return isNearRetention || next - 1 - covers > maxRecordsBehind;
};

/** How many hosts have the turn to write a snapshot before this one. */
export const snapshotTurn = (hostId: string, liveHosts: readonly string[]): number => {
	const ranks = rankByRendezvous(turnSubject, [...new Set([...liveHosts, hostId])]);
	return ranks.indexOf(hostId);
};

/** Appends every part of a snapshot; the error tells which append failed, and the whole snapshot may be written again. */
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
Writes snapshots until the signal aborts. A host whose turn is later writes only if those before it did not, a tenth of the
interval for each turn.
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
		const turnMs = snapshotTurn(hostId, liveHosts()) * (intervalMs / turnsPerInterval);
		if (!signal.aborted && dueSince !== undefined && clock.now() >= dueSince + turnMs) {
			// eslint-disable-next-line no-await-in-loop
			const appended = await appendSnapshot(stream, follower.held);
			appended.mapErr(failure => logger.warn('a snapshot could not be written', {failure: failure.message}));
		}
	}
};
