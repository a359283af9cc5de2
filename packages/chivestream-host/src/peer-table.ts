/** The other entry hosts: their records, the links to them, and which of them dispatch. */
import {type CellJobs, type MinionRecord, type CellCapacity} from 'chivestream-dispatch';
import {type Declarations} from 'chivestream-platform';
import {cellName} from './cells.js';
import {isPreferred, reachability, type Candidate} from './election.js';
import {type Report} from './host-log.js';
import {type CancelAnswer} from './job-cancellation.js';
import {type HostRecord, type HostStatus, type PeerReply} from './messages.js';
import {PeerLink} from './peer-link.js';
import {hostTiming, isInFuture} from './timing.js';
import {selectZoneLinks} from './zone-links.js';

/** Dependencies and callbacks of the peer table. */
export type PeerTableOptions = {
	/** The record of this host. */
	self: HostRecord;
	/** The monotonic clock, in milliseconds. */
	now: () => number;
	report: Report;
	/** Returns the current status of this host, to be sent when a link opens. */
	localStatus: () => HostStatus;
	/** Number of cells into which the local zone is divided. */
	cellCount: () => number;
	/** Called when a link, a claim or the list of dispatchers may have changed. */
	onChange: () => void;
	/** Called with the declarations (routes and the size limit of request bodies) that another host has sent. */
	onDeclarations: (declarations: Declarations) => void;
	/** Called with the registered minions that a dispatcher has sent, and with the record of its host. */
	onMinions: (from: HostRecord, minions: MinionRecord[]) => void;
	/** Called with the jobs of the claimed cell that the dispatchers on another host hold. */
	onJobsOfCell: (claim: number, jobs: readonly CellJobs[]) => void;
	/** Length of the lease on a submitted job, in milliseconds. */
	jobLeaseMs: () => number;
	/** Cancels a job on this host, for a host to which this one has a link. */
	cancelHere: (id: string) => CancelAnswer;
};

/** Interval at which unreachable candidates are replaced, in milliseconds. */
const linkUpdateIntervalMs = 500;

/** A claim whose dispatcher has sent its minions. */
type AnnouncedClaim = {
	/** When the dispatcher last reported the claim, on the monotonic clock. */
	heardAt: number;
	/** Unregistered minions on which its tasks may be running. */
	unregistered: readonly MinionRecord[];
};

/** How long after the end of a claim its unregistered minions are passed on, in milliseconds; longer than any lease. */
const announcementMaxAgeMs = 2500;

/** Maximum number of claims whose dispatchers are remembered. */
const maxAnnouncedClaims = 64;

/** Key of the link to a seed address whose host has not sent its name yet. */
const seedKey = (address: string): string => `seed ${address}`;

/**
 * Maintains links to the dispatchers of the local zone and the hosts that can replace them, and to the dispatchers of every other
 * zone. While the dispatchers of another zone are unknown, it links to one host of that zone.
 */
export class PeerTable {
	private readonly options: PeerTableOptions;
	private readonly knownHosts = new Map<string, HostRecord>();
	/** Links by host name, or by seed key. */
	private readonly links = new Map<string, PeerLink>();
	/** Dispatchers of other zones, by host name, as received from hosts of any zone. */
	private readonly dispatchers = new Map<string, HostRecord>();
	/** Dispatchers of the local zone, by host name, as received from hosts of this zone. */
	private readonly localDispatchers = new Map<string, HostRecord>();
	/** Claims whose minions were received, by token. */
	private readonly announcedClaims = new Map<number, AnnouncedClaim>();
	/** Number of failed attempts to reach a host of each other zone. */
	private readonly failedAttempts = new Map<string, number>();
	/** When the current attempt to reach a host of each other zone started. */
	private readonly lastAttemptAt = new Map<string, number>();
	private isClosed = false;
	private linksUpdatedAt = Number.NEGATIVE_INFINITY;

	constructor(options: PeerTableOptions) {
		this.options = options;
	}

