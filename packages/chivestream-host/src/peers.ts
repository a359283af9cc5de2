/** The other entry hosts: who they are, what they last told, and which of them dispatch. */
import {type MinionRecord, type CellCapacity} from 'chivestream-dispatch';
import {type Declarations} from 'chivestream-platform';
import {cellName} from './cells.js';
import {contact, type Candidate} from './election.js';
import {type Report} from './host-log.js';
import {type HostRecord, type HostStatus, type Reply} from './messages.js';
import {PeerLink} from './peer-link.js';
import {hostTiming} from './timing.js';

/** What the table of peers needs, and what it tells. */
export type PeersOptions = {
	self: HostRecord;
	now: () => number;
	report: Report;
	describeSelf: () => HostStatus;
	noteChange: () => void;
	noteDeclarations: (declarations: Declarations) => void;
	noteMinions: (from: HostRecord, minions: MinionRecord[]) => void;
};

/** The name under which the link to a seed is kept until its host has told its own. */
const seedName = (address: string): string => `seed ${address}`;

/** Links to all hosts of the own zone, and to the dispatchers of each other zone: to one of its hosts until they are known. */
export class Peers {
	private readonly options: PeersOptions;
	private readonly known = new Map<string, HostRecord>();
	private readonly links = new Map<string, PeerLink>();
	/** Dispatchers of other zones by name, as their zones have told. */
	private readonly dispatchers = new Map<string, HostRecord>();
	/** For each other zone, how many of its hosts were tried in vain, and when the present one was tried. */
	private readonly tries = new Map<string, number>();
	private readonly triedAt = new Map<string, number>();
	private isClosed = false;

	constructor(options: PeersOptions) {
		this.options = options;
	}

	/** Looks for hosts at the addresses that the settings name. */
	addSeeds(addresses: readonly string[]): void {
		for (const address of addresses) {
			if (address !== this.options.self.address && !this.links.has(seedName(address))) {
				this.open({
					name: seedName(address), zone: '', address, bornAt: 0, cpuShare: 0,
				});
			}
		}
	}

	/** Takes in hosts that others or the store have named; newer lifetimes replace older ones. */
	add(records: readonly HostRecord[]): void {
		for (const record of records) {
			const before = this.known.get(record.name);
			if (record.name === this.options.self.name || (before !== undefined && before.bornAt >= record.bornAt)) {
				continue;
			}

			this.known.set(record.name, record);
			const link = this.links.get(record.name);
			if (link !== undefined && link.record.address !== record.address) {
				link.close();
				this.links.delete(record.name);
			}

			this.options.report('host-known', {
				peer: record.name, zone: record.zone, address: record.address, bornAt: record.bornAt,
			});
		}

		this.refresh();
	}

	/** All known hosts with this one. */
	all(): HostRecord[] {
		return [this.options.self, ...this.known.values()];
	}

	/** The other hosts of the own zone. */
	candidates(): Candidate[] {
		const now = this.options.now();
		const candidates: Candidate[] = [];
		for (const record of this.known.values()) {
			const link = this.links.get(record.name);
			if (record.zone !== this.options.self.zone || link === undefined) {
				continue;
			}

			const way = link.contact();
			if (way === contact.silent && now - link.heardAt() > hostTiming.forgetMs) {
				continue;
			}

			candidates.push({
				record, contact: way, claims: link.status?.claims ?? [], cellCount: link.status?.cellCount ?? 1, isLeaving: link.status?.isLeaving ?? false,
			});
		}

		return candidates;
	}

	/** Hosts of the own zone that are known, this one included. */
	zoneSize(): number {
		return [...this.known.values()].filter(record => record.zone === this.options.self.zone).length + 1;
	}

	/** Whether all known hosts of the zone have been reached or have refused. */
	hasHeardZone(): boolean {
		for (const record of this.known.values()) {
			const link = this.links.get(record.name);
			if (record.zone === this.options.self.zone && (link === undefined || link.contact() === contact.silent)) {
				return false;
			}
		}

		return this.known.size > 0;
	}

	/** The open link to a host. */
	link(name: string): PeerLink | undefined {
		const link = this.links.get(name);
		return link?.isOpen() ? link : undefined;
	}

	/** Open links to the dispatchers of other zones. */
	otherDispatchers(): PeerLink[] {
		const found: PeerLink[] = [];
		for (const record of this.dispatchers.values()) {
			const link = this.link(record.name);
			if (link?.status !== undefined && link.status.claims.length > 0 && !link.status.isLeaving) {
				found.push(link);
			}
		}

		return found;
	}

	/** Room of the cells for which other hosts dispatch, as they last told of it; a job that is sent there takes some of it at once. */
	otherCells(): CellCapacity[] {
		const ownZone = [...this.known.values()].filter(record => record.zone === this.options.self.zone)
			.flatMap(record => this.link(record.name) ?? []).filter(link => link.status?.isLeaving === false);
		return [...ownZone, ...this.otherDispatchers()].flatMap(({record, status}) => (status?.claims ?? []).map(claim => ({
			cell: cellName(record.zone, claim.cell, status?.cellCount ?? 1),
			get freeTasks() {
				return claim.freeTasks;
			},
			set freeTasks(count: number) {
				claim.freeTasks = count;
			},
		})));
	}

