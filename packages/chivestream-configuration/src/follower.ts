/** Follows the configuration stream in one task and puts accepted versions in force, in increasing order. */
import {
	type Clock, type Configuration, type Failure, type Logger, type Random, silentLogger, toFailure, waitUntil,
} from 'chivestream-core';
import {type Stream, type StreamPage, type StreamRecord} from 'chivestream-log';
import {retryDeadline} from './backoff.js';
import {initialLogView, type LogView, updateLogView} from './log-view.js';
import {isProvenFresh, type PeerState, type FreshnessProof} from './freshness-proof.js';
import {addRecentRecords} from './recent-records.js';
import {
	applyOfferedRecords, applyPage, applyState, heldOffset, initialReader, nextOffset, type Reader, type ReaderRules,
} from './reader.js';
import {findVerdict, type State, type Verdict} from './state.js';
import {createConditionVariable} from './condition-variable.js';

/** Dependencies, callbacks and settings of a follower. */
export type FollowerOptions = {
	stream: Stream;
	clock: Clock;
	random: Random;
	logger?: Logger;
	/** The zone of this host. */
	zone: string;
	/** Number of known entry hosts in the zone, including this one. */
	zoneSize: () => number;
	/** Fetches the states of other entry hosts; resolves with those received before a deadline that the function sets. */
	fetchFromPeers: () => Promise<PeerState[]>;
	/**
	Sends a version to the other hosts of the zone before it comes into force; resolves once enough of them hold it or at the
	deadline, in milliseconds since the Unix epoch. The records lead from the version in force to the new one; the other hosts
	pass them to `hold`.
	*/
	replicateToZone?: (state: State, deadline: number, records: readonly StreamRecord[]) => Promise<void>;
	/** Called with each version that comes into force on this host, in order. */
	onChange: (configuration: Configuration) => void;
	/** Maximum time that one read waits for new records, in milliseconds. */
	pollMs?: number;
	/** Rule that decides after the start when the state is fresh enough to be put in force. */
	freshnessProof?: FreshnessProof;
	/** Functions that apply records and snapshots. */
	rules?: ReaderRules;
};

const pageLimit = 500;
const defaultPollMs = 2000;
const replicationTimeoutMs = 300;
const announcementGraceMs = 150;
const emptyReadPauseMs = 50;
const step = 'follow-configuration';

/** Reads the configuration stream and keeps the version that is in force on this host. */
export class Follower {
	readonly #options: FollowerOptions;
	readonly #stateChanged;
	readonly #stopping = new AbortController();
	readonly #provenZoneHosts = new Set<string>();
	#pauseInterrupt = new AbortController();
	#reader: Reader = initialReader;
	#inForce: Configuration | undefined;
	#recentRecords: readonly StreamRecord[] = [];
	#zoneVersion = -1;
	#hasReachedLogEnd = false;
	#havePeersAnswered = false;
	#isProven = false;
	#isFetchingFromPeers = false;
	#isPuttingInForce = false;
	#consecutiveFailures = 0;
	#lastFailure: Failure | undefined;
	#logView: LogView = initialLogView;

	constructor(options: FollowerOptions) {
		this.#options = options;
		this.#stateChanged = createConditionVariable(options.clock);
	}

	/** The configuration in force on this host; undefined until the host has proven that its state is fresh. */
	get inForce(): Configuration | undefined {
		return this.#inForce;
	}

	/** The newest state that this host holds; it may be ahead of the version in force. */
	get held(): State {
		return this.#reader.state;
	}

	/** Whether this host has proven since its start that its state is fresh. */
	get isProven(): boolean {
		return this.#isProven;
	}

	/** The failure of the last read; undefined if it succeeded. */
	get lastFailure(): Failure | undefined {
		return this.#lastFailure;
	}

	/** The log's bounds and newest snapshot, as of the last successful read. */
	get logView(): LogView {
		return this.#logView;
	}

	/** Starts the task, which ends after `stop`; a read that is still waiting ends when the log's client is closed. */
	start(): void {
		void this.#fetchFromPeers();
		void this.#run();
	}

