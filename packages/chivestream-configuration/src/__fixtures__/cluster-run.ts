/**
Entry hosts in two zones that follow one log on a fake clock, while operators race and hosts, zones and the log fail. The
same seed gives the same run.
*/
import {
	type Clock, createRandom, digestText, type Random, randomInteger,
} from 'chivestream-core';
import {type Stream} from 'chivestream-log';
import {createFakeClock, createMemoryStream} from 'chivestream-stand-ins';
import {waitUntil} from 'chivestream-core';
import {Follower, type FollowerOptions} from '../follower.js';
import {type PeerState} from '../proof.js';
import {createSnapshot} from '../snapshot.js';
import {submitCommand, type Submission} from '../submit.js';
import {createCommand, sampleCommand} from './declarations.js';

/** What may be switched off in a run. */
export type ClusterSwitches = {
	proof?: FollowerOptions['proof'];
	isOffering: boolean;
};

/** What a run showed. */
export type ClusterReport = {
	violations: string[];
	accepted: number;
	beaten: number;
	unknown: number;
	replaced: number;
	/** Time from the end of all faults until every host had the newest version in force, in milliseconds. */
	healMs: number;
};

type Host = {
	id: string;
	zone: string;
	follower: Follower;
	isAlive: boolean;
	/** Highest version in force in the zone when this host started. */
	floor: number;
	last: number;
};

const zoneSizes = {a: 3, b: 2} as const;
const eventCount = 60;
const meanGapMs = 400;
const longestFaultMs = 6000;
const submitMs = 4000;
const hopMs = 1;
const fetchMs = 200;
const healLimitMs = 30_000;

/** One run of a cluster. */
class ClusterRun {
	readonly clock = createFakeClock();
	readonly log = createMemoryStream(this.clock);
	readonly random: Random;
	readonly hosts: Host[] = [];
	readonly violations = new Set<string>();
	readonly submissions: Submission[] = [];
	readonly contents = new Map<number, string>();
	readonly cutUntil: Record<string, number> = {a: 0, b: 0};
	readonly highest: Record<string, number> = {a: -1, b: -1};
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

	isCut(zone: string): boolean {
		return this.clock.now() < (this.cutUntil[zone] ?? 0);
	}

	canReach(from: Host, to: Host): boolean {
		return to.isAlive && (from.zone === to.zone || !(this.isCut(from.zone) || this.isCut(to.zone)));
	}

	peersOf(host: Host): Host[] {
		return this.hosts.filter(other => other !== host && this.canReach(host, other));
	}

	startHost(id: string, zone: string): void {
		const {clock, random, switches} = this;
		const stream: Stream = this.log.connect(() => this.isCut(zone) || !host.isAlive);
		const confirmHeld: FollowerOptions['confirmHeld'] = async (state, deadline, records) => {
			const needed = Math.floor(zoneSizes[zone as keyof typeof zoneSizes] / 2);
			const others = this.peersOf(host).filter(other => other.zone === zone);
			await waitForSome(clock, needed, deadline, others.map(async other => {
				await waitUntil(clock, clock.now() + hopMs);
				const held = await other.follower.hold(state.configuration.offset, records, deadline);
				return held >= state.configuration.offset && other.isAlive;
			}));
		};

		const host: Host = {
			id, zone, isAlive: true, floor: this.highest[zone] ?? -1, last: -1, follower: new Follower({
				stream,
				clock,
				random,
				zone,
				zoneSize: () => zoneSizes[zone as keyof typeof zoneSizes],
				fetchFromPeers: async () => this.fetchStates(host),
				onChange: configuration => {
					this.takeChange(host, configuration.version, configuration.offset, JSON.stringify(configuration.declarations));
				},
				...(switches.isOffering && {confirmHeld}),
				...(switches.proof && {proof: switches.proof}),
			}),
		};
		this.hosts.push(host);
		host.follower.start();
	}

