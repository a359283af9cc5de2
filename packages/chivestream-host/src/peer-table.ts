/** The other entry hosts: their records, the links to them, and which of them dispatch. */
import {type MinionRecord, type CellCapacity} from 'chivestream-dispatch';
import {type Declarations} from 'chivestream-platform';
import {cellName} from './cells.js';
import {reachability, type Candidate} from './election.js';
import {type Report} from './host-log.js';
import {type HostRecord, type HostStatus, type PeerReply} from './messages.js';
import {PeerLink} from './peer-link.js';
import {hostTiming} from './timing.js';

/** Dependencies and callbacks of the peer table. */
export type PeerTableOptions = {
	/** The record of this host. */
	self: HostRecord;
	/** The monotonic clock, in milliseconds. */
	now: () => number;
	report: Report;
	/** The status of this host. */
	localStatus: () => HostStatus;
	/** Called when a link, a claim or the list of dispatchers may have changed. */
	onChange: () => void;
	/** Called with declarations that another host has sent. */
	onDeclarations: (declarations: Declarations) => void;
	/** Called with the minions that a dispatcher has sent, and with its record. */
	onMinions: (from: HostRecord, minions: MinionRecord[]) => void;
};

/** Key of the link to a seed, until the name of its host has been received. */
const seedName = (address: string): string => `seed ${address}`;

/** Holds links to all hosts of the local zone and to the dispatchers of each other zone, or to one of its hosts until those are known. */
export class PeerTable {
	private readonly options: PeerTableOptions;
	private readonly knownHosts = new Map<string, HostRecord>();
	private readonly links = new Map<string, PeerLink>();
	/** Dispatchers of other zones, by host name, as received from hosts of any zone. */
	private readonly dispatchers = new Map<string, HostRecord>();
	/** For each other zone, how many attempts to reach one of its hosts have failed, and when the current attempt started. */
	private readonly failedAttempts = new Map<string, number>();
	private readonly lastAttemptAt = new Map<string, number>();
	private isClosed = false;

	constructor(options: PeerTableOptions) {
		this.options = options;
	}

	/** Opens links to the seeds of the settings. */
	addSeeds(addresses: readonly string[]): void {
		for (const address of addresses) {
			if (address !== this.options.self.address && !this.links.has(seedName(address))) {
				this.openLink({
					name: seedName(address), zone: '', address, bornAt: 0, cpuShare: 0,
				});
			}
		}
	}

	/** Records hosts reported by peers or by the store; newer incarnations replace older ones. */
	addHosts(records: readonly HostRecord[]): void {
		for (const record of records) {
			const before = this.knownHosts.get(record.name);
			if (record.name === this.options.self.name || (before !== undefined && before.bornAt >= record.bornAt)) {
				continue;
			}

			this.knownHosts.set(record.name, record);
			const link = this.links.get(record.name);
			if (link !== undefined && link.record.address !== record.address) {
				link.close();
				this.links.delete(record.name);
			}

			this.options.report('host-known', {
				peer: record.name, zone: record.zone, address: record.address, bornAt: record.bornAt,
			});
		}

		this.updateLinks();
	}

	/** All known hosts, including this one. */
	allHosts(): HostRecord[] {
		return [this.options.self, ...this.knownHosts.values()];
	}

	/** The other hosts of the local zone, without those that have been silent for too long. */
	candidates(): Candidate[] {
		const now = this.options.now();
		const candidates: Candidate[] = [];
		for (const record of this.knownHosts.values()) {
			const link = this.links.get(record.name);
			if (record.zone !== this.options.self.zone || link === undefined) {
				continue;
			}

			const linkReachability = link.reachability();
			if (linkReachability === reachability.silent && now - link.lastReplyAt() > hostTiming.silentHostExpiryMs) {
				continue;
			}

			candidates.push({
				record, reachability: linkReachability, claims: link.status?.claims ?? [], cellCount: link.status?.cellCount ?? 1, isLeaving: link.status?.isLeaving ?? false,
			});
		}

		return candidates;
	}

