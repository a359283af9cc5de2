/** Follows the configuration stream in one task and puts accepted versions in force, never an earlier one. */
import {
	type Clock, type Configuration, type Failure, type Logger, type Random, silentLogger, toFailure, waitUntil,
} from 'chivestream-core';
import {type Stream, type StreamPage, type StreamRecord} from 'chivestream-log';
import {retryDeadline} from './backoff.js';
import {initialLogView, type LogView, viewPage} from './log-view.js';
import {isProven, type PeerState, type Proof} from './proof.js';
import {addRecentRecords} from './recent-records.js';
import {
	applyOffer, applyPage, applyState, heldOffset, initialReader, nextOffset, type Reader, type ReaderRules,
} from './reader.js';
import {findVerdict, type State, type Verdict} from './state.js';
import {createWaiters} from './waiters.js';

/** What a follower works with. Functions and lengths that have defaults may be left out. */
export type FollowerOptions = {
	stream: Stream;
	clock: Clock;
	random: Random;
	logger?: Logger;
	/** The zone of this host. */
	zone: string;
	/** Entry hosts known in the zone, this one included. */
	zoneSize: () => number;
	/** What the other entry hosts hold, from those that answer before a deadline of its own. */
	fetchFromPeers: () => Promise<PeerState[]>;
	/**
	Offers a version to the zone before it comes into force; resolves once enough hosts hold it or at the deadline. The records
	lead to it from the version before; other hosts pass them to `hold`.
	*/
	confirmHeld?: (state: State, deadline: number, records: readonly StreamRecord[]) => Promise<void>;
	/** Called with each version that comes into force here, in order. */
	onChange: (configuration: Configuration) => void;
	/** How long one read waits for news, in milliseconds. */
	pollMs?: number;
	/** Rule for the start. */
	proof?: Proof;
	rules?: ReaderRules;
};

const pageLimit = 500;
const defaultPollMs = 2000;
const confirmMs = 300;
const noticeGraceMs = 150;
const quietPauseMs = 50;
const step = 'follow-configuration';

/** The task that follows the configuration stream. */
export class Follower {
	readonly #options: FollowerOptions;
	readonly #waiters;
	readonly #stopping = new AbortController();
	readonly #zoneAnswers = new Set<string>();
	#wake = new AbortController();
	#reader: Reader = initialReader;
	#inForce: Configuration | undefined;
	#recent: readonly StreamRecord[] = [];
	#zoneVersion = -1;
	#hasReachedLogEnd = false;
	#havePeersAnswered = false;
	#isProven = false;
	#isAskingPeers = false;
	#isPublishing = false;
	#failures = 0;
	#lastFailure: Failure | undefined;
	#logView: LogView = initialLogView;

	constructor(options: FollowerOptions) {
		this.#options = options;
		this.#waiters = createWaiters(options.clock);
	}

	/** The configuration in force here; undefined until this host has shown that it is not behind. */
	get inForce(): Configuration | undefined {
		return this.#inForce;
	}

	/** The newest state that this host holds, for its peers; it may be ahead of what is in force. */
	get held(): State {
		return this.#reader.state;
	}

	/** Whether this host has shown that it is not behind. */
	get isProven(): boolean {
		return this.#isProven;
	}

	/** Why the last read failed; undefined while reads succeed. */
	get lastFailure(): Failure | undefined {
		return this.#lastFailure;
	}

	/** The log's bounds and newest snapshot. */
	get logView(): LogView {
		return this.#logView;
	}

	/** Starts the task, which ends after `stop`; close the log's client to end a read that is still waiting. */
	start(): void {
		void this.#askPeers();
		void this.#run();
	}

	/** Stops the task; what is in force stays readable. */
	stop(): void {
		this.#stopping.abort();
		this.#wake.abort();
	}

	/** Takes news of an offset: reads at once, and asks the peers if the log does not show it soon. */
	notice(offset: number): void {
		if (offset <= heldOffset(this.#reader)) {
			return;
		}

		this.#wake.abort();
		this.#options.clock.at(this.#options.clock.now() + noticeGraceMs, () => {
			if (offset > heldOffset(this.#reader)) {
				void this.#askPeers();
			}
		});
	}