	async fetchStates(host: Host): Promise<PeerState[]> {
		await waitUntil(this.clock, this.clock.now() + hopMs);
		const peers = this.peersOf(host);
		if (peers.length === 0) {
			await waitUntil(this.clock, this.clock.now() + fetchMs);
		}

		return peers.map(({id, zone, follower}) => ({
			hostId: id, zone, isProven: follower.isProven, state: follower.held,
		}));
	}

	takeChange(host: Host, version: number, offset: number, declarations: string): void {
		if (!host.isAlive) {
			return;
		}

		if (version <= host.last) {
			this.violations.add('a host went back');
		}

		if (host.last === -1 && version < host.floor) {
			this.violations.add('a new host serves a version before one that was in force in its zone');
		}

		const content = digestText(declarations);
		if ((this.contents.get(version) ?? content) !== content) {
			this.violations.add('a version has two contents');
		}

		this.contents.set(version, content);
		host.last = version;
		this.highest[host.zone] = Math.max(this.highest[host.zone] ?? -1, version);
		for (const other of this.peersOf(host)) {
			other.follower.notice(offset);
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
		void submitCommand(options, command, this.clock.now() + submitMs).then(submission => {
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

	/** Writes a snapshot of what a host holds and drops the records that it covers. */
	async expire(): Promise<void> {
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

	act(): void {
		const untilMs = this.clock.now() + randomInteger(this.random, longestFaultMs);
		const choice = this.random();
		if (choice < 0.5) {
			this.submit();
		} else if (choice < 0.65) {
			this.replace();
		} else if (choice < 0.8) {
			this.log.faults.outageUntil = untilMs;
		} else if (choice < 0.9) {
			this.cutUntil[this.random() < 0.5 ? 'a' : 'b'] = untilMs;
		} else {
			void this.expire();
		}
	}

	/** Whether every host has in force what the log held up to an offset. */
	isWhole(offset: number): boolean {
		return this.hosts.filter(({isAlive}) => isAlive).every(({follower: {held: {configuration}}, last}) =>
			configuration.offset >= offset && last === configuration.version);
	}

	/** Ends every fault and waits until each host has what the log held then, and at last what it holds. */
	async heal(): Promise<number> {
		const startedAt = this.clock.now();
		const offset = this.log.records().length - 1;
		this.log.faults.outageUntil = 0;
		this.log.faults.losesAnswer = () => false;
		this.cutUntil['a'] = 0;
		this.cutUntil['b'] = 0;
		while (!this.isWhole(offset) && this.clock.now() - startedAt < healLimitMs) {
			// eslint-disable-next-line no-await-in-loop
			await this.clock.advance(20);
		}

		const healMs = this.clock.now() - startedAt;
		await this.clock.advance(healLimitMs);
		const versions = new Set(this.hosts.filter(({isAlive}) => isAlive).map(({last}) => last));
		if (versions.size > 1 || !this.isWhole(this.log.records().length - 1)) {
			this.violations.add('hosts stay on different versions');
		}

		return healMs;
	}

	async play(): Promise<ClusterReport> {
		for (let event = 0; event < eventCount; event += 1) {
			// eslint-disable-next-line no-await-in-loop
			await this.clock.advance(randomInteger(this.random, 2 * meanGapMs));
			this.act();
		}

		const healMs = await this.heal();
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

/** Resolves once so many of the promises gave true, or at the deadline. */
const waitForSome = async (clock: Clock, needed: number, deadline: number, promises: Array<Promise<boolean>>): Promise<void> =>
	new Promise(resolve => {
		let missing = needed;
		const timer = clock.at(deadline, resolve);
		const note = (isDone: boolean) => {
			missing -= isDone ? 1 : 0;
			if (missing <= 0) {
				timer.cancel();
				resolve();
			}
		};

		note(false);
		for (const promise of promises) {
			void promise.then(note);
		}
	});

/** Plays the run of a seed. */
export const playCluster = async (seed: number, switches: ClusterSwitches = {isOffering: true}): Promise<ClusterReport> =>
	new ClusterRun(seed, switches).play();
