/** Claims and releases cells of the local zone, and records which host dispatches for each of the other cells. */
import {createRandom, randomInteger, type Random} from 'chivestream-core';
import {type CellCapacity, type MinionRecord} from 'chivestream-dispatch';
import {DispatchService, type DispatchServiceOptions} from './dispatch-service.js';
import {
	cellCountFor, cellName, cellOf, fnv1a,
} from './cells.js';
import {
	chooseDispatchers, reachability, shouldHandOver, type Candidate, type DispatcherChoice,
} from './election.js';
import {type Report} from './host-log.js';
import {type CellClaim, type HostRecord} from './messages.js';
import {discoveryDeadline, hostTiming, reclaimDelayMs} from './timing.js';
import {claimToken, tokenSaltCount} from './tokens.js';

/** Dependencies and callbacks of the claim manager. */
export type ClaimManagerOptions = {
	/** Bounds that the platform sets; a change takes effect with the next claim. */
	bounds: () => Pick<DispatchServiceOptions, 'leaseMs' | 'farFactor'>;
	/** The record of this host. */
	self: HostRecord;
	/** The monotonic clock, in milliseconds. */
	now: () => number;
	/** By how much this process has recently handled its events late, in milliseconds. */
	recentDelayMs: () => number;
	report: Report;
	/** Whether this host is shutting down. */
	isLeaving: () => boolean;
	/** The other hosts of the zone. */
	candidates: () => Candidate[];
	/** Records of the other hosts of the zone, without those that have not replied for long. */
	zoneHosts: () => HostRecord[];
	/** Number of hosts of the zone with which this one exchanges status, this one included. */
	zoneSize: () => number;
	canReachStore: () => boolean;
	/** When the list of hosts was first read from the store, on the monotonic clock; undefined before that. */
	hostsKnownAt: () => number | undefined;
	/** Whether each known host of the zone has either answered or refused the connection. */
	isZoneDiscovered: () => boolean;
	/** Whether every minion that was alive at a time is in the table of minions, as far as it reaches the store. */
	isRegistryComplete: (at: number) => boolean;
	/** Whether the dispatcher with this claim has sent its minions to this host, and was heard of until a time. */
	knowsMinionsOfClaim: (claim: number, until: number) => boolean;
	/** Registered minions of the zone. */
	minions: () => MinionRecord[];
	/** Unregistered minions of the zone on which tasks of other dispatchers may be running. */
	unregisteredMinions: () => readonly MinionRecord[];
	/** Whether the registered minions are known as they were after `followMinions` was called; `setMinions` is called once they are. */
	areMinionsCurrent: () => boolean;
	/** Free capacity of the cells for which other hosts dispatch, nearest first. */
	cellsOfOtherHosts: () => CellCapacity[];
	/** Starts to follow the records of the minions, which goes on until the signal aborts. */
	followMinions: (signal: AbortSignal) => void;
	/** Called when an answer of a minion has been read that it sent at this time or later. */
	onAnswer: (sentAt: number) => void;
	/** Called when this host has claimed or released a cell. */
	onClaimChange: () => void;
	/** Called when a claim was lost to another host and the choice of dispatchers must be re-evaluated. */
	onClaimLost: () => void;
};

/** Added to the token time each time a minion has received a higher token, in milliseconds. */
const tokenStepMs = 10_000;

/** The random seed is below this value. */
const seedRange = 2 ** 31;

/** Minimum time from a claim or handover to the next handover, in milliseconds. The links to all hosts of the zone are open by
 * then. */
const minHandoverIntervalMs = 3000;

/** Manages the claims of this host to cells of its zone. */
export class ClaimManager {
	/** The dispatch services of the cells that this host has claimed, by cell number. */
	readonly services = new Map<number, DispatchService>();
	/** The chosen dispatcher of each cell, by cell number. */
	choices: DispatcherChoice[] = [{kind: 'none'}];
	private readonly options: ClaimManagerOptions;
	private readonly random: Random;
	private readonly startedAt: number;
	private followController: AbortController | undefined;
	/** When this host was last fenced while it reached no other host of the zone. */
	private fencedWhileIsolatedAt = Number.NEGATIVE_INFINITY;
	/** How often in a row this host was fenced from a cell, and when it may claim the cell again. */
	private readonly fences = new Map<number, {count: number; fencedAt: number; reclaimAt: number}>();
	/** When this host last claimed or handed over a cell. */
	private lastClaimChangeAt = Number.NEGATIVE_INFINITY;
	private tokenOffsetMs = 0;

