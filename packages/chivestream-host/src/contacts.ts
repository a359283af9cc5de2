/** The dispatchers to which this host can hand jobs. */
import {type DispatchService} from './dispatch-service.js';
import {type Choice} from './election.js';
import {toMessage, type DispatcherContact} from './job-client.js';
import {type HostRecord} from './messages.js';
import {type PeerLink} from './peer-link.js';

/** What the table of dispatchers looks at. */
export type ContactsOptions = {
	self: HostRecord;
	now: () => number;
	/** The own zone's dispatcher as chosen last. */
	choice: () => Choice;
	/** The dispatcher on this host, if it is one. */
	service: () => DispatchService | undefined;
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

	/** A dispatcher to hand jobs to: of a given zone, or the own zone's or else another's. */
	dispatcher(zone?: string): DispatcherContact | undefined {
		if (zone === undefined || zone === this.options.self.zone) {
			const own = this.ownZone();
			if (own !== undefined || zone !== undefined) {
				return own;
			}
		}

		const link = this.options.otherDispatchers().find(other => zone === undefined || other.record.zone === zone);
		return link === undefined ? undefined : this.byLink(link.record.name, link.record.zone);
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

	private ownZone(): DispatcherContact | undefined {
		const {self} = this.options;
		const service = this.options.service();
		if (service !== undefined) {
			return {
				name: self.name,
				zone: self.zone,
				claim: service.token,
				submit(job, settle) {
					service.dispatcher.submit(job, settle);
				},
				cancel(id) {
					service.dispatcher.cancel(id);
				},
			};
		}

		const choice = this.options.choice();
		return choice.kind === 'follow' ? this.byLink(choice.record.name, self.zone) : undefined;
	}

	/** The dispatcher on the host of an open link; undefined where it doesn't dispatch by its own word. */
	private byLink(name: string, zone: string): DispatcherContact | undefined {
		const link = this.options.link(name);
		if (link?.status === undefined || link.status.claim === 0) {
			return undefined;
		}

		return {
			name,
			zone,
			claim: link.status.claim,
			submit: (job, settle) => {
				link.submit(toMessage(job, this.options.now()), settle);
			},
			cancel(id) {
				link.cancel(id);
			},
		};
	}
}