	/** Takes records that another host read, or that this one appended; gives the offset that it now holds. */
	offer(records: readonly StreamRecord[]): number {
		this.#take(applyOffer(this.#reader, records, this.#options.rules), records);
		this.notice(records.at(-1)?.offset ?? -1);
		return heldOffset(this.#reader);
	}

	/** Takes records that another host offers and waits until this one holds the offset; gives the offset it holds at the deadline. */
	async hold(offset: number, records: readonly StreamRecord[], deadline: number): Promise<number> {
		this.offer(records);
		this.notice(offset);
		await this.waitForOffset(offset, deadline);
		return heldOffset(this.#reader);
	}

	/** Takes the state of another host if it holds more; gives the offset that this host now holds. */
	adopt(state: State): number {
		this.#take(applyState(this.#reader, state));
		return heldOffset(this.#reader);
	}

	/** Notes that another host of the zone has a version in force, so that it need not be offered to the zone once more. */
	confirm(version: number): void {
		this.#zoneVersion = Math.max(this.#zoneVersion, version);
		this.#waiters.notify();
	}

	/** Whether the version, or a later one, came into force here before the deadline. */
	async waitForVersion(version: number, deadline: number): Promise<boolean> {
		return this.#waiters.until(() => (this.#inForce?.version ?? -1) >= version, deadline);
	}

	/** Whether the records up to an offset were read before the deadline. */
	async waitForOffset(offset: number, deadline: number): Promise<boolean> {
		return this.#waiters.until(() => heldOffset(this.#reader) >= offset, deadline);
	}

	/** The verdict on a command, once it was read, or undefined at the deadline. */
	async waitForVerdict(commandId: string, deadline: number): Promise<Verdict | undefined> {
		await this.#waiters.until(() => findVerdict(this.held, commandId) !== undefined, deadline);
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
			this.#failures = 0;
			this.#lastFailure = undefined;
			this.#takePage(result.value);
			if (nextOffset(this.#reader) === from) {
				await this.#pause(startedAt + quietPauseMs);
			}

			return;
		}

		this.#failures += 1;
		this.#lastFailure = result.error;
		if (!this.#isProven) {
			void this.#askPeers();
		}

		await this.#pause(retryDeadline(clock.now(), this.#failures, random));
	}

	/** Waits until a deadline, a notice or the stop. */
	async #pause(deadline: number): Promise<void> {
		await waitUntil(this.#options.clock, deadline, this.#wake.signal);
		if (!this.#stopping.signal.aborted) {
			this.#wake = new AbortController();
		}
	}

	#takePage(page: StreamPage): void {
		this.#logView = viewPage(this.#logView, page, this.#options.clock.now());
		const reader = applyPage(this.#reader, page, this.#options.rules);
		const isAtEnd = nextOffset(reader) >= page.next;
		if (reader.search && isAtEnd) {
			void this.#askPeers();
		}

		this.#hasReachedLogEnd ||= isAtEnd && !reader.search;
		this.#take(reader, page.records);
	}

	/** Asks the peers what they hold, one round at a time. */
	async #askPeers(): Promise<void> {
		if (this.#isAskingPeers) {
			return;
		}

		this.#isAskingPeers = true;
		try {
			for (const peer of await this.#options.fetchFromPeers()) {
				this.#takePeerState(peer);
			}
		} catch (error) {
			this.#warn('peers could not be asked for their configuration', error);
		}

		this.#havePeersAnswered = true;
		this.#isAskingPeers = false;
		this.#take(this.#reader);
	}

	#takePeerState(peer: PeerState): void {
		if (peer.isProven && peer.zone === this.#options.zone) {
			this.#zoneAnswers.add(peer.hostId);
		}

		this.adopt(peer.state);
	}

	/** Goes on with a reader that holds at least as much as the one before. */
	#take(reader: Reader, records: readonly StreamRecord[] = []): void {
		this.#recent = addRecentRecords(this.#recent, records, {before: heldOffset(this.#reader), after: heldOffset(reader)});
		this.#reader = reader;
		this.#isProven ||= (this.#options.proof ?? isProven)({
			hasReachedLogEnd: this.#hasReachedLogEnd,
			havePeersAnswered: this.#havePeersAnswered,
			zoneAnswers: this.#zoneAnswers,
			zoneSize: this.#options.zoneSize(),
		});
		this.#waiters.notify();
		if (this.#isProven) {
			void this.#publish();
		}
	}

	/** Puts the newest version in force, after the zone was offered it; versions that were passed meanwhile are left out. */
	async #publish(): Promise<void> {
		if (this.#isPublishing) {
			return;
		}

		this.#isPublishing = true;
		while (this.held.configuration.version > (this.#inForce?.version ?? -1) && !this.#stopping.signal.aborted) {
			const state = this.held;
			const {offset} = state.configuration;
			// eslint-disable-next-line no-await-in-loop
			await this.#confirmHeld(state);
			this.#recent = this.#recent.filter(record => record.offset > offset);
			this.#putInForce(state.configuration);
		}

		this.#isPublishing = false;
	}

	async #confirmHeld(state: State): Promise<void> {
		const deadline = this.#options.clock.now() + confirmMs;
		const {version} = state.configuration;
		try {
			await Promise.race([
				this.#options.confirmHeld?.(state, deadline, this.#recent),
				this.#waiters.until(() => this.#zoneVersion >= version, deadline),
			]);
		} catch (error) {
			this.#warn('the zone could not be offered a version', error);
		}
	}

	#putInForce(configuration: Configuration): void {
		this.#inForce = configuration;
		try {
			this.#options.onChange(configuration);
		} catch (error) {
			this.#warn('a version in force could not be passed on', error);
		}

		this.#waiters.notify();
	}

	#warn(message: string, error: unknown): void {
		const logger = this.#options.logger ?? silentLogger;
		logger.warn(message, {failure: toFailure(error, {step, peer: 'configuration'}).message});
	}
}