	/** Number of known hosts of the local zone, including this one. */
	zoneSize(): number {
		return [...this.knownHosts.values()].filter(record => record.zone === this.options.self.zone).length + 1;
	}

	/** Whether each known host of the local zone has either answered or refused the connection; false while no other host is known. */
	isZoneDiscovered(): boolean {
		for (const record of this.knownHosts.values()) {
			const link = this.links.get(record.name);
			if (record.zone === this.options.self.zone && (link === undefined || link.reachability() === reachability.silent)) {
				return false;
			}
		}

		return this.knownHosts.size > 0;
	}

	/** The link to a host, if it is open. */
	link(name: string): PeerLink | undefined {
		const link = this.links.get(name);
		return link?.isOpen() ? link : undefined;
	}

	/** Open links to the dispatchers of other zones, except those that are shutting down. */
	otherZoneDispatchers(): PeerLink[] {
		const openLinks: PeerLink[] = [];
		for (const record of this.dispatchers.values()) {
			const link = this.link(record.name);
			if (link?.status !== undefined && link.status.claims.length > 0 && !link.status.isLeaving) {
				openLinks.push(link);
			}
		}

		return openLinks;
	}

	/** Free capacity of the cells for which other hosts dispatch, as last reported. Redirecting a job there reduces it at once. */
	remoteCells(): CellCapacity[] {
		const localZoneLinks = [...this.knownHosts.values()].filter(record => record.zone === this.options.self.zone)
			.flatMap(record => this.link(record.name) ?? []).filter(link => link.status?.isLeaving === false);
		return [...localZoneLinks, ...this.otherZoneDispatchers()].flatMap(({record, status}) => (status?.claims ?? []).map(claim => ({
			cell: cellName(record.zone, claim.cell, status?.cellCount ?? 1),
			get freeTasks() {
				return claim.freeTasks;
			},
			set freeTasks(count: number) {
				claim.freeTasks = count;
			},
		})));
	}

	/** Records of the reachable dispatchers of other zones. */
	otherZoneDispatcherRecords(): HostRecord[] {
		return this.otherZoneDispatchers().map(link => link.record);
	}

	/** Sends this host's status to the dispatchers, which drop the jobs of silent hosts. */
	sendStatus(status: HostStatus): void {
		for (const link of this.links.values()) {
			if ((link.status?.claims.length ?? 0) > 0) {
				link.sendStatus(status);
			}
		}
	}

	/** Closes silent streams, and tries the next host of each zone in which no host is reachable. */
	tick(): void {
		const reachableZones = new Set<string>();
		for (const link of this.links.values()) {
			link.tick();
			if (link.isOpen()) {
				reachableZones.add(link.record.zone);
			}
		}

		const now = this.options.now();
		for (const [zone, attemptedAt] of this.lastAttemptAt) {
			if (!reachableZones.has(zone) && now - attemptedAt >= hostTiming.reconnectDelayMs) {
				this.lastAttemptAt.set(zone, now);
				this.failedAttempts.set(zone, (this.failedAttempts.get(zone) ?? 0) + 1);
				this.updateLinks();
			}
		}
	}

	/** Opens missing links and closes those that are no longer needed. */
	updateLinks(): void {
		if (this.isClosed) {
			return;
		}

		const requiredNames = new Set<string>();
		const hostsByZone = new Map<string, HostRecord[]>();
		for (const record of this.knownHosts.values()) {
			if (record.zone === this.options.self.zone) {
				requiredNames.add(record.name);
			} else {
				hostsByZone.set(record.zone, [...hostsByZone.get(record.zone) ?? [], record]);
			}
		}

		for (const [zone, records] of hostsByZone) {
			this.lastAttemptAt.set(zone, this.lastAttemptAt.get(zone) ?? this.options.now());
			for (const record of this.representatives(zone, records)) {
				requiredNames.add(record.name);
			}
		}

		for (const name of requiredNames) {
			const record = this.knownHosts.get(name);
			if (record !== undefined && !this.links.has(name)) {
				this.openLink(record);
			}
		}

		for (const [name, link] of this.links) {
			const isResolvedSeed = link.record.name !== name && this.knownHosts.has(link.record.name);
			if ((this.knownHosts.has(name) && !requiredNames.has(name)) || isResolvedSeed) {
				link.close();
				this.links.delete(name);
			}
		}
	}