	constructor(options: ClaimManagerOptions) {
		this.options = options;
		this.startedAt = options.now();
		// Hosts that start in the same millisecond must not draw the same tokens.
		this.random = createRandom((Date.now() + fnv1a(options.self.name)) % seedRange);
	}

	/** The number of cells into which the zone is divided. */
	get cellCount(): number {
		return this.choices.length;
	}

	/** Returns the dispatch service of the cell with this name, if this host has claimed it. */
	serviceOfCell(name: string): DispatchService | undefined {
		for (const [cell, service] of this.services) {
			if (this.nameOfCell(cell) === name) {
				return service;
			}
		}

		return undefined;
	}

	/** Returns this host's claims as they are reported to other hosts. */
	claims(): CellClaim[] {
		return [...this.services].map(([cell, {token, dispatcher}]) => ({
			cell, token, freeTasks: dispatcher.spareTaskCount(), ...(dispatcher.asksForJobs() && {asksForJobs: true}),
		}));
	}

	/** Chooses the dispatcher of each cell again, and claims or releases cells accordingly. */
	evaluate(): void {
		const {now, self, report} = this.options;
		const others = this.options.candidates();
		const isAfterDeadline = now() > discoveryDeadline(this.startedAt, this.options.hostsKnownAt(), this.options.zoneSize());
		// A division is for good, so hosts count only when those that have started together are known to each other.
		this.updateCellCount(others, isAfterDeadline ? [self, ...this.options.zoneHosts()] : []);
		const canReachStore = this.options.canReachStore();
		const choices = chooseDispatchers(this.localCandidate(), others, canReachStore, this.cellCount);
		const isDiscoveryOver = this.options.isZoneDiscovered() || isAfterDeadline;
		const isBackingOff = now() < this.fencedWhileIsolatedAt + hostTiming.fencedBackoffMs;
		for (const [cell, choice] of choices.entries()) {
			if (describeChoice(choice) !== describeChoice(this.choices[cell]!)) {
				report('dispatcher-chosen', {
					cell,
					choice: choice.kind,
					dispatcher: choice.kind === 'follow' ? choice.record.name : undefined,
					canReachStore,
					others: others.map(other => `${other.record.name} ${other.reachability} ${other.claims.map(claim => `${claim.cell}:${claim.token}`).join(' ')}`),
				});
			}

			this.choices[cell] = choice;
			if (!(choice.kind === 'follow' && choice.record.name === self.name)) {
				this.releaseCell(cell, 'another host dispatches');
			}

			if (choice.kind === 'claim' && isDiscoveryOver && !isBackingOff && now() >= (this.fences.get(cell)?.reclaimAt ?? 0)) {
				this.claimCell(cell);
			}
		}

		this.handOver(others);
	}

	/** Passes the registered minions of the zone on to the dispatch services of their cells. */
	setMinions(minions: readonly MinionRecord[]): void {
		for (const [cell, service] of this.services) {
			service.setMinions(this.minionsOfCell(minions, cell));
		}
	}

	/** Runs the time-based checks of the claimed cells. */
	tick(): void {
		for (const service of this.services.values()) {
			service.tick();
		}
	}

	/** Releases all cells. Running tasks continue under the next dispatchers; jobs are released to the hosts that submitted them. */
	releaseAll(reason: string): void {
		for (const cell of this.services.keys()) {
			this.releaseCell(cell, reason);
		}
	}

	/** Cancels a job at a caller's request; returns whether a dispatcher of this host had it or runs of it. */
	cancelJob(id: string): boolean {
		let isFound = false;
		for (const {dispatcher} of this.services.values()) {
			isFound = dispatcher.cancelJob(id) || isFound;
		}

		return isFound;
	}

	private localCandidate(): Candidate {
		const {self, isLeaving} = this.options;
		return {
			record: self, claims: [...this.services].map(([cell, {token}]) => ({cell, token})), cellCount: this.cellCount, isLeaving: isLeaving(), reachability: reachability.alive,
		};
	}

	/** Divides the zone into more cells when its minions or hosts require it or another host reports more cells. */
	private updateCellCount(others: readonly Candidate[], hosts: readonly HostRecord[]): void {
		const minions = this.options.minions().length;
		const cellCount = cellCountFor(minions, hosts, Math.max(this.cellCount, ...others.map(other => other.cellCount)));
		if (cellCount > this.cellCount) {
			this.options.report('zone-divided', {
				cells: cellCount, before: this.cellCount, minions, hosts: hosts.length,
			});
			this.releaseAll('the number of cells has changed');
			this.choices = Array.from({length: cellCount}, () => ({kind: 'none'}));
		}
	}

