/** The dispatchers to which this host can hand jobs. */
import {cellName, cellOf} from './cells.js';
import {type DispatchService} from './dispatch-service.js';
import {type Choice} from './election.js';
import {toJobMessage, type DispatcherHandle} from './job-client.js';
import {type HostRecord} from './messages.js';
import {type PeerLink} from './peer-link.js';

/** What the table of dispatchers looks at. */
export type ContactsOptions = {
	self: HostRecord;
	now: () => number;
	/** For each cell of the own zone, its dispatcher as chosen last. */
	choices: () => readonly Choice[];
	/** The dispatchers on this host, by cell. */
	services: () => ReadonlyMap<number, DispatchService>;
	/** The open link to a host. */
	link: (name: string) => PeerLink | undefined;
	/** Open links to the dispatchers of other zones. */
	otherDispatchers: () => PeerLink[];
};

/** Dispatchers in reach, and those who wait for a change of them. */
export class Contacts {
	private readonly options: ContactsOptions;
	private readonly waiters = new Set<() => void>();

	constructor(options: ContactsOptions) {
		this.options = options;
	}

	/**
	 * The dispatcher to which a job belongs: that of its cell of the own zone, which is the same at every host of the zone, so
	 * that copies of a job meet. Without one, another of the own zone, or else of another zone.
	 */
	forJob(id: string): DispatcherHandle | undefined {
		const cellCount = this.options.choices().length;
		const home = cellOf(id, cellCount);
		for (let step = 0; step < cellCount; step += 1) {
			const found = this.ofOwnZone((home + step) % cellCount);
			if (found !== undefined) {
				return found;
			}
		}

		for (const link of this.options.otherDispatchers()) {
			const [claim] = link.status?.claims ?? [];
			if (claim !== undefined) {
				return this.byLink(link, claim.cell);
			}
		}

		return undefined;
	}

	/** The dispatcher of a cell by its name. */
	ofCell(name: string): DispatcherHandle | undefined {
		for (const cell of this.options.choices().keys()) {
			if (this.ownName(cell) === name) {
				return this.ofOwnZone(cell);
			}
		}

		for (const link of this.options.otherDispatchers()) {
			for (const {cell} of link.status?.claims ?? []) {
				if (cellName(link.record.zone, cell, link.status?.cellCount ?? 1) === name) {
					return this.byLink(link, cell);
				}
			}
		}

		return undefined;
	}

	/** Whether any dispatcher is in reach. */
	hasAny(): boolean {
		return this.forJob('') !== undefined;
	}

	/** Resolves when the dispatchers in reach may have changed, or at a time. */
	async untilChange(deadline: number): Promise<void> {
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

	/** The dispatchers in reach may have changed. */
	noteChange(): void {
		for (const wake of this.waiters) {
			wake();
		}
	}

	private ownName(cell: number): string {
		return cellName(this.options.self.zone, cell, this.options.choices().length);
	}

	private ofOwnZone(cell: number): DispatcherHandle | undefined {
		const {self} = this.options;
		const service = this.options.services().get(cell);
		if (service !== undefined) {
			return {
				name: self.name,
				cell: this.ownName(cell),
				claim: service.token,
				submit(job, settle) {
					service.dispatcher.submit(job, settle);
				},
				cancel(id) {
					service.dispatcher.cancel(id);
				},
			};
		}

		const choice = this.options.choices()[cell];
		const link = choice?.kind === 'follow' ? this.options.link(choice.record.name) : undefined;
		return link === undefined ? undefined : this.byLink(link, cell);
	}

	/** The dispatcher of a cell at the end of a link; undefined where that doesn't dispatch for it by its own word. */
	private byLink(link: PeerLink, cell: number): DispatcherHandle | undefined {
		const {record, status} = link;
		const claim = status?.claims.find(other => other.cell === cell);
		if (status === undefined || claim === undefined) {
			return undefined;
		}

		const name = cellName(record.zone, cell, status.cellCount);
		return {
			name: record.name,
			cell: name,
			claim: claim.token,
			submit: (job, settle) => {
				link.submit(toJobMessage(job, name, this.options.now()), settle);
			},
			cancel(id) {
				link.cancel(id);
			},
		};
	}
}