	/** Stops the task; the version in force stays readable. */
	stop(): void {
		this.#stopping.abort();
		this.#pauseInterrupt.abort();
	}

	/**
	Handles the announcement that the log has reached an offset: ends a pause between reads, and fetches the peers' states if the
	log has not returned the records within 150 ms.
	*/
	handleAnnouncedOffset(offset: number): void {
		if (offset <= heldOffset(this.#reader)) {
			return;
		}

		this.#pauseInterrupt.abort();
		this.#options.clock.at(this.#options.clock.now() + announcementGraceMs, () => {
			if (offset > heldOffset(this.#reader)) {
				void this.#fetchFromPeers();
			}
		});
	}

	/** Applies records that another host sent or that this one appended; returns the offset that it now holds. */
	acceptRecords(records: readonly StreamRecord[]): number {
		this.#setReader(applyOfferedRecords(this.#reader, records, this.#options.rules), records);
		this.handleAnnouncedOffset(records.at(-1)?.offset ?? -1);
		return heldOffset(this.#reader);
	}

	/** Applies records that another host sent and waits until this host holds the offset or the deadline passes; returns the offset that it then holds. */
	async hold(offset: number, records: readonly StreamRecord[], deadline: number): Promise<number> {
		this.acceptRecords(records);
		this.handleAnnouncedOffset(offset);
		await this.waitForOffset(offset, deadline);
		return heldOffset(this.#reader);
	}

	/** Applies the state of another host if it is newer; returns the offset that this host now holds. */
	acceptState(state: State): number {
		this.#setReader(applyState(this.#reader, state));
		return heldOffset(this.#reader);
	}

	/** Records that another host of the zone has a version in force, so that this host need not wait for the zone to hold it. */
	recordZoneVersion(version: number): void {
		this.#zoneVersion = Math.max(this.#zoneVersion, version);
		this.#stateChanged.notify();
	}

	/** Waits until the version or a later one is in force on this host; resolves to false if it is not at the deadline. */
	async waitForVersion(version: number, deadline: number): Promise<boolean> {
		return this.#stateChanged.waitFor(() => (this.#inForce?.version ?? -1) >= version, deadline);
	}

	/** Waits until this host holds the records up to an offset; resolves to false if it does not at the deadline. */
	async waitForOffset(offset: number, deadline: number): Promise<boolean> {
		return this.#stateChanged.waitFor(() => heldOffset(this.#reader) >= offset, deadline);
	}

	/** Waits for the verdict on a command; resolves to undefined if this host holds none at the deadline. */
	async waitForVerdict(commandId: string, deadline: number): Promise<Verdict | undefined> {
		await this.#stateChanged.waitFor(() => findVerdict(this.held, commandId) !== undefined, deadline);
		return findVerdict(this.held, commandId);
	}

	async #run(): Promise<void> {
		while (!this.#stopping.signal.aborted) {
			// eslint-disable-next-line no-await-in-loop
			await this.#readOnce();
		}
	}

	async #readOnce(): Promise<void> {
		const {stream, clock, random, pollMs = defaultPollMs} = this.#options;
		const startedAt = clock.now();
		const isCatchingUp = nextOffset(this.#reader) < this.#logView.next || !this.#hasReachedLogEnd;
		const from = nextOffset(this.#reader);
		const result = await stream.read({from, limit: pageLimit, waitDeadline: isCatchingUp ? startedAt : startedAt + pollMs});
		if (this.#stopping.signal.aborted) {
			return;
		}

		if (result.isOk()) {
			this.#consecutiveFailures = 0;
			this.#lastFailure = undefined;
			this.#applyPage(result.value);
			if (nextOffset(this.#reader) === from) {
				await this.#pause(startedAt + emptyReadPauseMs);
			}

			return;
		}

		this.#consecutiveFailures += 1;
		this.#lastFailure = result.error;
		if (!this.#isProven) {
			void this.#fetchFromPeers();
		}

		await this.#pause(retryDeadline(clock.now(), this.#consecutiveFailures, random));
	}

	/** Waits until a deadline, an announced offset or the stop. */
	async #pause(deadline: number): Promise<void> {
		await waitUntil(this.#options.clock, deadline, this.#pauseInterrupt.signal);
		if (!this.#stopping.signal.aborted) {
			this.#pauseInterrupt = new AbortController();
		}
	}

	#applyPage(page: StreamPage): void {
		this.#logView = updateLogView(this.#logView, page, this.#options.clock.now());
		const reader = applyPage(this.#reader, page, this.#options.rules);
		const isAtEnd = nextOffset(reader) >= page.next;
		if (reader.search && isAtEnd) {
			void this.#fetchFromPeers();
		}

		this.#hasReachedLogEnd ||= isAtEnd && !reader.search;
		this.#setReader(reader, page.records);
	}

	/** Fetches and applies the states of the peers, one round at a time. */
	async #fetchFromPeers(): Promise<void> {
		if (this.#isFetchingFromPeers) {
			return;
		}

		this.#isFetchingFromPeers = true;
		try {
			for (const peer of await this.#options.fetchFromPeers()) {
				this.#applyPeerState(peer);
			}
		} catch (error) {
			this.#warn('the configuration could not be fetched from the peers', error);
		}

		this.#havePeersAnswered = true;
		this.#isFetchingFromPeers = false;
		this.#setReader(this.#reader);
	}

	#applyPeerState(peer: PeerState): void {
		if (peer.isProven && peer.zone === this.#options.zone) {
			this.#provenZoneHosts.add(peer.hostId);
		}

		this.acceptState(peer.state);
	}

	/** Replaces the reader by one that holds at least as much, and puts its version in force once the state is proven fresh. */
	#setReader(reader: Reader, records: readonly StreamRecord[] = []): void {
		this.#recentRecords = addRecentRecords(this.#recentRecords, records, {before: heldOffset(this.#reader), after: heldOffset(reader)});
		this.#reader = reader;
		this.#isProven ||= (this.#options.freshnessProof ?? isProvenFresh)({
			hasReachedLogEnd: this.#hasReachedLogEnd,
			havePeersAnswered: this.#havePeersAnswered,
			provenZoneHosts: this.#provenZoneHosts,
			zoneSize: this.#options.zoneSize(),
		});
		this.#stateChanged.notify();
		if (this.#isProven) {
			void this.#putNewestInForce();
		}
	}

	/** Puts the newest version in force after it was sent to the zone; skips versions that are replaced in the meantime. */
	async #putNewestInForce(): Promise<void> {
		if (this.#isPuttingInForce) {
			return;
		}

		this.#isPuttingInForce = true;
		while (this.held.configuration.version > (this.#inForce?.version ?? -1) && !this.#stopping.signal.aborted) {
			const state = this.held;
			const {offset} = state.configuration;
			// eslint-disable-next-line no-await-in-loop
			await this.#replicateToZone(state);
			this.#recentRecords = this.#recentRecords.filter(record => record.offset > offset);
			this.#putInForce(state.configuration);
		}

		this.#isPuttingInForce = false;
	}

	async #replicateToZone(state: State): Promise<void> {
		const deadline = this.#options.clock.now() + replicationTimeoutMs;
		const {version} = state.configuration;
		try {
			await Promise.race([
				this.#options.replicateToZone?.(state, deadline, this.#recentRecords),
				this.#stateChanged.waitFor(() => this.#zoneVersion >= version, deadline),
			]);
		} catch (error) {
			this.#warn('a version could not be sent to the zone', error);
		}
	}

	#putInForce(configuration: Configuration): void {
		this.#inForce = configuration;
		try {
			this.#options.onChange(configuration);
		} catch (error) {
			this.#warn('the callback for a version in force failed', error);
		}

		this.#stateChanged.notify();
	}

	#warn(message: string, error: unknown): void {
		const logger = this.#options.logger ?? silentLogger;
		logger.warn(message, {failure: toFailure(error, {step, peer: 'configuration'}).message});
	}
}