	private nameOfCell(cell: number): string {
		return cellName(this.options.self.zone, cell, this.cellCount);
	}

	private minionsOfCell(minions: readonly MinionRecord[], cell: number): MinionRecord[] {
		return minions.filter(minion => cellOf(minion.id, this.cellCount) === cell);
	}

	/** Releases the most recently claimed cell if another host should take it over. */
	private handOver(others: readonly Candidate[]): void {
		const {now} = this.options;
		const lastCell = [...this.services.keys()].at(-1);
		if (lastCell !== undefined && now() > this.lastClaimChangeAt + minHandoverIntervalMs && shouldHandOver(this.localCandidate(), others)) {
			this.lastClaimChangeAt = now();
			this.releaseCell(lastCell, 'handed over to a host with a lower load');
		}
	}

	private releaseCell(cell: number, reason: string): void {
		const service = this.services.get(cell);
		if (service === undefined) {
			return;
		}

		this.options.report('dispatching-ended', {cell, token: service.token, reason});
		this.services.delete(cell);
		if (this.services.size === 0) {
			this.followController?.abort();
			this.followController = undefined;
		}

		this.options.onClaimChange();
		service.release();
	}

	private claimCell(cell: number): void {
		const {
			self, now, recentDelayMs, report,
		} = this.options;
		const {leaseMs, farFactor} = this.options.bounds();
		const claimedAt = now();
		const token = claimToken(Date.now() + this.tokenOffsetMs, randomInteger(this.random, tokenSaltCount));
		const service = new DispatchService({
			token,
			leaseMs,
			farFactor,
			now,
			recentDelayMs,
			random: this.random,
			report,
			isRegistryComplete: () => this.options.isRegistryComplete(claimedAt),
			knowsMinionsOfClaim: (claim, until) => this.options.knowsMinionsOfClaim(claim, until),
			otherCells: () => this.otherCells(cell),
			onAnswer: sentAt => {
				this.options.onAnswer(sentAt);
			},
			onFenced: () => {
				this.handleFenced(cell, service);
			},
		});
		const minions = this.minionsOfCell(this.options.minions(), cell);
		report('dispatching', {cell, token, minions: minions.length});
		this.services.set(cell, service);
		this.choices[cell] = {kind: 'follow', record: self};
		this.lastClaimChangeAt = now();
		if (this.followController === undefined) {
			this.followController = new AbortController();
			this.options.followMinions(this.followController.signal);
		}

		// After a pause of this process, or when the dispatcher before was turned away by the store, a capacity may have shrunk since.
		// Their runs are read at once all the same.
		const isCurrent = this.options.areMinionsCurrent();
		const unregistered = this.minionsOfCell(this.options.unregisteredMinions(), cell);
		service.setMinions(isCurrent ? minions : [], isCurrent ? unregistered : [...minions, ...unregistered]);

		this.options.onClaimChange();
	}

	/** Free capacity of all other cells: those of this host first, which need no message between hosts. */
	private otherCells(cell: number): CellCapacity[] {
		const localCells: CellCapacity[] = [];
		for (const [other, service] of this.services) {
			if (other !== cell) {
				localCells.push({cell: this.nameOfCell(other), freeTasks: service.dispatcher.spareTaskCount()});
			}
		}

		return [...localCells, ...this.options.cellsOfOtherHosts()];
	}

	/** Releases a cell after one of its minions has received a higher token: another host of the zone dispatches to it as well. */
	private handleFenced(cell: number, service: DispatchService): void {
		if (this.services.get(cell) !== service) {
			return;
		}

		const others = this.options.candidates();
		const alive = others.filter(other => other.reachability === reachability.alive).length;
		const isIsolated = alive === 0 && others.length > 0;
		this.tokenOffsetMs += tokenStepMs;
		const now = this.options.now();
		if (isIsolated) {
			this.fencedWhileIsolatedAt = now;
		}

		const previous = this.fences.get(cell);
		const count = previous !== undefined && now < previous.fencedAt + hostTiming.fencesInRowMs ? previous.count + 1 : 1;
		this.fences.set(cell, {count, fencedAt: now, reclaimAt: now + reclaimDelayMs(count)});

		this.releaseCell(cell, isIsolated ? 'fenced by an unreachable host' : 'a minion has received a higher token');
		this.options.onClaimLost();
	}
}

const describeChoice = (choice: DispatcherChoice): string => choice.kind === 'follow' ? choice.record.name : `(${choice.kind})`;