	close(): void {
		this.isClosed = true;
		for (const link of this.links.values()) {
			link.close();
		}
	}

	/** The hosts of another zone to keep links to: its dispatchers, or else one host at a time until one answers. */
	private representatives(zone: string, records: HostRecord[]): HostRecord[] {
		const dispatchers = records.filter(record => this.dispatchers.has(record.name));
		if (dispatchers.length > 0) {
			return dispatchers;
		}

		records.sort((one, other) => other.cpuShare - one.cpuShare || (one.name < other.name ? -1 : 1));
		return [records[(this.failedAttempts.get(zone) ?? 0) % records.length]!];
	}

	private openLink(record: HostRecord): void {
		this.links.set(record.name, new PeerLink({
			record,
			now: this.options.now,
			helloContent: () => ({host: this.options.self, status: this.options.localStatus()}),
			onReply: (link, reply) => {
				this.handleReply(link, reply);
			},
			onChange: (link, change) => {
				this.handleLinkChange(record, link, change);
			},
		}));
	}

	private handleReply(link: PeerLink, reply: PeerReply): void {
		switch (reply.type) {
			case 'hello': {
				this.addHosts([reply.host, ...reply.hosts]);
				break;
			}

			case 'dispatchers': {
				this.handleDispatchers(link, reply.hosts);
				break;
			}

			case 'declarations': {
				this.options.onDeclarations(reply.declarations);
				break;
			}

			case 'minions': {
				this.options.onMinions(link.record, reply.minions);
				break;
			}

			case 'status':
			case 'settled':
		}
	}

	/** Applies the dispatchers that a host has reported. For its own zone, they replace the recorded ones, except those whose link still
	 * shows a claim; for other zones they count only while none is recorded. */
	private handleDispatchers(link: PeerLink, hosts: readonly HostRecord[]): void {
		this.addHosts(hosts);
		const reportedNames = new Set(hosts.map(host => host.name));
		for (const [name, record] of this.dispatchers) {
			const stillDispatches = (this.link(name)?.status?.claims.length ?? 0) > 0;
			if (record.zone === link.record.zone && !reportedNames.has(name) && !stillDispatches) {
				this.dispatchers.delete(name);
			}
		}

		const zonesWithDispatcher = new Set([...this.dispatchers.values()].map(record => record.zone));
		for (const host of hosts) {
			const isAccepted = host.zone === link.record.zone || !zonesWithDispatcher.has(host.zone);
			if (host.zone !== this.options.self.zone && isAccepted) {
				this.dispatchers.set(host.name, this.knownHosts.get(host.name) ?? host);
			}
		}

		this.updateLinks();
		this.options.onChange();
	}

	private handleLinkChange(record: HostRecord, link: PeerLink, change: string): void {
		if (this.links.get(record.name) !== link) {
			// This table has closed the link itself.
			return;
		}

		if (change === 'up' || change === 'status') {
			if (link.record.zone !== this.options.self.zone && link.status !== undefined && link.status.claims.length > 0) {
				this.dispatchers.set(link.record.name, link.record);
			}
		} else if (link.record.zone !== this.options.self.zone) {
			// Unless others are recorded, the next host of that zone is tried, which may report a current dispatcher.
			this.dispatchers.delete(link.record.name);
		}

		if (change !== 'status') {
			this.options.report('link', {peer: record.name, change});
		}

		this.updateLinks();
		this.options.onChange();
	}
}
