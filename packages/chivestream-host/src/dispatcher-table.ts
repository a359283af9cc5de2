/** The dispatchers to which this host can submit jobs. */
import {type Withdrawal} from 'chivestream-dispatch';
import {cellName, cellOf} from './cells.js';
import {type DispatchService} from './dispatch-service.js';
import {type DispatcherChoice} from './election.js';
import {toJobMessage, type DispatcherHandle} from './job-client.js';
import {originOf, type HostRecord} from './messages.js';
import {type PeerLink} from './peer-link.js';
import {hostTiming} from './timing.js';

/** Dependencies of the dispatcher table. */
export type DispatcherTableOptions = {
	/** The record of this host. */
	self: HostRecord;
	/** The monotonic clock, in milliseconds. */
	now: () => number;
	/** The latest choice of dispatcher for each cell of the local zone. */
	choices: () => readonly DispatcherChoice[];
	/** The dispatch services on this host, by cell number. */
	services: () => ReadonlyMap<number, DispatchService>;
	/** The link to a host, if it is open. */
	link: (name: string) => PeerLink | undefined;
	/** Open links to the dispatchers of other zones. */
	otherZoneDispatchers: () => PeerLink[];
	/** Until when the jobs of this host's own callers may run, in milliseconds of the monotonic clock. */
	callerLeaseEndsAt: () => number;
	/** Length of the lease on a job, in milliseconds. */
	jobLeaseMs: () => number;
};

/** Finds reachable dispatchers, and notifies code that waits for a change of them. */
export class DispatcherTable {
	private readonly options: DispatcherTableOptions;
	/** When the dispatcher of each cell of the local zone was last reachable. */
	private readonly reachableAt = new Map<number, number>();
	private readonly startedAt: number;
	private readonly waiters = new Set<() => void>();

	constructor(options: DispatcherTableOptions) {
		this.options = options;
		this.startedAt = options.now();
	}

	/**
	 * Returns the dispatcher of the job's home cell in the local zone, which is the same on every host of the zone, so that
	 * copies of a job reach the same dispatcher. If that one has been unreachable for a while, returns the dispatcher of another cell of
	 * the zone, or else one of another zone. A caller whose connection was reset may have sent the job to another host just before, which
	 * has reached the dispatcher. A host that has just started may be that caller's next one, so all dispatchers count as reachable then.
	 */
	forJob(id: string): DispatcherHandle | undefined {
		const homeCell = cellOf(id, this.options.choices().length);
		const home = this.ofLocalCell(homeCell);
		if (home !== undefined) {
			return home;
		}

		const waitEndsAt = (this.reachableAt.get(homeCell) ?? this.startedAt) + hostTiming.homeDispatcherWaitMs;
		return this.options.now() < waitEndsAt ? undefined : this.elsewhere(homeCell);
	}

	/** Records which dispatchers of the local zone are reachable. Called periodically and after each change. */
	recordReachable(): void {
		for (const cell of this.options.choices().keys()) {
			if (this.ofLocalCell(cell) !== undefined) {
				this.reachableAt.set(cell, this.options.now());
			}
		}
	}

	/** Returns the dispatcher of the cell with this name, if it is reachable. */
	ofCell(name: string): DispatcherHandle | undefined {
		for (const cell of this.options.choices().keys()) {
			if (this.localCellName(cell) === name) {
				return this.ofLocalCell(cell);
			}
		}

		for (const link of this.options.otherZoneDispatchers()) {
			for (const {cell} of link.status?.claims ?? []) {
				if (cellName(link.record.zone, cell, link.status?.cellCount ?? 1) === name) {
					return this.viaLink(link, cell);
				}
			}
		}

		return undefined;
	}

	/** Whether any dispatcher is reachable. */
	hasAny(): boolean {
		return this.nearest(0) !== undefined;
	}

	/** Whether the dispatcher of each cell of the local zone is reachable. */
	hasAllLocal(): boolean {
		return [...this.options.choices().keys()].every(cell => this.ofLocalCell(cell) !== undefined);
	}

	/** Resolves when the reachable dispatchers may have changed, at the latest at a deadline on the monotonic clock. */
	async waitForChange(deadline: number): Promise<void> {
		await new Promise<void>(resolve => {
			const finish = () => {
				clearTimeout(timer);
				this.waiters.delete(finish);
				resolve();
			};

			const timer = setTimeout(finish, Math.max(1, deadline - this.options.now()));
			this.waiters.add(finish);
		});
	}

	/** Resolves all pending `waitForChange` calls. */
	notifyChange(): void {
		for (const wake of this.waiters) {
			wake();
		}
	}

	/** Returns the dispatcher of the first reachable cell of the local zone from one on, or else one of another zone. */
	private nearest(homeCell: number): DispatcherHandle | undefined {
		const cellCount = this.options.choices().length;
		for (let step = 0; step < cellCount; step += 1) {
			const found = this.ofLocalCell((homeCell + step) % cellCount);
			if (found !== undefined) {
				return found;
			}
		}

		for (const link of this.options.otherZoneDispatchers()) {
			const [claim] = link.status?.claims ?? [];
			if (claim !== undefined) {
				return this.viaLink(link, claim.cell);
			}
		}

		return undefined;
	}

	/** Returns the nearest dispatcher for a job of a cell of the local zone that has none in reach. */
	private elsewhere(homeCell: number): DispatcherHandle | undefined {
		const found = this.nearest(homeCell);
		return found === undefined ? undefined : {...found, homeCell: this.localCellName(homeCell)};
	}

	private localCellName(cell: number): string {
		return cellName(this.options.self.zone, cell, this.options.choices().length);
	}

	private ofLocalCell(cell: number): DispatcherHandle | undefined {
		const {
			self, now, callerLeaseEndsAt, jobLeaseMs,
		} = this.options;
		const service = this.options.services().get(cell);
		if (service !== undefined) {
			let withdrawal: Withdrawal | undefined;
			return {
				name: self.name,
				cell: this.localCellName(cell),
				claim: service.token,
				submit(job, {settle, onTaskCrashed}) {
					if (callerLeaseEndsAt() < now() + jobLeaseMs() - hostTiming.jobLeaseRenewalMs) {
						service.askIdleMinions();
					}

					withdrawal = service.dispatcher.submit(job, settle, onTaskCrashed, {
						origin: originOf(self),
						leaseEndsAt: callerLeaseEndsAt,
					});
				},
				cancel() {
					withdrawal?.cancel();
				},
			};
		}

		const choice = this.options.choices()[cell];
		const link = choice?.kind === 'follow' ? this.options.link(choice.record.name) : undefined;
		return link === undefined ? undefined : this.viaLink(link, cell);
	}

	/** Returns the dispatcher of a cell on a linked host; undefined if that host has reported no claim to the cell. */
	private viaLink(link: PeerLink, cell: number): DispatcherHandle | undefined {
		const {record, status} = link;
		const claim = status?.claims.find(other => other.cell === cell);
		if (status === undefined || claim === undefined) {
			return undefined;
		}

		let submission = 0;
		const target = {cell: cellName(record.zone, cell, status.cellCount), claim: claim.token};
		return {
			name: record.name,
			...target,
			// Earlier builds leave it out, and once the claim is no longer new.
			asksForJobs: claim.asksForJobs ?? false,
			submit: (job, callbacks) => {
				submission = job.submission;
				link.submit(toJobMessage(job, target, this.options.now()), callbacks);
			},
			cancel(id) {
				link.cancel(id, submission);
			},
		};
	}
}
