/**
Simulates entry hosts in two zones that follow one log on a fake clock, while operators submit concurrent commands and hosts,
zones and the log fail. The same seed produces the same run.
*/
import {
	type Clock, createRandom, digestText, type Random, randomInteger,
} from 'chivestream-core';
import {type Stream} from 'chivestream-log';
import {createFakeClock, createMemoryStream} from 'chivestream-stand-ins';
import {waitUntil} from 'chivestream-core';
import {Follower, type FollowerOptions} from '../follower.js';
import {type PeerState} from '../freshness-proof.js';
import {createSnapshot} from '../snapshot.js';
import {submitCommand, type Submission} from '../submit.js';
import {createCommand, sampleCommand} from './declarations.js';

/** Mechanisms that a run can switch off. */
export type ClusterSwitches = {
	/** Replaces the rule that decides when a started host may put its state in force. */
	freshnessProof?: FollowerOptions['freshnessProof'];
	/** Whether a host sends a version to its zone before putting it in force. */
	isReplicating: boolean;
};

/** Violations and counts of a run. */
export type ClusterReport = {
	violations: string[];
	accepted: number;
	/** Submissions whose command was superseded. */
	beaten: number;
	/** Submissions without a verdict before their deadline. */
	unknown: number;
	/** Hosts that died and were replaced by a new one. */
	replaced: number;
	/** Time from the end of all faults until every host had the newest version in force, in milliseconds. */
	healMs: number;
};

type Host = {
	id: string;
	zone: string;
	follower: Follower;
	isAlive: boolean;
	/** Highest version that had come into force in the zone when this host started; -1 if none had. */
	zoneVersionAtStart: number;
	/** Version in force on this host; -1 before the first. */
	versionInForce: number;
};

const zoneSizes = {a: 3, b: 2} as const;
const eventCount = 60;
const meanEventGapMs = 400;
const longestFaultMs = 6000;
const submitTimeoutMs = 4000;
const networkDelayMs = 1;
const fetchTimeoutMs = 200;
const maxHealMs = 30_000;

/** One run of a cluster. */
class ClusterRun {
	readonly clock = createFakeClock();
	readonly log = createMemoryStream(this.clock);
	readonly random: Random;
	readonly hosts: Host[] = [];
	readonly violations = new Set<string>();
	readonly submissions: Submission[] = [];
	readonly digestsByVersion = new Map<number, string>();
	readonly partitionedUntil: Record<string, number> = {a: 0, b: 0};
	readonly highestVersions: Record<string, number> = {a: -1, b: -1};
	readonly switches: ClusterSwitches;
	commands = 0;
	replaced = 0;

	constructor(seed: number, switches: ClusterSwitches) {
		this.random = createRandom(seed);
		this.switches = switches;
		this.log.faults.losesAnswer = () => this.random() < 0.2;
		for (const [zone, size] of Object.entries(zoneSizes)) {
			for (let index = 0; index < size; index += 1) {
				this.startHost(`${zone}${index}`, zone);
			}
		}
	}

	isPartitioned(zone: string): boolean {
		return this.clock.now() < (this.partitionedUntil[zone] ?? 0);
	}

	canReach(from: Host, to: Host): boolean {
		return to.isAlive && (from.zone === to.zone || !(this.isPartitioned(from.zone) || this.isPartitioned(to.zone)));
	}

	peersOf(host: Host): Host[] {
		return this.hosts.filter(other => other !== host && this.canReach(host, other));
	}

	startHost(id: string, zone: string): void {
		const {clock, random, switches} = this;
		const stream: Stream = this.log.connect(() => this.isPartitioned(zone) || !host.isAlive);
		const replicateToZone: FollowerOptions['replicateToZone'] = async (state, deadline, records) => {
			const needed = Math.floor(zoneSizes[zone as keyof typeof zoneSizes] / 2);
			const others = this.peersOf(host).filter(other => other.zone === zone);
			await waitForQuorum(clock, needed, deadline, others.map(async other => {
				await waitUntil(clock, clock.now() + networkDelayMs);
				const held = await other.follower.hold(state.configuration.offset, records, deadline);
				return held >= state.configuration.offset && other.isAlive;
			}));
		};

		const host: Host = {
			id, zone, isAlive: true, zoneVersionAtStart: this.highestVersions[zone] ?? -1, versionInForce: -1, follower: new Follower({
				stream,
				clock,
				random,
				zone,
				zoneSize: () => zoneSizes[zone as keyof typeof zoneSizes],
				fetchFromPeers: async () => this.fetchStates(host),
				onChange: configuration => {
					this.recordVersionInForce(host, configuration.version, configuration.offset, JSON.stringify(configuration.declarations));
				},
				...(switches.isReplicating && {replicateToZone}),
				...(switches.freshnessProof && {freshnessProof: switches.freshnessProof}),
			}),
		};
		this.hosts.push(host);
		host.follower.start();
	}

	async fetchStates(host: Host): Promise<PeerState[]> {
		await waitUntil(this.clock, this.clock.now() + networkDelayMs);
		const peers = this.peersOf(host);
		if (peers.length === 0) {
			await waitUntil(this.clock, this.clock.now() + fetchTimeoutMs);
		}

		return peers.map(({id, zone, follower}) => ({
			hostId: id, zone, isProven: follower.isProven, state: follower.held,
		}));
	}

