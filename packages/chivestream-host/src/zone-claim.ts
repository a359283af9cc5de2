/** This host's part in its zone: the cells for which it dispatches, and whom it follows for the others. */
import {createRandom, randomInteger} from 'chivestream-core';
import {type CellCapacity, type MinionRecord} from 'chivestream-dispatch';
import {DispatchService, type DispatchServiceOptions} from './dispatch-service.js';
import {cellCountFor, cellName, cellOf} from './cells.js';
import {
	chooseDispatchers, contact, shouldHandOver, type Candidate, type Choice,
} from './election.js';
import {type Report} from './host-log.js';
import {type CellClaim, type HostRecord} from './messages.js';
import {gatheringMs, hostTiming} from './timing.js';

/** What the claim needs, and what it tells. */
export type ZoneClaimOptions = {
	/** Bounds that the platform sets; they count from the next claim on. */
	bounds: () => Pick<DispatchServiceOptions, 'leaseMs' | 'farFactor'>;
	self: HostRecord;
	/** The steady clock, in milliseconds. */
	now: () => number;
	report: Report;
	isLeaving: () => boolean;
	/** The other hosts of the zone. */
	candidates: () => Candidate[];
	/** Hosts of the zone that are known, this one included. */
	zoneSize: () => number;
	canReachStore: () => boolean;
	/** Whether all hosts of the zone that are known have been heard of or are dead. */
	hasHeardZone: () => boolean;
	/** Registered minions of the zone. */
	minions: () => MinionRecord[];
	/** Room of the cells for which other hosts dispatch, nearest first. */
	otherCells: () => CellCapacity[];
	/** Follows the minions' entries while this host dispatches, until the signal aborts. */
	followMinions: (signal: AbortSignal) => void;
	/** Called when this host has begun to dispatch for a cell or has ended. */
	noteClaim: () => void;
	/** Called when the claim was lost to another host: everything has to be looked at anew. */
	reconsider: () => void;
};

/** Tokens count milliseconds since this time, so that they fit into 53 bits with their random part. */
const tokenEpoch = Date.UTC(2025, 0, 1);

/** Values of the random part of a token, which tells hosts apart that claim in the same millisecond. */
const tokenSalts = 1024;

/** Tokens of one claim: one for each lifetime of a minion that is met. */
const tokensPerClaim = 64;

/** By how much the next token rises when a minion has seen a higher one, in milliseconds of token time. */
const tokenStepMs = 10_000;

const maxSeed = 2 ** 31;

/** How long a host keeps a cell before it may hand it over, and between two handovers, in milliseconds: links to all hosts of
 * the zone are up by then. */
const keepMs = 3000;

/** The claims of a host to cells of its zone. */
export class ZoneClaim {
	/** The dispatcher and its minions' tasks, for each cell for which this host dispatches. */
	readonly services = new Map<number, DispatchService>();
	/** For each cell, who dispatches. */
	choices: Choice[] = [{kind: 'none'}];
	private readonly options: ZoneClaimOptions;
	private readonly random = createRandom(Date.now() % maxSeed);
	private readonly startedAt: number;
	private minionsController: AbortController | undefined;
	private fencedAt = Number.NEGATIVE_INFINITY;
	private claimedAt = Number.NEGATIVE_INFINITY;
	private tokenOffsetMs = 0;

	constructor(options: ZoneClaimOptions) {
		this.options = options;
		this.startedAt = options.now();
	}

	/** Into how many cells the zone is divided. */
	get cellCount(): number {
		return this.choices.length;
	}

	/** The dispatcher of the cell of this name, if it is on this host. */
	serviceOf(name: string): DispatchService | undefined {
		for (const [cell, service] of this.services) {
			if (this.nameOfCell(cell) === name) {
				return service;
			}
		}

		return undefined;
	}

	/** What this host tells of the cells for which it dispatches. */
	claims(): CellClaim[] {
		return [...this.services].map(([cell, service]) => ({cell, token: service.token, freeTasks: service.dispatcher.spareTasks()}));
	}

	/** Chooses the zone's dispatchers anew, and takes or gives up claims. */
	evaluate(): void {
		const {now, self, report} = this.options;
		const others = this.options.candidates();
		this.divide(others);
		const canReachStore = this.options.canReachStore();
		const choices = chooseDispatchers(this.candidate(), others, canReachStore, this.cellCount);
		const hasGathered = now() > this.startedAt + gatheringMs(this.options.zoneSize()) || this.options.hasHeardZone();
		const isYielding = now() < this.fencedAt + hostTiming.yieldMs;
		for (const [cell, choice] of choices.entries()) {
			if (nameOf(choice) !== nameOf(this.choices[cell]!)) {
				report('dispatcher-chosen', {
					cell,
					choice: choice.kind,
					dispatcher: choice.kind === 'follow' ? choice.record.name : undefined,
					canReachStore,
					others: others.map(other => `${other.record.name} ${other.contact} ${other.claims.map(claim => `${claim.cell}:${claim.token}`).join(' ')}`),
				});
			}

			this.choices[cell] = choice;
			if (!(choice.kind === 'follow' && choice.record.name === self.name)) {
				this.end(cell, 'another host dispatches');
			}

			if (choice.kind === 'claim' && hasGathered && !isYielding) {
				this.begin(cell);
			}
		}

		this.handOver(others);
	}