	/** Opens links to the seed addresses from the settings. */
	addSeeds(addresses: readonly string[]): void {
		for (const address of addresses) {
			if (address !== this.options.self.address && !this.links.has(seedKey(address))) {
				this.connect({
					name: seedKey(address), zone: '', address, bornAt: 0, cpuShare: 0,
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

			// No later incarnation would replace it. Hosts of other builds pass on what they have read.
			if (isInFuture(record.bornAt)) {
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

	/** Records the status that another host has sent over its own link to this one, so that a claim is noticed without a link to it. */
	recordStatus(record: HostRecord, status: HostStatus): void {
		this.addHosts([record]);
		if (record.zone === this.options.self.zone && status.claims.length > 0 && !this.localDispatchers.has(record.name)) {
			this.localDispatchers.set(record.name, record);
			this.updateLinks();
		}
	}

	/** Whether a host dispatches, as last reported. */
	isDispatcher(name: string): boolean {
		return (this.links.get(name)?.status?.claims.length ?? 0) > 0;
	}

	/** When the dispatcher with a claim last reported the claim, if it has sent its minions; undefined otherwise. On the monotonic clock. */
	claimHeardAt(claim: number): number | undefined {
		return this.announcedClaims.get(claim)?.heardAt;
	}

	/** Unregistered minions of the local zone on which tasks of its dispatchers may be running. */
	unregisteredMinions(): MinionRecord[] {
		const oldestAt = this.options.now() - announcementMaxAgeMs;
		const minions = [...this.announcedClaims.values()].filter(({heardAt}) => heardAt > oldestAt).flatMap(({unregistered}) => unregistered);
		return [...new Map(minions.map(minion => [minion.id, minion])).values()];
	}

	/** All known hosts, including this one. */
	allHosts(): HostRecord[] {
		return [this.options.self, ...this.knownHosts.values()];
	}

	/** The other hosts of the local zone that take part in the choice of dispatchers: all but those that have been silent for too long. */
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

	/** The other hosts of the local zone, without those that have not replied for long. One without a link counts as reachable. */
	zoneHosts(): HostRecord[] {
		return [...this.knownHosts.values()].filter(record => record.zone === this.options.self.zone
			&& (this.links.get(record.name)?.unreachableMs() ?? 0) < hostTiming.silentHostExpiryMs);
	}

	/** Number of hosts of the local zone to which this one keeps links, including this one. */
	linkedZoneSize(): number {
		return [...this.links.values()].filter(link => link.record.zone === this.options.self.zone).length + 1;
	}

	/** Number of known hosts of the local zone, including this one. */
	zoneSize(): number {
		return [...this.knownHosts.values()].filter(record => record.zone === this.options.self.zone).length + 1;
	}

	/**
	 * Whether the state of each linked host of the local zone is known: it has answered, or it has refused the connection because its
	 * process has ended. False while no other host is known.
	 */
	isZoneDiscovered(): boolean {
		for (const link of this.links.values()) {
			if (link.record.zone === this.options.self.zone && link.reachability() === reachability.silent) {
				return false;
			}
		}

		return this.knownHosts.size > 0;
	}

	/** Returns the link to a host if it is open. */
	findOpenLink(name: string): PeerLink | undefined {
		const link = this.links.get(name);
		return link?.isOpen() ? link : undefined;
	}

	/** All open links. */
	openLinks(): PeerLink[] {
		return [...this.links.values()].filter(link => link.isOpen());
	}

	/** Open links to the dispatchers of other zones, except those that are shutting down. */
	otherZoneDispatchers(): PeerLink[] {
		const openLinks: PeerLink[] = [];
		for (const record of this.dispatchers.values()) {
			const link = this.findOpenLink(record.name);
			if (link?.status !== undefined && link.status.claims.length > 0 && !link.status.isLeaving) {
				openLinks.push(link);
			}
		}

		return openLinks;
	}

	/**
	 * Free capacity of the cells for which other hosts dispatch, as last reported. Assigning `freeTasks` changes the recorded claim, so
	 * that a redirect counts before the next status arrives.
	 */
	cellsOfOtherHosts(): CellCapacity[] {
		const localZoneLinks = [...this.knownHosts.values()].filter(record => record.zone === this.options.self.zone)
			.flatMap(record => this.findOpenLink(record.name) ?? []).filter(link => link.status?.isLeaving === false);
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

	/** Records of the dispatchers of other zones that have open links and are not shutting down. */
	otherZoneDispatcherRecords(): HostRecord[] {
		return this.otherZoneDispatchers().map(link => link.record);
	}

	/** Hosts that ask this one to pass on the minions of their zone. */
	hostsThatAskForMinions(): HostRecord[] {
		return [...this.knownHosts.values()].filter(({name}) => this.findOpenLink(name)?.status?.minionsFrom === this.options.self.name);
	}

	/** Names of the hosts that can pass on the minions as the store answers them: those of the local zone first, and of these the
	 * dispatchers, which read the minions anyway. */
	minionSources(): string[] {
		const rank = ({record, status}: PeerLink) => (record.zone === this.options.self.zone ? 0 : 2) + (status?.claims.length === 0 ? 1 : 0);
		return [...this.knownHosts.values()].flatMap(({name}) => this.findOpenLink(name) ?? [])
			.filter(link => link.status?.reachesStore === true && !link.status.isLeaving && link.reachability() === reachability.alive)
			.toSorted((one, other) => rank(one) - rank(other) || (one.record.name < other.record.name ? -1 : 1))
			.map(({record}) => record.name);
	}

	/** Sends this host's status to the dispatchers. A dispatcher cancels the jobs of a host whose status stops arriving. */
	sendStatus(status: HostStatus): void {
		for (const link of this.links.values()) {
			if ((link.status?.claims.length ?? 0) > 0) {
				link.sendStatus(status);
			}
		}
	}

	/** Reopens links whose host no longer responds, and tries the next host of each zone in which no host is reachable. */
	tick(): void {
		const reachableZones = new Set<string>();
		for (const link of this.links.values()) {
			link.tick();
			if (link.isOpen()) {
				reachableZones.add(link.record.zone);
			}
		}

		const now = this.options.now();
		if (now - this.linksUpdatedAt >= linkUpdateIntervalMs) {
			this.updateLinks();
		}

		for (const [zone, attemptedAt] of this.lastAttemptAt) {
			if (!reachableZones.has(zone) && now - attemptedAt >= hostTiming.reconnectDelayMs) {
				this.lastAttemptAt.set(zone, now);
				this.failedAttempts.set(zone, (this.failedAttempts.get(zone) ?? 0) + 1);
				this.updateLinks();
			}
		}
	}

	/** Opens missing links and closes those that are no longer needed. A dispatcher that stops gives its jobs back over the link, so it
	 * stays open until then. */
	updateLinks(): void {
		if (this.isClosed) {
			return;
		}

		this.linksUpdatedAt = this.options.now();
		const hostsByZone = new Map<string, HostRecord[]>();
		for (const record of this.knownHosts.values()) {
			const hosts = hostsByZone.get(record.zone) ?? [];
			hosts.push(record);
			hostsByZone.set(record.zone, hosts);
		}

		const localHosts = hostsByZone.get(this.options.self.zone) ?? [];
		hostsByZone.delete(this.options.self.zone);
		const requiredNames = new Set(this.localHostsToLink(localHosts).map(record => record.name));
		for (const [zone, records] of hostsByZone) {
			this.lastAttemptAt.set(zone, this.lastAttemptAt.get(zone) ?? this.options.now());
			for (const record of this.hostsToLink(zone, records)) {
				requiredNames.add(record.name);
			}
		}

		for (const name of requiredNames) {
			const record = this.knownHosts.get(name);
			if (record !== undefined && !this.links.has(name)) {
				this.connect(record);
			}
		}

		for (const [name, link] of this.links) {
			// The host of the seed address has sent its name, under which it gets a link of its own where one is needed.
			const isResolvedSeed = link.record.name !== name && this.knownHosts.has(link.record.name);
			const isUnneeded = this.knownHosts.has(name) && !requiredNames.has(name) && !link.hasPending();
			if (isUnneeded || isResolvedSeed) {
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

	/** Records the unregistered minions of a dispatcher of the local zone; a host that only passes on what it has read sends none. */
	private recordAnnouncement({record, status}: PeerLink, unregistered: readonly MinionRecord[] | undefined): void {
		if (unregistered !== undefined && record.zone === this.options.self.zone) {
			for (const {token} of status?.claims ?? []) {
				this.recordClaim(token, unregistered);
			}
		}
	}

	private recordClaim(token: number, unregistered: readonly MinionRecord[]): void {
		this.announcedClaims.set(token, {heardAt: this.options.now(), unregistered});
		if (this.announcedClaims.size > maxAnnouncedClaims) {
			const [oldest] = this.announcedClaims.keys();
			this.announcedClaims.delete(oldest!);
		}
	}

	private recordLocalDispatcher(record: HostRecord, isDispatcher: boolean): void {
		if (isDispatcher) {
			this.localDispatchers.set(record.name, record);
		} else {
			this.localDispatchers.delete(record.name);
		}
	}

	/** Selects the hosts of the local zone to link to. */
	private localHostsToLink(records: readonly HostRecord[]): HostRecord[] {
		return selectZoneLinks(records.map(record => {
			const unreachableMs = this.links.get(record.name)?.unreachableMs() ?? 0;
			const isDispatcher = this.localDispatchers.has(record.name) && unreachableMs < hostTiming.silentHostExpiryMs;
			return {record, isDispatcher, unreachableMs};
		}), this.options.cellCount());
	}

	/** Selects the hosts of another zone to link to: its dispatchers, or else one host at a time until one answers. */
	private hostsToLink(zone: string, records: HostRecord[]): HostRecord[] {
		const dispatchers = records.filter(record => this.dispatchers.has(record.name));
		if (dispatchers.length > 0) {
			return dispatchers;
		}

		// The order in which the zone prefers its hosts as dispatchers.
		records.sort((one, other) => isPreferred(one, other) ? -1 : 1);
		return [records[(this.failedAttempts.get(zone) ?? 0) % records.length]!];
	}

	private connect(record: HostRecord): void {
		this.links.set(record.name, new PeerLink({
			record,
			now: this.options.now,
			jobLeaseMs: this.options.jobLeaseMs,
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
				this.recordAnnouncement(link, reply.unregistered);
				this.options.onMinions(link.record, reply.minions);
				break;
			}

			case 'jobs-of-cell': {
				this.options.onJobsOfCell(reply.claim, reply.jobs);
				break;
			}

			case 'cancel-job': {
				link.answerCancelJob(reply.request, this.options.cancelHere(reply.id));
				break;
			}

			case 'status': {
				for (const {token} of reply.status.claims) {
					const announced = this.announcedClaims.get(token);
					if (announced !== undefined) {
						announced.heardAt = this.options.now();
					}
				}

				break;
			}

			// Handled by the link.
			case 'settled':
			case 'task-crashed':
			case 'cancel-job-answer':
		}
	}

	/**
	 * Applies a list of dispatchers that a host has sent. For the sender's zone, the list replaces the recorded dispatchers, but a
	 * dispatcher whose open link shows a claim is kept. For another zone, the list is used only if no dispatcher of that zone is
	 * recorded.
	 */
	private handleDispatchers(link: PeerLink, hosts: readonly HostRecord[]): void {
		this.addHosts(hosts);
		const reportedNames = new Set(hosts.map(host => host.name));
		for (const [name, record] of this.dispatchers) {
			const stillDispatches = (this.findOpenLink(name)?.status?.claims.length ?? 0) > 0;
			if (record.zone === link.record.zone && !reportedNames.has(name) && !stillDispatches) {
				this.dispatchers.delete(name);
			}
		}

		const zonesWithDispatcher = new Set([...this.dispatchers.values()].map(record => record.zone));
		for (const host of hosts) {
			const isAccepted = host.zone === link.record.zone || !zonesWithDispatcher.has(host.zone);
			if (host.zone === this.options.self.zone) {
				if (link.record.zone === host.zone && host.name !== this.options.self.name) {
					this.localDispatchers.set(host.name, this.knownHosts.get(host.name) ?? host);
				}
			} else if (isAccepted) {
				this.dispatchers.set(host.name, this.knownHosts.get(host.name) ?? host);
			}
		}

		this.updateLinks();
		this.options.onChange();
	}

	/** Handles `up`, `status`, or the reason for which a stream has ended or couldn't be opened; see `PeerLinkOptions.onChange`. */
	private handleLinkChange(record: HostRecord, link: PeerLink, change: string): void {
		if (this.links.get(record.name) !== link) {
			// This table has closed the link itself.
			return;
		}

		if (change === 'up' || change === 'status') {
			const claimCount = link.status?.claims.length ?? 0;
			if (link.record.zone === this.options.self.zone) {
				this.recordLocalDispatcher(link.record, claimCount > 0);
			} else if (claimCount > 0) {
				this.dispatchers.set(link.record.name, link.record);
			}
		} else if (link.record.zone === this.options.self.zone) {
			if (link.reachability() === reachability.dead) {
				this.localDispatchers.delete(link.record.name);
			}
		} else {
			// If no other dispatcher of the zone is recorded, `updateLinks` links to one of its hosts to receive the current dispatchers.
			this.dispatchers.delete(link.record.name);
		}

		if (change !== 'status') {
			this.options.report('link', {peer: record.name, change});
		}

		this.updateLinks();
		this.options.onChange();
	}
}