	/** Dispatchers of other zones as this host knows them. */
	dispatcherRecords(): HostRecord[] {
		return this.otherDispatchers().map(link => link.record);
	}

	/** Sends the host's status to the dispatchers, which drop the jobs of hosts that say nothing. */
	tell(status: HostStatus): void {
		for (const link of this.links.values()) {
			if ((link.status?.claims.length ?? 0) > 0) {
				link.tell(status);
			}
		}
	}

	/** Looks for hosts that have gone silent, and tries the next host of each zone of which none is in reach. */
	tick(): void {
		const zonesInReach = new Set<string>();
		for (const link of this.links.values()) {
			link.tick();
			if (link.isOpen()) {
				zonesInReach.add(link.record.zone);
			}
		}

		const now = this.options.now();
		for (const [zone, triedAt] of this.triedAt) {
			if (!zonesInReach.has(zone) && now - triedAt >= hostTiming.reconnectMs) {
				this.triedAt.set(zone, now);
				this.tries.set(zone, (this.tries.get(zone) ?? 0) + 1);
				this.refresh();
			}
		}
	}

	/** Opens the links that are missing and closes those that are not needed any more. */
	refresh(): void {
		if (this.isClosed) {
			return;
		}

		const wanted = new Set<string>();
		const byZone = new Map<string, HostRecord[]>();
		for (const record of this.known.values()) {
			if (record.zone === this.options.self.zone) {
				wanted.add(record.name);
			} else {
				byZone.set(record.zone, [...byZone.get(record.zone) ?? [], record]);
			}
		}

		for (const [zone, records] of byZone) {
			this.triedAt.set(zone, this.triedAt.get(zone) ?? this.options.now());
			for (const record of this.representatives(zone, records)) {
				wanted.add(record.name);
			}
		}

		for (const name of wanted) {
			const record = this.known.get(name);
			if (record !== undefined && !this.links.has(name)) {
				this.open(record);
			}
		}

		for (const [name, link] of this.links) {
			const isNamedSeed = link.record.name !== name && this.known.has(link.record.name);
			if ((this.known.has(name) && !wanted.has(name)) || isNamedSeed) {
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

	/** The hosts of another zone to stay in touch with: its dispatchers, or one host after the other until one answers. */
	private representatives(zone: string, records: HostRecord[]): HostRecord[] {
		const dispatchers = records.filter(record => this.dispatchers.has(record.name));
		if (dispatchers.length > 0) {
			return dispatchers;
		}

		records.sort((one, other) => other.cpuShare - one.cpuShare || (one.name < other.name ? -1 : 1));
		return [records[(this.tries.get(zone) ?? 0) % records.length]!];
	}

	private open(record: HostRecord): void {
		this.links.set(record.name, new PeerLink({
			record,
			now: this.options.now,
			describeSelf: () => ({host: this.options.self, status: this.options.describeSelf()}),
			noteReply: (link, reply) => {
				this.noteReply(link, reply);
			},
			noteChange: (link, change) => {
				this.noteLinkChange(record, link, change);
			},
		}));
	}

	private noteReply(link: PeerLink, reply: Reply): void {
		switch (reply.type) {
			case 'hello': {
				this.add([reply.host, ...reply.hosts]);
				break;
			}

			case 'dispatchers': {
				this.noteDispatchers(link, reply.hosts);
				break;
			}

			case 'declarations': {
				this.options.noteDeclarations(reply.declarations);
				break;
			}

			case 'minions': {
				this.options.noteMinions(link.record, reply.minions);
				break;
			}

			case 'status':
			case 'settled':
		}
	}

	/** A host has told of the dispatchers that it knows; of its own zone it knows best. */
	private noteDispatchers(link: PeerLink, hosts: readonly HostRecord[]): void {
		this.add(hosts);
		const told = new Set(hosts.map(host => host.name));
		for (const [name, record] of this.dispatchers) {
			const stillDispatches = (this.link(name)?.status?.claims.length ?? 0) > 0;
			if (record.zone === link.record.zone && !told.has(name) && !stillDispatches) {
				this.dispatchers.delete(name);
			}
		}

		const zonesKnown = new Set([...this.dispatchers.values()].map(record => record.zone));
		for (const host of hosts) {
			const isNews = host.zone === link.record.zone || !zonesKnown.has(host.zone);
			if (host.zone !== this.options.self.zone && isNews) {
				this.dispatchers.set(host.name, this.known.get(host.name) ?? host);
			}
		}

		this.refresh();
		this.options.noteChange();
	}

	private noteLinkChange(record: HostRecord, link: PeerLink, change: string): void {
		if (this.links.get(record.name) !== link) {
			// Closed by this table itself.
			return;
		}

		if (change === 'up' || change === 'status') {
			if (link.record.zone !== this.options.self.zone && link.status !== undefined && link.status.claims.length > 0) {
				this.dispatchers.set(link.record.name, link.record);
			}
		} else if (link.record.zone !== this.options.self.zone) {
			// Another host of that zone may know better.
			this.dispatchers.delete(link.record.name);
		}

		if (change !== 'status') {
			this.options.report('link', {peer: record.name, change});
		}

		this.refresh();
		this.options.noteChange();
	}
}