	recordVersionInForce(host: Host, version: number, offset: number, declarations: string): void {
		if (!host.isAlive) {
			return;
		}

		if (version <= host.versionInForce) {
			this.violations.add('a host reverted to an earlier version');
		}

		if (host.versionInForce === -1 && version < host.zoneVersionAtStart) {
			this.violations.add('a new host serves a version before one that was in force in its zone');
		}

		const content = digestText(declarations);
		if ((this.digestsByVersion.get(version) ?? content) !== content) {
			this.violations.add('a version has two different contents');
		}

		this.digestsByVersion.set(version, content);
		host.versionInForce = version;
		this.highestVersions[host.zone] = Math.max(this.highestVersions[host.zone] ?? -1, version);
		for (const other of this.peersOf(host)) {
			other.follower.handleAnnouncedOffset(offset);
		}
	}

	pickHost(): Host {
		const alive = this.hosts.filter(({isAlive}) => isAlive);
		return alive[randomInteger(this.random, alive.length)]!;
	}

	submit(): void {
		const {follower} = this.pickHost();
		const {version} = follower.held.configuration;
		this.commands += 1;
		const command = version === 0
			? {...sampleCommand, commandId: `c${this.commands}`}
			: createCommand(`c${this.commands}`, version, {kind: 'team', team: 'day-a', maxTasksInFlight: this.commands});
		const stream = this.log.connect(() => false);
		const options = {
			stream, follower, clock: this.clock, random: this.random,
		};
		void submitCommand(options, command, this.clock.now() + submitTimeoutMs).then(submission => {
			this.submissions.push(submission);
		});
	}

	replace(): void {
		const host = this.pickHost();
		host.isAlive = false;
		host.follower.stop();
		this.replaced += 1;
		this.startHost(host.id, host.zone);
	}

	/** Appends a snapshot of the state that a host holds and drops the records that it covers. */
	async expireRecords(): Promise<void> {
		const {follower: {held}} = this.pickHost();
		if (held.configuration.version === 0) {
			return;
		}

		const stream = this.log.connect();
		const parts = createSnapshot(held, 1000);
		for (const part of parts) {
			// eslint-disable-next-line no-await-in-loop
			const appended = await stream.append(part);
			if (appended.isErr()) {
				return;
			}
		}

		this.log.dropBelow(held.configuration.offset + 1);
	}

	injectRandomEvent(): void {
		const untilMs = this.clock.now() + randomInteger(this.random, longestFaultMs);
		const choice = this.random();
		if (choice < 0.5) {
			this.submit();
		} else if (choice < 0.65) {
			this.replace();
		} else if (choice < 0.8) {
			this.log.faults.outageUntil = untilMs;
		} else if (choice < 0.9) {
			this.partitionedUntil[this.random() < 0.5 ? 'a' : 'b'] = untilMs;
		} else {
			void this.expireRecords();
		}
	}

	/** Whether every live host holds the log up to an offset and has its newest version in force. */
	hasConverged(offset: number): boolean {
		return this.hosts.filter(({isAlive}) => isAlive).every(({follower: {held: {configuration}}, versionInForce}) =>
			configuration.offset >= offset && versionInForce === configuration.version);
	}

	/** Ends every fault and returns the time until each host has the newest version that the log held then; checks at last that all hosts converge. */
	async endFaults(): Promise<number> {
		const startedAt = this.clock.now();
		const offset = this.log.records().length - 1;
		this.log.faults.outageUntil = 0;
		this.log.faults.losesAnswer = () => false;
		this.partitionedUntil['a'] = 0;
		this.partitionedUntil['b'] = 0;
		while (!this.hasConverged(offset) && this.clock.now() - startedAt < maxHealMs) {
			// eslint-disable-next-line no-await-in-loop
			await this.clock.advance(20);
		}

		const healMs = this.clock.now() - startedAt;
		await this.clock.advance(maxHealMs);
		const versions = new Set(this.hosts.filter(({isAlive}) => isAlive).map(({versionInForce}) => versionInForce));
		if (versions.size > 1 || !this.hasConverged(this.log.records().length - 1)) {
			this.violations.add('hosts stay on different versions');
		}

		return healMs;
	}

	async execute(): Promise<ClusterReport> {
		for (let event = 0; event < eventCount; event += 1) {
			// eslint-disable-next-line no-await-in-loop
			await this.clock.advance(randomInteger(this.random, 2 * meanEventGapMs));
			this.injectRandomEvent();
		}

		const healMs = await this.endFaults();
		for (const {follower} of this.hosts) {
			follower.stop();
		}

		const count = (outcome: Submission['outcome']) => this.submissions.filter(submission => submission.outcome === outcome).length;
		return {
			violations: [...this.violations],
			accepted: count('accepted'),
			beaten: count('beaten'),
			unknown: count('unknown'),
			replaced: this.replaced,
			healMs,
		};
	}
}

/** Resolves once `needed` of the promises have resolved to true, or at the deadline. */
const waitForQuorum = async (clock: Clock, needed: number, deadline: number, promises: Array<Promise<boolean>>): Promise<void> =>
	new Promise(resolve => {
		let missing = needed;
		const timer = clock.at(deadline, resolve);
		const countResult = (isDone: boolean) => {
			missing -= isDone ? 1 : 0;
			if (missing <= 0) {
				timer.cancel();
				resolve();
			}
		};

		countResult(false);
		for (const promise of promises) {
			void promise.then(countResult);
		}
	});

/** Runs the cluster with a seed. */
export const runCluster = async (seed: number, switches: ClusterSwitches = {isReplicating: true}): Promise<ClusterReport> =>
	new ClusterRun(seed, switches).execute();