	/** Takes in the registered minions of the zone. */
	setMinions(minions: readonly MinionRecord[]): void {
		for (const [cell, service] of this.services) {
			service.setMinions(this.ofCell(minions, cell));
		}
	}

	/** Looks for what has changed with time. */
	tick(): void {
		for (const service of this.services.values()) {
			service.tick();
		}
	}

	/** Stops dispatching for all cells; what runs is left to the next dispatchers, and jobs are given back to their hosts. */
	endAll(reason: string): void {
		for (const cell of this.services.keys()) {
			this.end(cell, reason);
		}
	}

	/** The caller of a job has left. */
	cancel(id: string): void {
		for (const service of this.services.values()) {
			service.dispatcher.cancel(id);
		}
	}

	private candidate(): Candidate {
		const {self, isLeaving} = this.options;
		return {
			record: self, claims: [...this.services].map(([cell, {token}]) => ({cell, token})), cellCount: this.cellCount, isLeaving: isLeaving(), contact: contact.alive,
		};
	}

	/** Divides the zone into more cells once its minions, or another host of it, ask for that. */
	private divide(others: readonly Candidate[]): void {
		const minions = this.options.minions().length;
		const cellCount = Math.max(this.cellCount, cellCountFor(minions), ...others.map(other => other.cellCount));
		if (cellCount > this.cellCount) {
			this.options.report('zone-divided', {cells: cellCount, before: this.cellCount, minions});
			this.endAll('the zone is divided anew');
			this.choices = Array.from({length: cellCount}, () => ({kind: 'none'}));
		}
	}

	private nameOfCell(cell: number): string {
		return cellName(this.options.self.zone, cell, this.cellCount);
	}

	private ofCell(minions: readonly MinionRecord[], cell: number): MinionRecord[] {
		return minions.filter(minion => cellOf(minion.id, this.cellCount) === cell);
	}

	/** Leaves a cell to a host that has less to do for its size. */
	private handOver(others: readonly Candidate[]): void {
		const {now} = this.options;
		const last = [...this.services.keys()].at(-1);
		if (last !== undefined && now() > this.claimedAt + keepMs && shouldHandOver(this.candidate(), others)) {
			this.claimedAt = now();
			this.end(last, 'a host with less to do takes the cell');
		}
	}

	private end(cell: number, reason: string): void {
		const service = this.services.get(cell);
		if (service === undefined) {
			return;
		}

		this.options.report('dispatching-ended', {cell, token: service.token, reason});
		this.services.delete(cell);
		if (this.services.size === 0) {
			this.minionsController?.abort();
			this.minionsController = undefined;
		}

		this.options.noteClaim();
		service.release();
	}

	private begin(cell: number): void {
		const {self, now, report} = this.options;
		const {leaseMs, farFactor} = this.options.bounds();
		const tokenTime = Date.now() - tokenEpoch + this.tokenOffsetMs;
		const token = ((tokenTime * tokenSalts) + randomInteger(this.random, tokenSalts)) * tokensPerClaim;
		const service = new DispatchService({
			token,
			leaseMs,
			farFactor,
			now,
			random: this.random,
			report,
			otherCells: () => this.otherCells(cell),
			noteFenced: () => {
				this.noteFenced(cell, service);
			},
		});
		const minions = this.ofCell(this.options.minions(), cell);
		report('dispatching', {cell, token, minions: minions.length});
		this.services.set(cell, service);
		this.choices[cell] = {kind: 'follow', record: self};
		this.claimedAt = now();
		service.setMinions(minions);
		if (this.minionsController === undefined) {
			this.minionsController = new AbortController();
			this.options.followMinions(this.minionsController.signal);
		}

		this.options.noteClaim();
	}

	/** Room of all other cells: those on this host first, which cost no message. */
	private otherCells(cell: number): CellCapacity[] {
		const own: CellCapacity[] = [];
		for (const [other, service] of this.services) {
			if (other !== cell) {
				own.push({cell: this.nameOfCell(other), freeTasks: service.dispatcher.spareTasks()});
			}
		}

		return [...own, ...this.options.otherCells()];
	}

	/** A minion has seen a higher token: another host of the zone dispatches to it as well. */
	private noteFenced(cell: number, service: DispatchService): void {
		if (this.services.get(cell) !== service) {
			return;
		}

		const others = this.options.candidates();
		const alive = others.filter(other => other.contact === contact.alive).length;
		const isCutOff = alive === 0 && others.length > 0;
		this.tokenOffsetMs += tokenStepMs;
		if (isCutOff) {
			this.fencedAt = this.options.now();
		}

		this.end(cell, isCutOff ? 'fenced off by a host that is out of reach' : 'a minion has seen a higher token');
		this.options.reconsider();
	}
}

const nameOf = (choice: Choice): string => choice.kind === 'follow' ? choice.record.name : `(${choice.kind})`;
